import type { CatalogServer } from './server-catalog.js';
import type { ServerLoads } from './server-loads.js';

/**
 * Requests for each slot up to which all are sent. One and a half of them wait at the server then, so
 * an answer takes two and a half times as long as the work, which is inside the usual targets of
 * three and more times.
 */
const MAX_LOAD_RATIO = 2.5;

/** The same for teams that have used their rate, which wait for what the others leave. */
const OVER_RATE_MAX_LOAD_RATIO = 1.5;

/**
 * How fast the refused part grows with the ratio. With 1 too few are refused at twice the capacity; with
 * 2 and more the part swings when news is old (features/relay, the plain burst).
 */
const STEEPNESS = 1.5;

/**
 * Tells which part of the requests to a plain pool is to be refused at once. A full server's line makes
 * every request late; with fewer sent, as many are answered and most of them on time.
 *
 * Pattern: bursts beyond what a pool can run, news from other VMs that is some hundred ms old.
 *
 * @param servers - servers of the pool that may get work
 * @param loads - requests at each server, of all VMs
 * @param insideRate - false for a team that has used its rate
 * @returns part of the requests, 0 to 1
 */
export function computeRefusalProbability(
  servers: readonly CatalogServer[],
  loads: ServerLoads,
  insideRate: boolean,
): number {
  const { slots, running } = loads.sum(servers);
  if (slots === 0) return 0;
  const most = insideRate ? MAX_LOAD_RATIO : OVER_RATE_MAX_LOAD_RATIO;
  const ratio = running / slots;
  return ratio <= most ? 0 : 1 - (most / ratio) ** STEEPNESS;
}
