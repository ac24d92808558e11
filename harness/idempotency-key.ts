import { randomBytes } from 'node:crypto';

/**
 * Creates an idempotency key as callers do.
 *
 * @param issuedMs - issue time, in milliseconds since the Unix epoch
 * @returns a UUIDv7
 */
export function createIdempotencyKey(issuedMs = Date.now()): string {
  const time = issuedMs.toString(16).padStart(12, '0');
  const random = randomBytes(10).toString('hex');
  return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(0, 3)}-a${random.slice(3, 6)}-${random.slice(6, 18)}`;
}
