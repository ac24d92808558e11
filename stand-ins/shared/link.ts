import { setTimeout as delay } from 'node:timers/promises';

/** A link of limited rate that concurrent transfers share. */
export class Link {
  private freeAtMs = 0;

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
  async pass(bytes: number): Promise<void> {
    const now = performance.now();
    this.freeAtMs = Math.max(now, this.freeAtMs) + (bytes * 1000) / this.bytesPerSecond;
    // Timers fire with a resolution of 1 ms, so shorter waits are left to add up.
    if (this.freeAtMs - now >= 1) await delay(this.freeAtMs - now);
  }
}
