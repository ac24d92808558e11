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

/**
 * Opens a stream and waits for its first tokens.
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
  const stream: OpenStream = {
    ...{ daemon, answer, tokens: () => tokens, endedMs: () => endedMs },
    abort: () => abort.abort(),
  };
  await waitFor(`tokens through ${daemon.name}`, () => tokens > 2);
  return stream;
}
