import { Clock } from './clock.js';

interface Sleeper {
  dueMs: number;
  wake: () => void;
}

/** A clock that only moves when advanced, for tests and reproducible comparisons. */
export class ManualClock extends Clock {
  private nowMs: number;

  private sleepers: Sleeper[] = [];

  private constructor(startMs: number) {
    super();
    this.nowMs = startMs;
  }

  /**
   * Creates a stopped clock.
   *
   * @param startMs - initial monotonic and wall time, in milliseconds
   * @returns a new clock
   */
  static create(startMs = 0): ManualClock {
    return new ManualClock(startMs);
  }

  override monotonicMs(): number {
    return this.nowMs;
  }

  override wallMs(): number {
    return this.nowMs;
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const wake = () => {
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      this.sleepers.push({ dueMs: this.nowMs + ms, wake });
      signal?.addEventListener('abort', wake, { once: true });
    });
  }

  /**
   * Advances the clock and resolves the sleeps that are due.
   *
   * @param ms - milliseconds to advance, zero or more
   */
  advance(ms: number): void {
    this.nowMs += ms;
    const due = this.sleepers.filter((sleeper) => sleeper.dueMs <= this.nowMs);
    this.sleepers = this.sleepers.filter((sleeper) => sleeper.dueMs > this.nowMs);
    due.forEach((sleeper) => sleeper.wake());
  }
}
