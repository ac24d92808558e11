import type { LoadEstimate } from './engine-load-tracker.js';

/** Server with the state that the selection depends on. */
export interface Candidate<Server> {
  readonly server: Server;
  readonly name: string;
  readonly estimate: LoadEstimate;
  readonly draining: boolean;
  /** True when it failed recently; it is selected only when every allowed server is avoided. */
  readonly avoided: boolean;
  /** True when the server is in the availability zone of this VM. */
  readonly ownZone: boolean;
  /**
   * Number of suspects, requests suspected of crashing engines, that this VM runs on the server.
   */
  readonly suspects: number;
  /** Prompt tokens of this request that the server is expected to have cached. */
  readonly cachedTokens: number;
}

/** Constraints and parameters of a selection. */
export interface SelectionCriteria {
  /** Names of servers that must not be selected. */
  readonly excluded: ReadonlySet<string>;
  /** True when the request is a suspect; it must not share a server with another suspect. */
  readonly suspect: boolean;
  /** Free KV blocks that decoding needs. */
  readonly blocks: number;
  /**
   * A server with a cached prefix is preferred while its queue exceeds the shortest by at most this
   * number of prompt tokens.
   */
  readonly affinityTokens: number;
  /** Random numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

type Comparator<Server> = (a: Candidate<Server>, b: Candidate<Server>) => number;

/**
 * Selects a server for decoding by the power of two choices: of two random servers with enough free
 * capacity, the one with more free blocks, then with more free slots, then in the own zone.
 *
 * @param candidates - servers of the model
 * @param criteria - constraints of the selection
 * @returns the selected candidate, or undefined when no usable server has enough free capacity
 */
export function selectDecode<Server>(
  candidates: readonly Candidate<Server>[],
  criteria: SelectionCriteria,
): Candidate<Server> | undefined {
  const withCapacity = candidates.filter(
    ({ estimate }) => estimate.slotsFree >= 1 && estimate.blocksFree >= criteria.blocks,
  );
  return pickBetterOfTwo(
    filterUsable(withCapacity, criteria),
    compareFreeCapacity,
    criteria.random,
  );
}

/**
 * Selects a server for prefill: of all usable servers, the one with the shortest queue, unless the
 * queue of a server with a cached prefix exceeds it by at most `affinityTokens`.
 *
 * @param candidates - servers of the model
 * @param criteria - constraints of the selection
 * @returns the selected candidate, or undefined when there is no usable server
 */
export function selectPrefill<Server>(
  candidates: readonly Candidate<Server>[],
  criteria: SelectionCriteria,
): Candidate<Server> | undefined {
  const usable = filterUsable(candidates, criteria);
  const leastQueued = pickBest(usable, compareQueueLength, criteria.random);
  const cached = usable
    .filter((candidate) => candidate.cachedTokens > 0)
    .sort(compareCachedTokens)[0];
  if (!leastQueued || !cached) return leastQueued;
  const excess = cached.estimate.queuedPrefillTokens - leastQueued.estimate.queuedPrefillTokens;
  return excess <= criteria.affinityTokens ? cached : leastQueued;
}

/**
 * Selects a random usable server, preferring the own zone.
 *
 * @param candidates - servers of the pool
 * @param criteria - constraints of the selection
 * @returns the selected candidate, or undefined when there is no usable server
 */
export function selectRandom<Server>(
  candidates: readonly Candidate<Server>[],
  criteria: SelectionCriteria,
): Candidate<Server> | undefined {
  const usable = filterUsable(candidates, criteria);
  const own = usable.filter((candidate) => candidate.ownZone);
  const preferred = own.length > 0 ? own : usable;
  return preferred[Math.floor(criteria.random() * preferred.length)];
}

/**
 * Filters out draining and excluded servers. For a request suspected of crashing engines, also filters
 * out servers with another suspected request.
 * Avoided servers are used only when no other server is left.
 */
function filterUsable<Server>(
  candidates: readonly Candidate<Server>[],
  criteria: SelectionCriteria,
): readonly Candidate<Server>[] {
  const allowed = candidates.filter(
    (candidate) =>
      !candidate.draining &&
      !criteria.excluded.has(candidate.name) &&
      !(criteria.suspect && candidate.suspects > 0),
  );
  const healthy = allowed.filter((candidate) => !candidate.avoided);
  return healthy.length > 0 ? healthy : allowed;
}

/** Picks two distinct random candidates and returns the better one. */
function pickBetterOfTwo<Server>(
  candidates: readonly Candidate<Server>[],
  compare: Comparator<Server>,
  random: () => number,
): Candidate<Server> | undefined {
  const first = Math.floor(random() * candidates.length);
  const one = candidates[first];
  if (candidates.length < 2) return one;
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const two = candidates[(first + step) % candidates.length];
  if (!one || !two) return one ?? two;
  return preferOwnZone(compare)(one, two) <= 0 ? one : two;
}

/**
 * Compares all servers, starting at a random one, so that equal servers are chosen equally often.
 */
function pickBest<Server>(
  candidates: readonly Candidate<Server>[],
  compare: Comparator<Server>,
  random: () => number,
): Candidate<Server> | undefined {
  const first = Math.floor(random() * candidates.length);
  const rotated = [...candidates.slice(first), ...candidates.slice(0, first)];
  return rotated.sort(preferOwnZone(compare))[0];
}

/** Extends a comparator to break ties in favour of the own zone. */
function preferOwnZone<Server>(compare: Comparator<Server>): Comparator<Server> {
  return (a, b) => compare(a, b) || Number(b.ownZone) - Number(a.ownZone);
}

function compareFreeCapacity(a: Candidate<unknown>, b: Candidate<unknown>): number {
  return (
    b.estimate.blocksFree - a.estimate.blocksFree || b.estimate.slotsFree - a.estimate.slotsFree
  );
}

function compareQueueLength(a: Candidate<unknown>, b: Candidate<unknown>): number {
  return a.estimate.queuedPrefillTokens - b.estimate.queuedPrefillTokens;
}

function compareCachedTokens(a: Candidate<unknown>, b: Candidate<unknown>): number {
  return b.cachedTokens - a.cachedTokens || compareQueueLength(a, b);
}
