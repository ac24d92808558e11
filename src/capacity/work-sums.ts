/**
 * Decaying sums of the work that a server has done. A unit is an answer of a plain server, 2,000 prompt
 * tokens of a prefill engine or 16 events of a decode engine. Light work was done while the server had
 * requests for at most half of its slots, full work while it had more.
 */
export type WorkSums = readonly [
  lightUnits: number,
  lightMs: number,
  fullUnits: number,
  fullMs: number,
  refused: number,
];

/** Share of the slots up to which work counts as light. */
export const LIGHT_LOAD = 0.5;

/** Half-life of the weight of an observation, in milliseconds. */
const HALF_LIFE_MS = 3000;

/** Sums of a server that has done nothing. */
export const NO_WORK: WorkSums = [0, 0, 0, 0, 0];

/**
 * Adds two sums.
 *
 * @param left - one of them
 * @param right - the other
 * @returns the sums of both
 */
export function addWork(left: WorkSums, right: WorkSums): WorkSums {
  return [
    left[0] + right[0],
    left[1] + right[1],
    left[2] + right[2],
    left[3] + right[3],
    left[4] + right[4],
  ];
}

/**
 * Reduces the weight of sums by their age.
 *
 * @param sums - the sums
 * @param ageMs - time since they were computed, in milliseconds
 * @returns the sums with their present weight
 */
export function decayWork(sums: WorkSums, ageMs: number): WorkSums {
  const weight = 0.5 ** (Math.max(0, ageMs) / HALF_LIFE_MS);
  const [lightUnits, lightMs, fullUnits, fullMs, refused] = sums;
  return [
    weight * lightUnits,
    weight * lightMs,
    weight * fullUnits,
    weight * fullMs,
    weight * refused,
  ];
}

/**
 * Counts the units of both kinds of load.
 *
 * @param sums - the sums
 * @returns weighted number of units
 */
export function countUnits([lightUnits, , fullUnits]: WorkSums): number {
  return lightUnits + fullUnits;
}
