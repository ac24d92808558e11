import assert from 'node:assert/strict';

import { callCompletion, type CallerAnswer } from '../../harness/caller-client.js';
import { readEngines } from '../../harness/engine-record.js';
import type { Fleet } from '../../harness/fleet.js';
import { MODEL } from '../../harness/plans.js';
import { computeAnswer } from '../../stand-ins/answer-text.js';

/** A completion request and its response. */
export interface SentCompletion {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly streamed: boolean;
  /** Undefined if the connection broke before the end of the response. */
  readonly answer: CallerAnswer | undefined;
}

/** Scenario state: a fleet and the completions to check. */
export interface CompletionWorld {
  fleet: Fleet;
  callerKey: string;
  completions: SentCompletion[];
}

/**
 * Output lengths vary from this minimum, so that responses swapped between requests are detected.
 */
const MIN_OUTPUT_TOKENS = 8;

/**
 * Sends completion requests to all daemons concurrently, each with its own prompt; half of them are
 * streamed.
 *
 * @param world - receives the responses
 * @param count - number of completions
 */
export async function requestCompletions(world: CompletionWorld, count: number): Promise<void> {
  const { daemons } = world.fleet;
  const ask = async (_: unknown, index: number): Promise<SentCompletion> => {
    const daemon = daemons[index % daemons.length];
    assert.ok(daemon);
    const prompt = `plan ${index} of the outfield`;
    const maxTokens = MIN_OUTPUT_TOKENS + (index % 5);
    const streamed = index % 4 < 2;
    const call = { model: MODEL, prompt, maxTokens, stream: streamed, key: world.callerKey };
    const answer = await callCompletion(daemon.callers, call).catch(() => undefined);
    return { prompt, maxTokens, streamed, answer };
  };
  Object.assign(world, { completions: await Promise.all(Array.from({ length: count }, ask)) });
}

/**
 * Checks that each complete response matches its own request, that each broken stream is a prefix
 * of the expected text followed by an error event, and that no request refused as "not run" was
 * decoded.
 *
 * @param world - scenario whose completions have ended
 * @returns the number of complete responses
 */
export async function checkCompletions(world: CompletionWorld): Promise<number> {
  const decoded = await findDecodedRequests(world.fleet);
  world.completions.forEach((completion) => checkCompletion(completion, decoded));
  return world.completions.filter(({ answer }) => answer?.complete).length;
}

/**
 * Counts completions by refusal code.
 *
 * @param world - scenario whose completions have ended
 * @returns number of completions by code and run state; complete responses are counted as `whole`
 */
export function countCodes({ completions }: CompletionWorld): Record<string, number> {
  const counts: Record<string, number> = {};
  completions.forEach(({ answer }) => {
    const code = answer?.complete ? 'whole' : `${answer?.code} (${answer?.run})`;
    counts[code] = (counts[code] ?? 0) + 1;
  });
  return counts;
}

function checkCompletion(completion: SentCompletion, decoded: ReadonlySet<string>): void {
  const { prompt, maxTokens, streamed, answer } = completion;
  assert.ok(answer, `the connection for "${prompt}" broke before the response ended`);
  const expected = computeAnswer(MODEL, prompt, maxTokens);
  if (answer.complete) {
    assert.equal(answer.status, 200);
    assert.equal(answer.text, expected);
    return;
  }
  assert.ok(
    answer.code,
    `the response to "${prompt}" is incomplete and has no refusal code: ${answer.text}`,
  );
  if (streamed && answer.status === 200) assert.ok(expected.startsWith(answer.text), answer.text);
  if (answer.run !== 'not run') return;
  assert.ok(
    !decoded.has(answer.requestId),
    `${answer.code} says "not run" for a request that was decoded`,
  );
}

/** Lists ids of requests for which an engine generated, or may have generated, output. */
async function findDecodedRequests(fleet: Fleet): Promise<Set<string>> {
  const attempts = [...(await readEngines(fleet)).values()].flatMap((record) => record.attempts);
  const ran = attempts.filter(({ phase, completionTokens }) =>
    Boolean(phase === 'decode' || completionTokens > 0),
  );
  return new Set(ran.map(({ requestId }) => requestId));
}
