import type { Clock } from '../kernel/clock.js';

const GROWTH_FACTOR = 2;

/** Waits that double up to a limit, with jitter so that many daemons do not retry together. */
export class Backoff {
  private failures = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly initialMs: number,
    private readonly maxMs: number,
  ) {}

  /**
   * Creates a backoff without failures.
   *
   * @param clock - what to wait on
   * @param firstMs - wait after the first failure, in milliseconds
   * @param mostMs - longest wait, in milliseconds
   * @returns a new backoff
   */
  static create(clock: Clock, firstMs: number, mostMs: number): Backoff {
    return new Backoff(clock, firstMs, mostMs);
  }

  /** Forgets the failures so far. */
  reset(): void {
    this.failures = 0;
  }

  /**
   * Counts a failure and waits between half and all of the present delay.
   *
   * @param signal - ends the wait early
   * @returns a promise that resolves after the wait
   */
  async wait(signal: AbortSignal): Promise<void> {
    const delayMs = Math.min(this.maxMs, this.initialMs * GROWTH_FACTOR ** this.failures);
    this.failures += 1;
    await this.clock.sleep(delayMs * (0.5 + Math.random() / 2), signal);
  }
}
