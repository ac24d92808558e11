import type { ServerResponse } from 'node:http';

import type { Refusal } from '../domain/refusal.js';

/**
 * Builds the error object that callers receive for a refusal.
 *
 * @param refusal - why the request was refused
 * @param requestId - id of the request
 * @returns the JSON body
 */
export function describeRefusal(refusal: Refusal, requestId: string): object {
  const { code, message, run } = refusal;
  return { error: { code, message, run, requestId } };
}

/**
 * Sends a refusal; does nothing when the connection is closed or the headers have been sent.
 *
 * @param response - the response
 * @param refusal - why the request was refused
 * @param requestId - id of the request
 */
export function sendRefusal(response: ServerResponse, refusal: Refusal, requestId: string): void {
  if (response.destroyed || response.headersSent) return;
  const body = JSON.stringify(describeRefusal(refusal, requestId));
  const { retryAfterMs } = refusal;
  response.writeHead(refusal.status, {
    'content-type': 'application/json',
    'content-length': `${Buffer.byteLength(body)}`,
    'x-cuminspar-run': refusal.run,
    ...(retryAfterMs === undefined ? {} : { 'retry-after': `${Math.ceil(retryAfterMs / 1000)}` }),
  });
  response.end(body);
}
