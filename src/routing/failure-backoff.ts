/** Backoff after the first failure; it doubles with each further failure. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 10_000;
/** Time after the end of the last backoff from which earlier failures no longer count. */
const FAILURE_RESET_MS = 30_000;

/** Exponential backoff that decides how long a failed server is avoided. */
export class FailureBackoff {
  private failures = 0;

  private untilMs = -Infinity;

  /**
   * Creates a backoff without failures.
   *
   * @returns a new backoff
   */
  static create(): FailureBackoff {
    return new FailureBackoff();
  }

  /**
   * Records a failure. Failures while the server is already avoided are ignored, because a single
   * fault breaks all calls in flight.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordFailure(nowMs: number): void {
    if (this.isActive(nowMs)) return;
    if (nowMs - this.untilMs > FAILURE_RESET_MS) this.failures = 0;
    this.untilMs = nowMs + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.failures);
    this.failures = Math.min(this.failures + 1, 16);
  }

  /** Clears all failures and ends the backoff. */
  reset(): void {
    this.failures = 0;
    this.untilMs = -Infinity;
  }

  /**
   * Returns whether the server is to be avoided.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns true until the backoff has elapsed
   */
  isActive(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }
}
