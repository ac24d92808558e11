import type { IncomingMessage } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

/** Body of an answer as its caller got it. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  /**
   * Whether the answer looks complete. One without length or chunks does when its connection is closed in
   * the ordinary way.
   */
  readonly isComplete: boolean;
}

/** How an answer is read. */
export interface ReadingPace {
  /** Resolves when the first chunk is read; at once by default. */
  readonly start?: Promise<unknown> | undefined;
  /** Returns the pause after a chunk, in milliseconds; there are none by default. */
  readonly pauseMs?: (chunkBytes: number) => number;
}

/**
 * Reads an answer until it is complete or broken off.
 *
 * @param response - an answer of which nothing has been read
 * @param pace - when and how fast it is read
 * @returns what was received
 */
export async function readAnswer(
  response: IncomingMessage,
  { start, pauseMs = () => 0 }: ReadingPace = {},
): Promise<ReceivedBody> {
  const { headers, socket } = response;
  const isFramed = 'content-length' in headers || 'transfer-encoding' in headers;
  let isClosed = false;
  // Node reports some resets as an ordinary end, but the peer address is gone then.
  if (!isFramed)
    socket.prependOnceListener('end', () => {
      isClosed = socket.remoteAddress !== undefined;
    });
  // An answer may be broken off before it is read.
  response.on('error', () => {});
  const chunks: Buffer[] = [];
  try {
    await start;
    for await (const chunk of response as AsyncIterable<Buffer>) {
      chunks.push(chunk);
      const ms = pauseMs(chunk.length);
      if (ms > 0) await delay(ms);
    }
  } catch {
    return { bytes: Buffer.concat(chunks), isComplete: false };
  }
  return { bytes: Buffer.concat(chunks), isComplete: response.complete && (isFramed || isClosed) };
}
