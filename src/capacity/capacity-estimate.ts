import type { ServerTask } from './capacity-report.js';
import { countUnits, LIGHT_LOAD, type WorkSums } from './work-sums.js';

/** What a server takes well, relative to the fastest servers of its pool. */
export interface CapacityEstimate {
  /** Share of the work of a fast server, above 0 and up to 1. */
  readonly share: number;
  /** Time per unit under the present load, in milliseconds; undefined when too little is known. */
  readonly unitMs: number | undefined;
}

/** Lower bound of a share: the requests that a slow server still gets show when it has recovered. */
export const MIN_SHARE = 0.15;

/** Units of which a server must have done as many before it is compared with others. */
const MIN_UNITS = 3;

/** Units of assumed work at the usual speed, which outweigh few observations. */
const PRIOR_UNITS = 6;

/** Position of the reference among the servers of a pool, from the fastest (0) to the slowest (1). */
const REFERENCE_POSITION = 0.25;

/** Ratio to the reference from which a server counts as equally fast: closer ratios are noise. */
const EQUAL_RATIO = 0.8;

/** Ratio up to which it is taken as measured; between the two the share is interpolated. */
const DIFFERENT_RATIO = 0.6;

interface Reference {
  /** Time per unit of the fast servers of the pool, in milliseconds; undefined when it is not known. */
  readonly lightMs: number | undefined;
  readonly fullMs: number | undefined;
  readonly refusedShare: number;
}

/**
 * Estimates what the servers of a pool take well. All servers of a pool get the same mix of requests, so a
 * server is slower than another one when it needs more time per unit under the same load.
 *
 * @param works - work of each server by id, including those without observations
 * @param task - what the servers do
 * @returns estimates by id
 */
export function estimateCapacities(
  works: ReadonlyMap<string, WorkSums>,
  task: ServerTask,
): Map<string, CapacityEstimate> {
  const sums = [...works.values()];
  const reference: Reference = {
    lightMs: findReference(sums.map(([units, ms]) => ({ units, ms }))),
    fullMs: findReference(sums.map(([, , units, ms]) => ({ units, ms }))),
    refusedShare: Math.min(...sums.map(computeRefusedShare)),
  };
  return new Map(
    [...works].map(([id, work]) => {
      const ratio = task === 'plain' ? comparePlain(work, reference) : compare(work, reference);
      return [id, { share: toShare(ratio), unitMs: computeUnitMs(work) }];
    }),
  );
}

/**
 * Compares the throughput at half load and at full load: a server that slows down before it is full does
 * no more with all of its slots than with half of them.
 */
function comparePlain(work: WorkSums, reference: Reference): number {
  const { lightMs, fullMs, refusedShare } = reference;
  const [lightUnits, ownLightMs, fullUnits, ownFullMs] = work;
  const light = computeRatio(lightUnits, ownLightMs, lightMs, 1);
  const full = computeRatio(fullUnits, ownFullMs, fullMs, light);
  const accepted = (1 - computeRefusedShare(work)) / Math.max(1 - refusedShare, MIN_SHARE);
  return Math.max(LIGHT_LOAD * light, full) * accepted;
}

/** Weighs the ratios at half load and at full load by the units done. */
function compare(work: WorkSums, { lightMs, fullMs }: Reference): number {
  const [lightUnits, ownLightMs, fullUnits, ownFullMs] = work;
  const units = countUnits(work);
  if (units === 0) return 1;
  const light = computeRatio(lightUnits, ownLightMs, lightMs, 1);
  const full = computeRatio(fullUnits, ownFullMs, fullMs, 1);
  return (lightUnits * light + fullUnits * full) / units;
}

/** Returns how fast a server is relative to the reference; the prior ratio outweighs few units. */
function computeRatio(
  units: number,
  ms: number,
  referenceMs: number | undefined,
  prior: number,
): number {
  if (!referenceMs) return prior;
  return (PRIOR_UNITS + units) / (PRIOR_UNITS / prior + ms / referenceMs);
}

function findReference(bands: readonly { units: number; ms: number }[]): number | undefined {
  const times = bands
    .filter(({ units, ms }) => units >= MIN_UNITS && ms > 0)
    .map(({ units, ms }) => ms / units)
    .sort((left, right) => left - right);
  return times.length < 2 ? undefined : times[Math.floor(REFERENCE_POSITION * (times.length - 1))];
}

function computeRefusedShare(work: WorkSums): number {
  const refused = work[4];
  return refused === 0 ? 0 : refused / (PRIOR_UNITS + refused + countUnits(work));
}

function computeUnitMs(work: WorkSums): number | undefined {
  const units = countUnits(work);
  return units < MIN_UNITS ? undefined : (work[1] + work[3]) / units;
}

function toShare(ratio: number): number {
  if (ratio >= EQUAL_RATIO) return 1;
  if (ratio <= DIFFERENT_RATIO) return Math.max(MIN_SHARE, ratio);
  const part = (ratio - DIFFERENT_RATIO) / (EQUAL_RATIO - DIFFERENT_RATIO);
  return DIFFERENT_RATIO + part * (1 - DIFFERENT_RATIO);
}
