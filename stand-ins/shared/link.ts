import { setTimeout as delay } from 'node:timers/promises';

/** A network link of limited rate that concurrent transfers share. */
export class Link {
  private idleAtMs = 0;

  private constructor(private readonly bytesPerSecond: number) {}

  /**
   * Creates an idle link.
   *
   * @param bytesPerSecond - rate of the link
   * @returns a new link
   */
  static create(bytesPerSecond: number): Link {
    return new Link(bytesPerSecond);
  }

  /**
   * Waits until the link has transmitted the bytes, after all bytes that were queued before.
   *
   * @param bytes - size of one chunk of a transfer
   * @returns a promise that resolves when the chunk has been transmitted
   */
  async transmit(bytes: number): Promise<void> {
    const now = performance.now();
    this.idleAtMs = Math.max(now, this.idleAtMs) + (bytes * 1000) / this.bytesPerSecond;
    // Timers have a resolution of 1 ms, so shorter waits accumulate until they reach 1 ms.
    if (this.idleAtMs - now >= 1) await delay(this.idleAtMs - now);
  }
}
