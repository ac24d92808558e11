/** Aborts a call when the caller's signal aborts or when the call makes no progress in time. */
export class ProgressDeadline {
  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  private timedOut = false;

  private constructor(
    limitMs: number,
    private readonly callerSignal: AbortSignal | undefined,
    private readonly renewable: boolean,
  ) {
    this.timer = setTimeout(() => this.expire(), limitMs);
    this.timer.unref();
    if (callerSignal?.aborted) this.controller.abort();
    callerSignal?.addEventListener('abort', this.onCallerAbort, { once: true });
  }

  /**
   * Starts a deadline that progress extends.
   *
   * @param limitMs - maximum time without progress, in milliseconds
   * @param callerSignal - the caller's signal
   * @returns a running deadline; `clear` stops it
   */
  static create(limitMs: number, callerSignal?: AbortSignal): ProgressDeadline {
    return new ProgressDeadline(limitMs, callerSignal, true);
  }

  /**
   * Starts a deadline that progress does not extend.
   *
   * @param limitMs - maximum duration of the call, in milliseconds
   * @param callerSignal - the caller's signal
   * @returns a running deadline; `clear` stops it
   */
  static createTotal(limitMs: number, callerSignal?: AbortSignal): ProgressDeadline {
    return new ProgressDeadline(limitMs, callerSignal, false);
  }

  /** Aborts when the deadline expires or the caller's signal aborts. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** True when the deadline has expired. */
  get expired(): boolean {
    return this.timedOut;
  }

  /** Restarts the timer, unless the deadline covers the whole call. */
  extend(): void {
    if (this.renewable) this.timer.refresh();
  }

  /** Clears the timer; the deadline no longer aborts the call. */
  clear(): void {
    clearTimeout(this.timer);
    this.callerSignal?.removeEventListener('abort', this.onCallerAbort);
  }

  private readonly onCallerAbort = (): void => this.controller.abort();

  private expire(): void {
    this.timedOut = true;
    this.controller.abort();
  }
}
