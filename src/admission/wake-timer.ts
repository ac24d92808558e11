import type { Clock } from '../kernel/clock.js';

/** Calls back once at the earliest of the times it was set to. */
export class WakeTimer {
  private pending: { readonly dueMs: number; readonly cancel: AbortController } | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly onDue: () => void,
  ) {}

  /**
   * Creates an alarm that is not set.
   *
   * @param clock - source of time
   * @param onDue - called when the time has come
   * @returns a new alarm
   */
  static create(clock: Clock, onDue: () => void): WakeTimer {
    return new WakeTimer(clock, onDue);
  }

  /**
   * Sets the alarm; one that rings earlier stays as it is.
   *
   * @param dueMs - monotonic time in milliseconds; Infinity clears the alarm
   * @param nowMs - monotonic time in milliseconds
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

  /** Clears the alarm. */
  clear(): void {
    this.pending?.cancel.abort();
    this.pending = undefined;
  }
}
