import type { Relay } from '../relay/relay.js';
import type { FleetWork } from './digest.js';

/**
 * Lists the work of this VM for its digest.
 *
 * @param relay - the relay of this VM
 * @param nowMs - monotonic time, in milliseconds
 * @returns its work
 */
export function composeWork(relay: Relay, nowMs: number): FleetWork {
  return {
    punctual: relay.punctualWaiting,
    waiting: relay.waiting,
    startsPerSecond: relay.startsPerSecond,
    spent: relay.rateLimiter.spent,
    retries: relay.retryBudgets.totals,
    costs: relay.costs.reported(nowMs),
    loads: [...relay.loads.ownLoads].map(([id, { running, kvTokens, prefillTokens }]) => [
      ...([id, running, Math.round(kvTokens), prefillTokens] as const),
    ]),
    avoided: [...relay.health.avoided(nowMs)].map(([id, ms]) => [id, Math.round(ms)]),
    leavers: [...relay.catalog.leavers],
    crashes: relay.crashes.reports(nowMs),
    sound: relay.crashes.soundReports(nowMs),
    limits: relay.limits.reports(nowMs),
    cold: relay.limits.cold.reports(nowMs),
    capacities: relay.capacities.reports(nowMs),
  };
}
