import { rankByRendezvous } from '../kernel/rendezvous.js';

/** A VM that may grant places. */
export interface GranterCandidate {
  readonly vm: string;
  /** CPU time that the VM may use, in cores. */
  readonly power: number;
  readonly ready: boolean;
  readonly draining: boolean;
}

/** Largest number of engines for each granter. */
const ENGINES_PER_GRANTER = 64;

/** Part of the largest VM's CPU time that a granter has at least. */
const MIN_POWER_FRACTION = 0.5;

/**
 * Chooses the VMs that grant the places of a pool, among those with much CPU time.
 *
 * @param pool - name of the pool
 * @param members - candidates, including this VM
 * @param engineCount - number of engines of the pool
 * @returns names of the granters; empty without engines or candidates
 */
export function chooseGranters(
  pool: string,
  members: readonly GranterCandidate[],
  engineCount: number,
): string[] {
  const eligible = members.filter(({ ready, draining }) => ready && !draining);
  const largest = eligible.reduce((most, { power }) => Math.max(most, power), 0);
  const strong = eligible.filter(({ power }) => power >= MIN_POWER_FRACTION * largest);
  return rankByRendezvous(`places ${pool}`, strong, ({ vm }) => vm)
    .slice(0, Math.ceil(engineCount / ENGINES_PER_GRANTER))
    .map(({ vm }) => vm);
}

/**
 * Finds the granter of an engine.
 *
 * @param engine - id of the engine
 * @param granters - names of the pool's granters
 * @returns name of its granter, or undefined when there are no granters
 */
export function findGranter(engine: string, granters: readonly string[]): string | undefined {
  return granters.length <= 1
    ? granters[0]
    : rankByRendezvous(engine, granters, (granter) => granter)[0];
}
