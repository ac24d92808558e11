/** Reads the seed of a property from `SEED`, so that a failed run can be repeated, or draws one. */
export function readSeed(): number {
  return Number(process.env.SEED ?? Math.floor(Math.random() * 2 ** 31));
}
