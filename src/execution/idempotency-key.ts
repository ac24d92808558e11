import { createHash } from 'node:crypto';

import { Refusal } from '../domain/refusal.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Maximum time by which a caller's clock may run ahead, in milliseconds. */
const MAX_SKEW_MS = 60_000;

/**
 * Reads the issue time of an idempotency key, which must be a UUIDv7 (RFC 9562, section 5.7).
 *
 * @param key - value of the Idempotency-Key header
 * @param nowMs - wall clock, in milliseconds since the Unix epoch
 * @param windowMs - age at which keys expire, in milliseconds
 * @returns milliseconds since the Unix epoch, or a refusal
 */
export function readIssueTime(
  key: string | undefined,
  nowMs: number,
  windowMs: number,
): Outcome<number, Refusal> {
  if (!key) {
    return fail(
      Refusal.create('idempotency_key_missing', 'this route requires an Idempotency-Key header'),
    );
  }
  if (!UUID_V7.test(key)) {
    return fail(Refusal.create('idempotency_key_invalid', 'the Idempotency-Key must be a UUIDv7'));
  }
  const issuedMs = Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16);
  if (issuedMs > nowMs + MAX_SKEW_MS) {
    return fail(
      Refusal.create('idempotency_key_invalid', 'the Idempotency-Key was issued in the future'),
    );
  }
  if (issuedMs < nowMs - windowMs) {
    return fail(
      Refusal.create(
        'idempotency_key_expired',
        `the Idempotency-Key is older than ${windowMs} ms; whether its request ran is no longer known`,
        { run: 'unknown' },
      ),
    );
  }
  return succeed(issuedMs);
}

/**
 * Hashes an idempotency key together with its scope, which is the team and the route.
 *
 * @param team - team of the request
 * @param route - path prefix of the route
 * @param key - the caller's key
 * @returns the SHA-256 hash, hexadecimal
 */
export function hashKey(team: string, route: string, key: string): string {
  return createHash('sha256')
    .update(JSON.stringify([team, route, key.toLowerCase()]))
    .digest('hex');
}

/**
 * Selects the partition of a key.
 *
 * @param keyHash - result of `hashKey`
 * @param partitions - number of partitions
 * @returns name of the stream of that partition
 */
export function partitionOf(keyHash: string, partitions: number): string {
  return `executions-${Number.parseInt(keyHash.slice(0, 8), 16) % partitions}`;
}
