import type { Clock } from '../kernel/clock.js';

const GROWTH_FACTOR = 2;

/** Exponential backoff with a limit, and with jitter so that daemons do not retry in lockstep. */
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
   * @param clock - clock used for waiting
   * @param initialMs - maximum wait after the first failure, in milliseconds
   * @param maxMs - maximum wait, in milliseconds
   * @returns a new backoff
   */
  static create(clock: Clock, initialMs: number, maxMs: number): Backoff {
    return new Backoff(clock, initialMs, maxMs);
  }

  /** Resets the wait to its initial value. */
  reset(): void {
    this.failures = 0;
  }

  /**
   * Records a failure and waits for a random time between 50% and 100% of the current delay.
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
