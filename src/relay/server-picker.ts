import { shuffle } from '../kernel/shuffle.js';
import type { CatalogServer } from './server-catalog.js';
import type { ServerHealth, ServerState } from './server-health.js';
import type { ServerLoads } from './server-loads.js';

/** Knows what servers take well, relative to the fastest of their pool. */
export interface ServerShares {
  /**
   * Returns the share of a server.
   *
   * @param server - the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns share, above 0 and up to 1
   */
  shareOf(server: CatalogServer, nowMs: number): number;
}

/** Inputs of a server choice. */
export interface PickerFacts {
  readonly loads: ServerLoads;
  readonly health: ServerHealth;
  /** What each server takes well; without it, servers count as equal. */
  readonly capacities?: ServerShares;
  /** Availability zone of this VM. */
  readonly availabilityZone: string;
  readonly nowMs: number;
  /** True for requests that may run again after a failure. */
  readonly repeatable?: boolean;
  /** True when many VMs choose from the same load data before they learn of each other's choices. */
  readonly newsIsOld?: boolean;
}

/** Weight factor for plain servers in this VM's zone. */
const SAME_ZONE_FACTOR = 1.3;

/** Weight factor for a plain server that has just rejected a request for lack of capacity. */
const FULL_FACTOR = 0.1;

/** Requests per slot of the sound servers from which repeatable requests also go to failing servers. */
const REPEATABLE_SPILL_RATIO = 1;

/**
 * The same for requests that may run only once. Beyond it, more would be refused or late at the sound
 * servers, while a failing server answers most of its requests.
 */
const ONCE_SPILL_RATIO = 2;

/** Failure share above which a server gets no requests that may run only once. */
const MAX_ONCE_FAILURE_SHARE = 0.6;

/** Number of random candidates that are compared when load data is stale. */
const STALE_SAMPLE_SIZE = 2;

/** Handicap for an engine of another zone, as a fraction of its capacity; the score adds half of it. */
const CROSS_ZONE_PENALTY = 0.1;

/**
 * Lists the plain servers that a request may be sent to. Servers that fail some of their requests are
 * left out until the sound servers have no free slot or, for requests that may run only once, until they
 * would wait long. Without the failing servers, the sound ones would get more than they can answer in time.
 *
 * Load pattern: most servers of a pool fail half of their requests for some seconds.
 *
 * @param servers - servers of the pool
 * @param facts - loads, health, time, and whether the request is repeatable
 * @returns the sound servers, plus failing ones where needed; all servers when none is sound or failing
 */
export function listPlainServers(
  servers: readonly CatalogServer[],
  { loads, health, nowMs, repeatable = false }: PickerFacts,
): readonly CatalogServer[] {
  const select = (state: ServerState) =>
    servers.filter(({ id }) => health.stateOf(id, nowMs) === state);
  const [sound, failing] = [select('sound'), select('failing')];
  if (sound.length === 0) return failing.length > 0 ? failing : servers;
  const { slots, running } = loads.sum(sound);
  if (running < (repeatable ? REPEATABLE_SPILL_RATIO : ONCE_SPILL_RATIO) * slots) return sound;
  const maxFailureShare = repeatable ? 1 : MAX_ONCE_FAILURE_SHARE;
  return [
    ...sound,
    ...failing.filter(({ id }) => health.failureShare(id, nowMs) <= maxFailureShare),
  ];
}

/**
 * Chooses a plain server at random, weighted by what it takes well; an empty one is twice as likely as a
 * full one. A stronger bias would make VMs with the same load data all choose the same server at once.
 *
 * Load pattern: many VMs, each with few requests and load data that is older than a request's duration.
 *
 * @param servers - servers of the pool that may receive requests
 * @param excluded - ids of servers that this request may not use
 * @param facts - loads, health and time
 * @param random - returns random numbers from 0 to 1
 * @returns the server, or undefined when none is left
 */
export function pickPlainServer(
  servers: readonly CatalogServer[],
  excluded: ReadonlySet<string>,
  facts: PickerFacts,
  random: () => number = Math.random,
): CatalogServer | undefined {
  const { loads, health, availabilityZone, nowMs } = facts;
  const usable = servers.filter(({ id }) => !excluded.has(id));
  const weighted = listPlainServers(usable, facts).map((server) => {
    const free = Math.max(0, 1 - loads.totalAt(server.id).running / Math.max(1, server.slots));
    const near = server.availabilityZone === availabilityZone ? SAME_ZONE_FACTOR : 1;
    const full = health.isFull(server.id, nowMs) ? FULL_FACTOR : 1;
    const sound = 1 - health.failureShare(server.id, nowMs);
    const share = facts.capacities?.shareOf(server, nowMs) ?? 1;
    return { server, weight: (1 + free) * near * full * sound * share };
  });
  let remaining = random() * weighted.reduce((sum, { weight }) => sum + weight, 0);
  const chosen = weighted.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (chosen ?? weighted.at(-1))?.server;
}

/**
 * Chooses the prefill engine that would be the first to have read the prompt.
 *
 * @param servers - engines that may prefill prompts
 * @param excluded - ids of servers that this request may not use
 * @param promptTokens - tokens of the prompt
 * @param facts - loads, health and time
 * @returns the engine and the prompt tokens queued ahead, or undefined when none is left
 */
export function pickPrefillServer(
  servers: readonly CatalogServer[],
  excluded: ReadonlySet<string>,
  promptTokens: number,
  { loads, health, capacities, nowMs }: PickerFacts,
): { readonly server: CatalogServer; readonly tokensAhead: number } | undefined {
  const usable = servers.filter(({ id }) => !excluded.has(id));
  const healthy = usable.filter(({ id }) => !health.isAvoided(id, nowMs));
  const scored = shuffle(healthy.length > 0 ? healthy : usable).map((server) => {
    const tokensAhead = loads.totalAt(server.id).prefillTokens;
    const share = capacities?.shareOf(server, nowMs) ?? 1;
    return { server, tokensAhead, score: (tokensAhead + promptTokens) / share };
  });
  scored.sort((left, right) => left.score - right.score);
  return scored[0];
}

/** Capacity of one decode engine. */
export interface DecodeCapacity {
  readonly slots: number;
  readonly kvTokens: number;
}

/**
 * Chooses the least utilized decode engine with room for a request; the slots of a slow engine count less.
 * When the load data of other VMs is stale, it is the better of two random candidates: otherwise many VMs
 * choose the same engine at once, and the memory of their requests exceeds its capacity later.
 *
 * @param servers - engines that may decode
 * @param excluded - ids of servers that this request may not use
 * @param needTokens - KV cache tokens of the request
 * @param capacity - capacity of an empty engine
 * @param facts - loads, health and time
 * @returns the engine, or undefined when none has enough free capacity
 */
export function pickDecodeServer(
  servers: readonly CatalogServer[],
  excluded: ReadonlySet<string>,
  needTokens: number,
  capacity: DecodeCapacity,
  { loads, health, capacities, availabilityZone, nowMs, newsIsOld = false }: PickerFacts,
): CatalogServer | undefined {
  const usable = servers.filter(({ id }) => !excluded.has(id) && !health.isFull(id, nowMs));
  const healthy = usable.filter(({ id }) => !health.isAvoided(id, nowMs));
  const scored = shuffle(healthy.length > 0 ? healthy : usable)
    .map((server) => {
      const { running, kvTokens } = loads.totalAt(server.id);
      const slots = Math.min(capacity.slots, server.slots) - running;
      const free = capacity.kvTokens - kvTokens;
      const share = capacities?.shareOf(server, nowMs) ?? 1;
      const used = Math.max(running / capacity.slots, kvTokens / capacity.kvTokens) / share;
      const penalty = server.availabilityZone === availabilityZone ? 0 : CROSS_ZONE_PENALTY / 2;
      return { server, fits: slots >= 1 && free >= needTokens, score: used + penalty };
    })
    .filter(({ fits }) => fits)
    .slice(0, newsIsOld ? STALE_SAMPLE_SIZE : undefined);
  scored.sort((left, right) => left.score - right.score);
  return scored[0]?.server;
}
