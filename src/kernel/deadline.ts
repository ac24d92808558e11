/** Longest delay that a timer accepts, in milliseconds; longer ones expire at once. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * Aborts a signal after a time. `AbortSignal.timeout` is no substitute: `AbortSignal.any` refers to its
 * sources weakly, so a garbage collection removes a timeout that nothing else refers to.
 */
export class Deadline {
  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  private constructor(ms: number) {
    const delayMs = Math.min(MAX_TIMER_MS, Math.max(1, Math.ceil(ms)));
    this.timer = setTimeout(() => this.controller.abort(), delayMs);
  }

  /**
   * Starts a deadline.
   *
   * @param ms - time until the signal is aborted, in milliseconds
   * @returns the deadline; it keeps its timer until it is reached or cancelled
   */
  static create(ms: number): Deadline {
    return new Deadline(ms);
  }

  /** Aborted when the deadline is reached. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Aborts the signal now. */
  expire(): void {
    clearTimeout(this.timer);
    this.controller.abort();
  }

  /** Stops the timer; the signal is not aborted any more. */
  cancel(): void {
    clearTimeout(this.timer);
  }
}
