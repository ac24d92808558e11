import type { CatalogServer } from './server-catalog.js';
import type { ServerLoads } from './server-loads.js';

/**
 * Requests per slot up to which none is refused. At this ratio one and a half requests per slot queue at
 * the server, so an answer takes two and a half times as long as its service time, which is within the
 * usual targets of three times the service time and more.
 */
const MAX_LOAD_RATIO = 2.5;

/** The same for teams that have exhausted their rate; they only get capacity that others leave. */
const OVER_RATE_MAX_LOAD_RATIO = 1.5;

/**
 * Exponent that sets how fast the refusal probability grows with the ratio. With 1, too few requests are
 * refused at twice the capacity; with 2 and more, the probability oscillates when the load data of other
 * VMs is stale (features/relay, the plain burst).
 */
const STEEPNESS = 1.5;

/**
 * Computes the fraction of the requests to a plain pool to refuse immediately. The queue of a full server
 * makes every request late; with fewer sent, as many are answered, and most of them on time.
 *
 * Load pattern: bursts beyond the capacity of a pool, load data of other VMs that is some hundred ms old.
 *
 * @param servers - servers of the pool that may receive requests
 * @param loads - requests of all VMs at each server
 * @param insideRate - false for a team that has exhausted its rate
 * @returns probability of refusal, 0 to 1
 */
export function computeRefusalProbability(
  servers: readonly CatalogServer[],
  loads: ServerLoads,
  insideRate: boolean,
): number {
  const { slots, running } = loads.sum(servers);
  if (slots === 0) return 0;
  const maxRatio = insideRate ? MAX_LOAD_RATIO : OVER_RATE_MAX_LOAD_RATIO;
  const ratio = running / slots;
  return ratio <= maxRatio ? 0 : 1 - (maxRatio / ratio) ** STEEPNESS;
}
