import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import { Clock } from './clock.js';

/** Reads the clocks of the operating system. */
export class SystemClock extends Clock {
  /**
   * Creates a system clock.
   *
   * @returns a new clock
   */
  static create(): SystemClock {
    return new SystemClock();
  }

  override monotonicMs(): number {
    return performance.now();
  }

  override wallMs(): number {
    return Date.now();
  }

  override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await delay(ms, undefined, signal ? { signal } : undefined).catch(() => undefined);
  }
}
