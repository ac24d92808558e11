import { shuffle } from '../kernel/shuffle.js';
import type { CatalogServer } from './server-catalog.js';
import type { ServerHealth, ServerState } from './server-health.js';
import type { ServerLoads } from './server-loads.js';

/** What a choice is made from. */
export interface PickerFacts {
  readonly loads: ServerLoads;
  readonly health: ServerHealth;
  /** Zone of this VM. */
  readonly availabilityZone: string;
  readonly nowMs: number;
  /** True for requests that may run again after a failure. */
  readonly repeatable?: boolean;
  /** True when many VMs choose by the same news before they hear of each other's choices. */
  readonly newsIsOld?: boolean;
}

/** Preference for plain servers of this VM's zone. */
const SAME_ZONE_FACTOR = 1.3;

/** Weight of a plain server that has just turned a request away. */
const FULL_FACTOR = 0.1;

/** Requests for each slot of the sound servers from which repeatable ones also go to failing servers. */
const REPEATABLE_SPILL_RATIO = 1;

/**
 * The same for requests that may run once only. More would be refused or late at the sound servers,
 * while a failing one answers the most part of them.
 */
const ONCE_SPILL_RATIO = 2;

/** Share of failures from which a server is not worth a request that may run once only. */
const MAX_ONCE_FAILURE_SHARE = 0.6;

/** Engines that are compared where news is old. */
const STALE_SAMPLE_SIZE = 2;

/** Relative load by which a server of another zone must be better, in parts of its slots. */
const CROSS_ZONE_PENALTY = 0.1;

/**
 * Lists the plain servers that a request may be sent to. Servers that fail a part of their requests are
 * left out until the sound servers have no slot free, and by requests that may run once only until they
 * would wait long; without them the sound ones would get more than they can answer in time.
 *
 * Pattern: most servers of a pool fail half of their requests for some seconds.
 *
 * @param servers - servers of the pool
 * @param facts - loads, health, time and the kind of request
 * @returns the sound servers, with failing ones where needed; all servers when none is sound or failing
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
  const most = repeatable ? 1 : MAX_ONCE_FAILURE_SHARE;
  return [...sound, ...failing.filter(({ id }) => health.failureShare(id, nowMs) <= most)];
}

/**
 * Chooses a plain server by chance; an empty one is twice as likely as a full one. More would make VMs
 * with the same news go to the same server all at once.
 *
 * Pattern: many VMs, each with few requests and news that is older than a request lasts.
 *
 * @param servers - servers of the pool that may get work
 * @param excluded - ids of servers that this request may not use
 * @param facts - loads, health and time
 * @param draw - gives random numbers from 0 to 1
 * @returns the server, or undefined when none is left
 */
export function pickPlainServer(
  servers: readonly CatalogServer[],
  excluded: ReadonlySet<string>,
  facts: PickerFacts,
  draw: () => number = Math.random,
): CatalogServer | undefined {
  const { loads, health, availabilityZone, nowMs } = facts;
  const usable = servers.filter(({ id }) => !excluded.has(id));
  const weighed = listPlainServers(usable, facts).map((server) => {
    const free = Math.max(0, 1 - loads.totalAt(server.id).running / Math.max(1, server.slots));
    const near = server.availabilityZone === availabilityZone ? SAME_ZONE_FACTOR : 1;
    const full = health.isFull(server.id, nowMs) ? FULL_FACTOR : 1;
    const sound = 1 - health.failureShare(server.id, nowMs);
    return { server, weight: (1 + free) * near * full * sound };
  });
  let left = draw() * weighed.reduce((sum, { weight }) => sum + weight, 0);
  const chosen = weighed.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (chosen ?? weighed.at(-1))?.server;
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
  const healthy = usable.filter(({ id }) => !health.isAvoided(id, nowMs));
  const scored = shuffle(healthy.length > 0 ? healthy : usable).map((server) => ({
    server,
    tokensAhead: loads.totalAt(server.id).prefillTokens,
  }));
  scored.sort((left, right) => left.tokensAhead - right.tokensAhead);
  return scored[0];
}

/** Room of one decode engine. */
export interface DecodeCapacity {
  readonly slots: number;
  readonly kvTokens: number;
}

/**
 * Chooses the decode engine with the most room for a request. Where the news of other VMs is old, it is
 * the better of two drawn by chance: otherwise many VMs take the same engine at once, and the memory of
 * their requests outgrows it later.
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
  capacity: DecodeCapacity,
  { loads, health, availabilityZone, nowMs, newsIsOld = false }: PickerFacts,
): CatalogServer | undefined {
  const usable = servers.filter(({ id }) => !excluded.has(id) && !health.isFull(id, nowMs));
  const healthy = usable.filter(({ id }) => !health.isAvoided(id, nowMs));
  const scored = shuffle(healthy.length > 0 ? healthy : usable)
    .map((server) => {
      const { running, kvTokens } = loads.totalAt(server.id);
      const slots = Math.min(capacity.slots, server.slots) - running;
      const free = capacity.kvTokens - kvTokens;
      const used = Math.max(running / capacity.slots, kvTokens / capacity.kvTokens);
      const away = server.availabilityZone === availabilityZone ? 0 : CROSS_ZONE_PENALTY / 2;
      return { server, fits: slots >= 1 && free >= needTokens, score: used + away };
    })
    .filter(({ fits }) => fits)
    .slice(0, newsIsOld ? STALE_SAMPLE_SIZE : undefined);
  scored.sort((left, right) => left.score - right.score);
  return scored[0]?.server;
}
