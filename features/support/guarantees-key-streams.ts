import { callCompletion, type CallerAnswer } from '../../harness/caller-client.js';
import type { FleetDaemon } from '../../harness/fleet.js';
import { MODEL } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';

/** A completion stream that a caller is reading. */
export interface OpenStream {
  readonly daemon: FleetDaemon;
  readonly tokens: () => number;
  /** End time on the monotonic clock, in milliseconds; undefined while the stream runs. */
  readonly endedMs: () => number | undefined;
  /** The answer; undefined if the connection broke. */
  readonly answer: Promise<CallerAnswer | undefined>;
  readonly abort: () => void;
}

/** Time limit for a stream to start, in milliseconds; long enough for a busy machine. */
const OPEN_TIMEOUT_MS = 10_000;

/**
 * Opens a stream and waits for its first tokens. The request is sent again if the stream ends
 * before that, for example when a busy fleet refuses it.
 *
 * @param daemon - the daemon
 * @param key - text of a key
 * @param maxTokens - output length in tokens
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
  await waitFor(`tokens through ${daemon.name}`, isOpen, { timeoutMs: OPEN_TIMEOUT_MS });
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
