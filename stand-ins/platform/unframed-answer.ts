import type { ServerResponse } from 'node:http';
import { setImmediate, setTimeout as delay } from 'node:timers/promises';

/** An answer that is sent with neither length nor chunks, and how its connection ends. */
export interface UnframedAnswer {
  /** What is sent before the connection ends, piece by piece. */
  readonly pieces: readonly Buffer[];
  /** Time between two pieces, in milliseconds. */
  readonly pauseMs: number;
  readonly end: 'close' | 'reset';
  /** Time from the last byte until the connection ends, in milliseconds. */
  readonly delayMs: number;
  /** Whether a caller may take what was sent for complete. */
  readonly isComplete: boolean;
  /** SHA-256 of the body that a caller may take for complete. */
  readonly digest: string;
}

/** What a server records of an answer without length or chunks. */
export interface UnframedRecord extends Omit<UnframedAnswer, 'pieces' | 'pauseMs'> {
  readonly sentBytes: number;
}

/**
 * Describes an answer without its bytes.
 *
 * @param answer - the answer
 * @returns what is kept of it
 */
export function describeUnframed(answer: UnframedAnswer): UnframedRecord {
  const { pieces, end, delayMs, isComplete, digest } = answer;
  const sentBytes = pieces.reduce((sum, { length }) => sum + length, 0);
  return { sentBytes, end, delayMs, isComplete, digest };
}

/**
 * Sends an answer and ends its connection.
 *
 * @param response - response whose headers are set and not sent
 * @param answer - what is sent, and how the connection ends
 */
export async function sendUnframed(
  response: ServerResponse,
  { pieces, pauseMs, end, delayMs }: UnframedAnswer,
): Promise<void> {
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, { Connection: 'close' });
  response.flushHeaders();
  for (const [index, piece] of pieces.entries()) {
    if (index > 0) await delay(pauseMs);
    if (response.destroyed) return;
    response.write(piece);
  }
  // Node writes the first chunk of a body at the end of the tick.
  await (delayMs > 0 ? delay(delayMs) : setImmediate());
  if (end === 'reset') response.socket?.resetAndDestroy().destroy();
  else response.end();
}
