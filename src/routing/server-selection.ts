import type { LoadEstimate } from './engine-load-tracker.js';

/** A server as the choice sees it. */
export interface Candidate<Server> {
  readonly server: Server;
  readonly name: string;
  readonly estimate: LoadEstimate;
  readonly draining: boolean;
  /** True when it failed lately; it is chosen only when no other can be. */
  readonly avoided: boolean;
  readonly ownZone: boolean;
  /** Suspects that this VM runs there. */
  readonly suspects: number;
  /** Prompt tokens of this request that the server has cached, as far as this VM knows. */
  readonly cachedTokens: number;
}

/** What a choice has to respect. */
export interface SelectionCriteria {
  readonly excluded: ReadonlySet<string>;
  /** True when no other suspect may run on the server. */
  readonly suspect: boolean;
  /** KV blocks needed to decode. */
  readonly blocks: number;
  /** Most queued prompt tokens for which a cached prefix outweighs a less loaded server. */
  readonly affinityTokens: number;
  /** Random numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

type Comparator<Server> = (a: Candidate<Server>, b: Candidate<Server>) => number;

/**
 * Chooses a server to decode on: two at random with room, the better by free blocks, then slots.
 *
 * @param candidates - servers of the model
 * @param rule - what to respect
 * @returns the choice, or undefined when no server has room
 */
export function selectDecode<Server>(
  candidates: readonly Candidate<Server>[],
  rule: SelectionCriteria,
): Candidate<Server> | undefined {
  const roomy = candidates.filter(
    ({ estimate }) => estimate.slotsFree >= 1 && estimate.blocksFree >= rule.blocks,
  );
  return pickBetterOfTwo(filterUsable(roomy, rule), compareFreeCapacity, rule.random);
}

/**
 * Chooses a server to prefill on: two at random, the one with the shorter queue, unless a server
 * with a cached prefix is not much more loaded.
 *
 * @param candidates - servers of the model
 * @param rule - what to respect
 * @returns the choice, or undefined when there is no usable server
 */
export function selectPrefill<Server>(
  candidates: readonly Candidate<Server>[],
  rule: SelectionCriteria,
): Candidate<Server> | undefined {
  const usable = filterUsable(candidates, rule);
  const lightest = pickBest(usable, compareQueueLength, rule.random);
  const cached = usable
    .filter((candidate) => candidate.cachedTokens > 0)
    .sort(compareCachedTokens)[0];
  if (!lightest || !cached) return lightest;
  const excess = cached.estimate.queuedPrefillTokens - lightest.estimate.queuedPrefillTokens;
  return excess <= rule.affinityTokens ? cached : lightest;
}

/**
 * Chooses any server, one in the own zone if possible.
 *
 * @param candidates - servers of the pool
 * @param rule - what to respect
 * @returns the choice, or undefined when there is no usable server
 */
export function selectRandom<Server>(
  candidates: readonly Candidate<Server>[],
  rule: SelectionCriteria,
): Candidate<Server> | undefined {
  const usable = filterUsable(candidates, rule);
  const own = usable.filter((candidate) => candidate.ownZone);
  const preferred = own.length > 0 ? own : usable;
  return preferred[Math.floor(rule.random() * preferred.length)];
}

function filterUsable<Server>(
  candidates: readonly Candidate<Server>[],
  rule: SelectionCriteria,
): readonly Candidate<Server>[] {
  const allowed = candidates.filter(
    (candidate) =>
      !candidate.draining &&
      !rule.excluded.has(candidate.name) &&
      !(rule.suspect && candidate.suspects > 0),
  );
  const healthy = allowed.filter((candidate) => !candidate.avoided);
  return healthy.length > 0 ? healthy : allowed;
}

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

/** Considers all servers, from a random one on, so that equal ones are chosen equally often. */
function pickBest<Server>(
  candidates: readonly Candidate<Server>[],
  compare: Comparator<Server>,
  random: () => number,
): Candidate<Server> | undefined {
  const first = Math.floor(random() * candidates.length);
  const turned = [...candidates.slice(first), ...candidates.slice(0, first)];
  return turned.sort(preferOwnZone(compare))[0];
}

/** Breaks ties of an order in favour of the own zone. */
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
