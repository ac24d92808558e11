import { request } from 'undici';

import type { FleetDaemon } from '../../harness/fleet.js';
import { MODEL } from '../../harness/plans.js';

/** Status and refusal of a response to a request with a key. */
export interface KeyAnswer {
  readonly route: string;
  readonly status: number;
  readonly code: string | undefined;
  readonly run: string | undefined;
}

/**
 * Paths that need a key. The entry address path also refuses a wrong key but is not listed here.
 */
export const KEYED_ROUTES = ['/v1/completions', '/v1/chat/completions', '/services/yard/jobs/1'];

/** Path of an open route, which needs no key, in the small fleets. */
export const OPEN_ROUTE = '/services/yard/status';

const BODIES: Readonly<Record<string, object>> = {
  '/v1/completions': { model: MODEL, prompt: 'roll the square', max_tokens: 3 },
  '/v1/chat/completions': {
    ...{ model: MODEL, max_tokens: 3 },
    messages: [{ role: 'user', content: 'roll the square' }],
  },
};

/**
 * Sends one request with the given Authorization header.
 *
 * @param daemon - the daemon
 * @param route - path of the request
 * @param authorization - value of the header; undefined omits it
 * @param headers - additional headers
 * @returns the status and the refusal, if any
 */
export async function sendWithHeader(
  daemon: FleetDaemon,
  route: string,
  authorization: string | undefined,
  headers: Readonly<Record<string, string>> = {},
): Promise<KeyAnswer> {
  const { host, port } = daemon.callers;
  const body = BODIES[route];
  const answer = await request(`http://${host}:${port}${route}`, {
    method: body ? 'POST' : 'GET',
    headers: { ...headers, ...(authorization === undefined ? {} : { authorization }) },
    body: body && JSON.stringify(body),
    reset: true,
    headersTimeout: 5000,
  });
  const text = await answer.body.text();
  const refused = answer.statusCode === 200 ? undefined : readError(text);
  return { route, status: answer.statusCode, code: refused?.code, run: refused?.run };
}

/**
 * Sends a request on each route that needs a key.
 *
 * @param daemon - the daemon
 * @param authorization - value of the header; undefined omits it
 * @returns one answer per route
 */
export function sendOnKeyedRoutes(
  daemon: FleetDaemon,
  authorization: string | undefined,
): Promise<KeyAnswer[]> {
  return Promise.all(KEYED_ROUTES.map((route) => sendWithHeader(daemon, route, authorization)));
}

function readError(text: string): { code?: string; run?: string } | undefined {
  return (JSON.parse(text) as { error?: { code?: string; run?: string } }).error;
}
