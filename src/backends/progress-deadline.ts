/** Aborts a call when the caller's signal aborts or when it makes no progress for too long. */
export class ProgressDeadline {
  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  private missed = false;

  private constructor(
    limitMs: number,
    private readonly outer: AbortSignal | undefined,
    private readonly renewable: boolean,
  ) {
    this.timer = setTimeout(() => this.expire(), limitMs);
    this.timer.unref();
    if (outer?.aborted) this.controller.abort();
    outer?.addEventListener('abort', this.follow, { once: true });
  }

  /**
   * Starts a deadline.
   *
   * @param limitMs - longest time without progress, in milliseconds
   * @param outer - the caller's signal
   * @returns a running deadline; `clear` ends it
   */
  static create(limitMs: number, outer?: AbortSignal): ProgressDeadline {
    return new ProgressDeadline(limitMs, outer, true);
  }

  /**
   * Starts a deadline that progress does not extend.
   *
   * @param limitMs - longest time for the whole call, in milliseconds
   * @param outer - the caller's signal
   * @returns a running deadline; `clear` ends it
   */
  static createTotal(limitMs: number, outer?: AbortSignal): ProgressDeadline {
    return new ProgressDeadline(limitMs, outer, false);
  }

  /** Aborts when the deadline was missed or the caller gave up. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** True when the deadline passed without progress. */
  get expired(): boolean {
    return this.missed;
  }

  /** Starts the time again, unless the deadline is for the whole call. */
  progress(): void {
    if (this.renewable) this.timer.refresh();
  }

  /** Ends the deadline without aborting. */
  clear(): void {
    clearTimeout(this.timer);
    this.outer?.removeEventListener('abort', this.follow);
  }

  private readonly follow = (): void => this.controller.abort();

  private expire(): void {
    this.missed = true;
    this.controller.abort();
  }
}
