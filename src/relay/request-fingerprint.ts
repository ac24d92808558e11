import { createHash } from 'node:crypto';

import type { RelayRequest } from './relay-request.js';

/** Length of a fingerprint, in hexadecimal digits. */
const FINGERPRINT_DIGITS = 12;

/**
 * Computes what the repetitions of a request have in common: path, caller and body. Ids and deadlines
 * are new in each attempt of a caller.
 *
 * @param request - the caller's request
 * @param team - the caller's team; undefined on open routes
 * @returns hexadecimal digits
 */
export function fingerprintRequest(request: RelayRequest, team: string | undefined): string {
  const { method, path, body } = request;
  return createHash('sha256')
    .update(JSON.stringify([method, path, team ?? '']))
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}
