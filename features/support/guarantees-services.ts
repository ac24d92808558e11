import { Client } from 'undici';

import { callService, type CallerAnswer } from '../../harness/caller-client.js';
import type { FleetDaemon } from '../../harness/fleet.js';
import { createIdempotencyKey } from '../../harness/idempotency-key.js';
import type { Address } from '../../src/domain/vm.js';

/** Path of job lookups, which may be repeated. */
export const JOBS_ROUTE = '/services/yard/jobs';

/** Path of orders, which must not be repeated. */
export const ORDERS_ROUTE = '/services/yard/orders';

/**
 * Looks up a job.
 *
 * @param daemon - the daemon to ask
 * @param key - key of the team
 * @returns the answer
 */
export function lookUpJob(daemon: FleetDaemon, key: string): Promise<CallerAnswer> {
  return callService(daemon.callers, { method: 'GET', path: `${JOBS_ROUTE}/1`, key });
}

/**
 * Places an order, which must not run twice.
 *
 * @param daemon - the daemon to ask
 * @param key - key of the team
 * @param idempotencyKey - idempotency key of the order
 * @returns the answer
 */
export function placeOrder(
  daemon: FleetDaemon,
  key: string,
  idempotencyKey = createIdempotencyKey(),
): Promise<CallerAnswer> {
  const body = JSON.stringify({ paint: 'white', order: idempotencyKey });
  return callService(daemon.callers, {
    method: 'POST',
    path: ORDERS_ROUTE,
    body,
    key,
    idempotencyKey,
  });
}

/** A caller that keeps its connection open between requests. */
export interface KeepAliveCaller {
  /** Sends one lookup and returns status and body; rejects if the connection breaks. */
  readonly ask: (path: string, key: string) => Promise<{ status: number; text: string }>;
  readonly close: () => Promise<void>;
}

/**
 * Opens a caller with one connection, which is reopened after the server has asked to close it.
 *
 * @param address - address of the caller listener
 * @returns the caller
 */
export function openKeepAliveCaller({ host, port }: Address): KeepAliveCaller {
  const client = new Client(`http://${host}:${port}`, { pipelining: 1 });
  return {
    ask: async (path, key) => {
      const headers = { authorization: `Bearer ${key}` };
      const answer = await client.request({ method: 'GET', path, headers });
      return { status: answer.statusCode, text: await answer.body.text() };
    },
    close: () => client.close(),
  };
}
