import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random numbers from the distributions that the workload uses. */
export class RandomSource {
  private constructor(private readonly uniform: () => number) {}

  /**
   * Creates a source.
   *
   * @param seed - equal seeds give equal numbers
   * @returns a new source
   */
  static create(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    return new RandomSource(() => uniformFloat64(generator));
  }

  /** Draws a number of at least 0 and below 1. */
  next = (): number => this.uniform();

  /**
   * Draws the time between two events of a Poisson process.
   *
   * @param perSecond - rate of the process, in events per second
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
