import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';

/**
 * Interval between two checks of the lease, in milliseconds. A withdrawn team key must stop working
 * within 4 s, of which the lease takes 3 s.
 */
const CHECK_INTERVAL_MS = 200;

/** Polls this VM's share lease, because no message announces that the lease has expired. */
export class LeaseWatch {
  private readonly stopping = new AbortController();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly onExpired: () => void,
  ) {}

  /**
   * Creates a watch that has not started.
   *
   * @param kernel - finds `membership`
   * @param clock - source of time
   * @param onExpired - called at each check that finds the lease expired
   * @returns a new watch
   */
  static create(kernel: Kernel, clock: Clock, onExpired: () => void): LeaseWatch {
    return new LeaseWatch(kernel, clock, onExpired);
  }

  /** Starts checking periodically whether the share lease has expired. */
  start(): void {
    void this.checkRepeatedly();
  }

  /** Stops the periodic checks. */
  stop(): void {
    this.stopping.abort();
  }

  private async checkRepeatedly(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.clock.sleep(CHECK_INTERVAL_MS, signal);
      if (!signal.aborted && !this.kernel.find('membership').leaseLive()) this.onExpired();
    }
  }
}
