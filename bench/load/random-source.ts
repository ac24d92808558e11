import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random numbers of the distributions that the load needs. */
export class RandomSource {
  private constructor(private readonly uniform: () => number) {}

  /**
   * Creates a source.
   *
   * @param seed - the same seed gives the same numbers
   * @returns a new source
   */
  static create(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    return new RandomSource(() => uniformFloat64(generator));
  }

  /** Draws a number from 0 up to, not including, 1. */
  next = (): number => this.uniform();

  /**
   * Draws a time between two events of a Poisson process.
   *
   * @param perSecond - rate of the process
   * @returns milliseconds
   */
  nextIntervalMs(perSecond: number): number {
    return (-Math.log(1 - this.uniform()) * 1000) / perSecond;
  }

  /**
   * Draws a log-normal number.
   *
   * @param median - median of the distribution
   * @param sigma - standard deviation of the logarithm
   * @returns the number
   */
  nextLogNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.uniform()));
  }
}
