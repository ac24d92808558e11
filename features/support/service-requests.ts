import { randomUUID } from 'node:crypto';

import type { ServiceRequest } from '../../src/domain/request.js';
import type { Route } from '../../src/domain/route.js';

/** A route of a plain service whose requests must not be repeated. */
export const ORDER_ROUTE: Route = {
  path: '/orders',
  pool: 'yard',
  methods: ['POST'],
  open: false,
  repeatable: false,
  timeoutMs: 200,
  tokens: 1,
};

/** Creates a request to {@link ORDER_ROUTE} with an idempotency key. */
export function createServiceRequest(key: string): ServiceRequest {
  return {
    requestId: randomUUID(),
    team: 'oval',
    keyId: 'k1',
    route: ORDER_ROUTE.path,
    method: 'POST',
    target: ORDER_ROUTE.path,
    headers: {},
    body: Buffer.from('order'),
    idempotencyKey: key,
    fingerprint: '',
    arrivedMs: 0,
    traceparent: undefined,
  };
}
