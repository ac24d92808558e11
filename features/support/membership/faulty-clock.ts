import { setTimeout as delay } from 'node:timers/promises';

import { Clock } from '../../../src/kernel/clock.js';
import { SPEED } from './waits.js';

/** Accelerated clock of a process that can be paused, or whose VM can be suspended. */
export class FaultyClock extends Clock {
  private frozenMs = 0;

  private pausedAtMs: number | undefined;

  private suspended = false;

  private resumed = Promise.resolve();

  private wake: () => void = () => undefined;

  private constructor(private readonly speed: number) {
    super();
  }

  static create(speed = SPEED): FaultyClock {
    return new FaultyClock(speed);
  }

  override monotonicMs(): number {
    const nowMs = performance.now() * this.speed;
    const frozenNowMs = this.suspended ? nowMs - (this.pausedAtMs ?? nowMs) : 0;
    return nowMs - this.frozenMs - frozenNowMs;
  }

  override wallMs(): number {
    return Date.now() * this.speed;
  }

  override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await delay(ms / this.speed, undefined, { signal }).catch(() => undefined);
    await this.waitUntilResumed();
  }

  /** Waits while the process is paused or suspended. */
  async waitUntilResumed(): Promise<void> {
    await this.resumed;
  }

  /** Pauses the process; on a suspended VM the monotonic clock stops too. */
  pause(suspended: boolean): void {
    this.pausedAtMs = performance.now() * this.speed;
    this.suspended = suspended;
    this.resumed = new Promise((resolve) => {
      this.wake = resolve;
    });
  }

  /** Resumes the process. */
  resume(): void {
    const nowMs = performance.now() * this.speed;
    if (this.suspended) this.frozenMs += nowMs - (this.pausedAtMs ?? nowMs);
    this.pausedAtMs = undefined;
    this.suspended = false;
    this.wake();
  }
}
