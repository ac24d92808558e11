import type { Clock } from '../kernel/clock.js';

/** A timer that fires once, at the earliest of the times it has been set to. */
export class WakeTimer {
  private pending: { readonly dueMs: number; readonly cancel: AbortController } | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly onDue: () => void,
  ) {}

  /**
   * Creates a timer that is not set.
   *
   * @param clock - source of time
   * @param onDue - called when the timer fires
   * @returns a new timer
   */
  static create(clock: Clock, onDue: () => void): WakeTimer {
    return new WakeTimer(clock, onDue);
  }

  /**
   * Sets the timer. A timer that fires earlier stays unchanged.
   *
   * @param dueMs - monotonic time, in milliseconds; Infinity sets no timer
   * @param nowMs - monotonic time, in milliseconds
   */
  set(dueMs: number, nowMs: number): void {
    if (this.pending && this.pending.dueMs <= dueMs) return;
    this.clear();
    if (dueMs === Infinity) return;
    const timer = { dueMs, cancel: new AbortController() };
    this.pending = timer;
    void this.clock.sleep(Math.max(1, dueMs - nowMs), timer.cancel.signal).then(() => {
      if (this.pending !== timer) return;
      this.pending = undefined;
      this.onDue();
    });
  }

  /** Cancels the timer. */
  clear(): void {
    this.pending?.cancel.abort();
    this.pending = undefined;
  }
}
