const FIRST_MS = 250;
const LONGEST_MS = 10_000;
const FORGET_MS = 30_000;

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
  fail(nowMs: number): void {
    if (this.avoided(nowMs)) return;
    if (nowMs - this.untilMs > FORGET_MS) this.failures = 0;
    this.untilMs = nowMs + Math.min(LONGEST_MS, FIRST_MS * 2 ** this.failures);
    this.failures = Math.min(this.failures + 1, 16);
  }

  /** Forgets all failures. */
  clear(): void {
    this.failures = 0;
    this.untilMs = -Infinity;
  }

  /**
   * Tells whether the server should be avoided.
   *
   * @param nowMs - monotonic time
   * @returns true until the backoff has passed
   */
  avoided(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }
}
