const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 10_000;
const FAILURE_RESET_MS = 30_000;

/** Decides how long a server that failed is avoided. */
export class FailureBackoff {
  private failures = 0;

  private untilMs = -Infinity;

  /**
   * Creates a record without failures.
   *
   * @returns a new record
   */
  static create(): FailureBackoff {
    return new FailureBackoff();
  }

  /**
   * Notes a failure. Failures while the server is avoided count once, because one fault breaks all
   * the calls that are open.
   *
   * @param nowMs - monotonic time
   */
  recordFailure(nowMs: number): void {
    if (this.isActive(nowMs)) return;
    if (nowMs - this.untilMs > FAILURE_RESET_MS) this.failures = 0;
    this.untilMs = nowMs + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.failures);
    this.failures = Math.min(this.failures + 1, 16);
  }

  /** Forgets all failures. */
  reset(): void {
    this.failures = 0;
    this.untilMs = -Infinity;
  }

  /**
   * Tells whether the server should be avoided.
   *
   * @param nowMs - monotonic time
   * @returns true until the backoff has passed
   */
  isActive(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }
}
