/** Reads the seed of a property from `SEED`, so that a failed run can be repeated, or draws one. */
export function readSeed(): number {
  return Number(process.env.SEED ?? Math.floor(Math.random() * 2 ** 31));
}

/**
 * Creates a source of pseudorandom numbers (a linear congruential generator).
 *
 * @param seed - decides the sequence
 * @returns a function that returns numbers from 0 to 1
 */
export function createRandom(seed: number): () => number {
  let state = seed % 2 ** 31;
  return () => {
    state = (state * 1_103_515 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
}
