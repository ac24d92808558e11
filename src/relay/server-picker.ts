import { shuffle } from '../kernel/shuffle.js';
import type { CatalogServer } from './server-catalog.js';
import type { ServerHealth } from './server-health.js';
import type { ServerLoads } from './server-loads.js';

/** What a choice is made from. */
export interface PickerFacts {
  readonly loads: ServerLoads;
  readonly health: ServerHealth;
  /** Zone of this VM. */
  readonly availabilityZone: string;
  readonly nowMs: number;
}

/** Relative load by which a server of another zone must be better, in parts of its slots. */
const ZONE_PREFERENCE = 0.1;

/**
 * Chooses the plain server with the fewest requests for its slots, in this zone first when the loads
 * are near. Servers that fail are used only when there is no other.
 *
 * @param servers - servers of the pool that may get work
 * @param excluded - ids of servers that this request may not use
 * @param facts - loads, health and time
 * @returns the server, or undefined when none is left
 */
export function pickPlainServer(
  servers: readonly CatalogServer[],
  excluded: ReadonlySet<string>,
  facts: PickerFacts,
): CatalogServer | undefined {
  const { loads, health, availabilityZone, nowMs } = facts;
  const scored = shuffle(servers.filter(({ id }) => !excluded.has(id))).map((server) => {
    const away = server.availabilityZone === availabilityZone ? 0 : ZONE_PREFERENCE;
    const load = loads.at(server.id).running / Math.max(1, server.slots);
    const penalty = health.avoids(server.id, nowMs) ? Infinity : 0;
    const full = health.isFull(server.id, nowMs) ? 1 : 0;
    return { server, rank: penalty, score: load + away + full };
  });
  scored.sort((left, right) => compare(left.rank, right.rank) || left.score - right.score);
  return scored[0]?.server;
}

/**
 * Chooses the prefill engine with the least work before it.
 *
 * @param servers - engines that may read prompts
 * @param excluded - ids of servers that this request may not use
 * @param facts - loads, health and time
 * @returns the engine and the prompt tokens before it, or undefined when none is left
 */
export function pickPrefillServer(
  servers: readonly CatalogServer[],
  excluded: ReadonlySet<string>,
  { loads, health, nowMs }: PickerFacts,
): { readonly server: CatalogServer; readonly tokensAhead: number } | undefined {
  const usable = servers.filter(({ id }) => !excluded.has(id));
  const healthy = usable.filter(({ id }) => !health.avoids(id, nowMs));
  const scored = shuffle(healthy.length > 0 ? healthy : usable).map((server) => ({
    server,
    tokensAhead: loads.at(server.id).prefillTokens,
  }));
  scored.sort((left, right) => left.tokensAhead - right.tokensAhead);
  return scored[0];
}

/** Room of one decode engine. */
export interface Room {
  readonly slots: number;
  readonly kvTokens: number;
}

/**
 * Chooses the decode engine with the most room for a request.
 *
 * @param servers - engines that may decode
 * @param excluded - ids of servers that this request may not use
 * @param needTokens - KV cache tokens of the request
 * @param capacity - room of an empty engine
 * @param facts - loads, health and time
 * @returns the engine, or undefined when none has room
 */
export function pickDecodeServer(
  servers: readonly CatalogServer[],
  excluded: ReadonlySet<string>,
  needTokens: number,
  capacity: Room,
  { loads, health, availabilityZone, nowMs }: PickerFacts,
): CatalogServer | undefined {
  const usable = servers.filter(({ id }) => !excluded.has(id) && !health.isFull(id, nowMs));
  const healthy = usable.filter(({ id }) => !health.avoids(id, nowMs));
  const scored = shuffle(healthy.length > 0 ? healthy : usable)
    .map((server) => {
      const { running, kvTokens } = loads.at(server.id);
      const slots = Math.min(capacity.slots, server.slots) - running;
      const free = capacity.kvTokens - kvTokens;
      const used = Math.max(running / capacity.slots, kvTokens / capacity.kvTokens);
      const away = server.availabilityZone === availabilityZone ? 0 : ZONE_PREFERENCE / 2;
      return { server, fits: slots >= 1 && free >= needTokens, score: used + away };
    })
    .filter(({ fits }) => fits);
  scored.sort((left, right) => left.score - right.score);
  return scored[0]?.server;
}

function compare(left: number, right: number): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
