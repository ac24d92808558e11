import type { Scheduler } from 'fast-check';

import { Clock } from '../../src/kernel/clock.js';

/** Waiting this long takes one step of the scheduler, so that long waits usually end late. */
const STEP_MS = 50;

/** A clock whose sleepers wake in an order chosen by fast-check, which jumps the time forward. */
export class ScheduledClock extends Clock {
  private nowMs = 1_700_000_000_000;

  private constructor(private readonly scheduler: Scheduler) {
    super();
  }

  /**
   * Creates a clock.
   *
   * @param scheduler - decides the order of wake-ups
   * @returns a new clock
   */
  static create(scheduler: Scheduler): ScheduledClock {
    return new ScheduledClock(scheduler);
  }

  override monotonicMs(): number {
    return this.nowMs;
  }

  override wallMs(): number {
    return this.nowMs;
  }

  override async sleep(ms: number): Promise<void> {
    const dueMs = this.nowMs + ms;
    for (let waitedMs = 0; waitedMs < ms; waitedMs += STEP_MS) {
      await this.scheduler.schedule(Promise.resolve(), `sleep ${ms}`);
    }
    this.nowMs = Math.max(this.nowMs, dueMs);
  }
}
