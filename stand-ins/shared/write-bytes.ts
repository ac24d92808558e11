import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { Link } from './link.js';

const CHUNK_BYTES = 65_536;

/**
 * Writes zero bytes at the rate of a link and ends the response.
 *
 * @param response - where to write
 * @param bytes - number of bytes
 * @param link - link that limits the rate
 * @returns true when all bytes were written, false when the client disconnected
 */
export async function writeBytes(
  response: ServerResponse,
  bytes: number,
  link: Link,
): Promise<boolean> {
  for (let remaining = bytes; remaining > 0; remaining -= CHUNK_BYTES) {
    const size = Math.min(remaining, CHUNK_BYTES);
    await link.transmit(size);
    if (response.destroyed) return false;
    if (!response.write(Buffer.alloc(size))) {
      await Promise.race([once(response, 'drain'), once(response, 'close')]);
    }
  }
  response.end();
  return !response.destroyed;
}
