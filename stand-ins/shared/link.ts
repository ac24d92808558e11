import { setTimeout as delay } from 'node:timers/promises';

/** A link of limited rate that concurrent transfers share. */
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
   * Waits until the link has carried the bytes, after all bytes that were passed before.
   *
   * @param bytes - size of one piece of a transfer
   * @returns a promise that resolves when the piece has passed
   */
  async transmit(bytes: number): Promise<void> {
    const now = performance.now();
    this.idleAtMs = Math.max(now, this.idleAtMs) + (bytes * 1000) / this.bytesPerSecond;
    // Timers fire with a resolution of 1 ms, so shorter waits are left to add up.
    if (this.idleAtMs - now >= 1) await delay(this.idleAtMs - now);
  }
}
