import assert from 'node:assert/strict';

import { callCompletion, type CallerAnswer } from '../../harness/caller-client.js';
import type { FleetDaemon } from '../../harness/fleet.js';
import { MODEL } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import { computeAnswer } from '../../stand-ins/answer-text.js';

/** Parameters of a streamed completion. */
export interface StreamPlan {
  readonly key: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** A streamed completion in progress. */
export interface RunningStream extends StreamPlan {
  /** The answer, or the error with which the connection broke. */
  readonly answer: Promise<CallerAnswer | Error>;
  readonly tokens: () => number;
  readonly cancel: () => void;
}

/** Time limit from the request to the first token, in milliseconds. */
const FIRST_TOKEN_TIMEOUT_MS = 10_000;

/**
 * Requests a streamed completion from a daemon.
 *
 * @param daemon - the daemon
 * @param plan - key, prompt and length
 * @returns the stream
 */
export function beginStream(daemon: FleetDaemon, plan: StreamPlan): RunningStream {
  const abort = new AbortController();
  let tokens = 0;
  const answer = callCompletion(daemon.callers, {
    ...{ model: MODEL, stream: true, signal: abort.signal },
    ...plan,
    onToken: (count) => {
      tokens = count;
    },
  }).catch((error: unknown) => error as Error);
  return { ...plan, answer, tokens: () => tokens, cancel: () => abort.abort() };
}

/**
 * Waits until every stream has received tokens.
 *
 * @param streams - the streams
 */
export async function waitForTokens(streams: readonly RunningStream[]): Promise<void> {
  const begun = waitFor(
    'every stream to receive tokens',
    () => streams.every(({ tokens }) => tokens() > 0),
    { timeoutMs: FIRST_TOKEN_TIMEOUT_MS },
  );
  await Promise.race([begun, ...streams.map(assertWhole)]);
  await begun;
}

/**
 * Waits for the end of a stream and checks that it is complete and matches its own request.
 *
 * @param stream - the stream
 * @returns the answer
 */
export async function assertWhole(stream: RunningStream): Promise<CallerAnswer> {
  const answer = await stream.answer;
  if (answer instanceof Error) throw answer;
  const { prompt, maxTokens } = stream;
  assert.equal(answer.code, undefined, `the stream ended with the error ${answer.code}`);
  assert.ok(answer.complete, 'the stream ended without its end marker');
  assert.equal(answer.text, computeAnswer(MODEL, prompt, maxTokens));
  return answer;
}
