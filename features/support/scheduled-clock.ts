import type { Scheduler } from 'fast-check';

import { Clock } from '../../src/kernel/clock.js';

/** Part of a wait that takes one scheduler step, in milliseconds; so longer waits usually end later. */
const STEP_MS = 50;

/** A clock whose sleeps end in an order chosen by fast-check; each end moves the time to the due time. */
export class ScheduledClock extends Clock {
  private nowMs = 1_700_000_000_000;

  private constructor(private readonly scheduler: Scheduler) {
    super();
  }

  /**
   * Creates a clock.
   *
   * @param scheduler - chooses the order in which sleeps end
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
