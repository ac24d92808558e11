import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';

/**
 * Time between two looks at the lease, in milliseconds. A withdrawn key must have stopped working
 * after 4 s, of which the lease takes 3 s.
 */
const CHECK_INTERVAL_MS = 200;

/** Tells when this VM's share lease has lapsed, which no message announces. */
export class LeaseMonitor {
  private readonly stopping = new AbortController();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly onExpired: () => void,
  ) {}

  /**
   * Creates a watch that does not look yet.
   *
   * @param kernel - finds `membership`
   * @param clock - source of time
   * @param onExpired - called at each look without a live lease
   * @returns a new watch
   */
  static create(kernel: Kernel, clock: Clock, onExpired: () => void): LeaseMonitor {
    return new LeaseMonitor(kernel, clock, onExpired);
  }

  /** Starts looking. */
  start(): void {
    void this.checkRepeatedly();
  }

  /** Stops looking. */
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
