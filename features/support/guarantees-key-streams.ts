import { callCompletion, type CallerAnswer } from '../../harness/caller-client.js';
import type { FleetDaemon } from '../../harness/fleet.js';
import { MODEL } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';

/** A stream that a caller reads. */
export interface OpenStream {
  readonly daemon: FleetDaemon;
  readonly tokens: () => number;
  /** When the stream ended, on the monotonic clock in milliseconds; undefined while it runs. */
  readonly endedMs: () => number | undefined;
  /** The answer; undefined when the connection broke. */
  readonly answer: Promise<CallerAnswer | undefined>;
  readonly abort: () => void;
}

/** Time for a stream to begin on a busy machine, in milliseconds. */
const OPEN_TIMEOUT_MS = 10_000;

/**
 * Opens a stream and waits for its first tokens. A refusal, for example of a fleet that is busy, is
 * followed by another request.
 *
 * @param daemon - the daemon
 * @param key - text of a key
 * @param maxTokens - length of the answer
 * @returns the stream
 */
export async function openStream(
  daemon: FleetDaemon,
  key: string,
  maxTokens: number,
): Promise<OpenStream> {
  let stream = requestStream(daemon, key, maxTokens);
  const isOpen = () => {
    if (stream.tokens() > 2) return true;
    if (stream.endedMs() !== undefined) stream = requestStream(daemon, key, maxTokens);
    return false;
  };
  await waitFor(`tokens through ${daemon.name}`, isOpen, { deadlineMs: OPEN_TIMEOUT_MS });
  return stream;
}

function requestStream(daemon: FleetDaemon, key: string, maxTokens: number): OpenStream {
  const abort = new AbortController();
  let tokens = 0;
  let endedMs: number | undefined;
  const onToken = (count: number) => {
    tokens = count;
  };
  const call = { model: MODEL, prompt: 'mark the crease', maxTokens, key, stream: true, onToken };
  const answer = callCompletion(daemon.callers, { ...call, signal: abort.signal })
    .catch(() => undefined)
    .finally(() => {
      endedMs = performance.now();
    });
  return {
    ...{ daemon, answer, tokens: () => tokens, endedMs: () => endedMs },
    abort: () => abort.abort(),
  };
}
