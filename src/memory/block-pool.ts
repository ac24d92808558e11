const BLOCK_BYTES = 16_384;

/** Blocks that are kept however long they have not been used. */
const MIN_FREE = 64;

/** Interval between reductions of the unused blocks, in milliseconds. */
const TRIM_INTERVAL_MS = 10_000;

/**
 * Blocks of equal size for bodies in arrival. They are used again instead of being left to the garbage
 * collector, which does not see how much memory buffers hold outside the heap.
 */
export class BlockPool {
  /** Size of each block. */
  static readonly blockBytes = BLOCK_BYTES;

  private free: Buffer[] = [];

  private trimmedMs = 0;

  /**
   * Creates an empty pool.
   *
   * @returns a new pool
   */
  static create(): BlockPool {
    return new BlockPool();
  }

  /**
   * Takes a block; its content is undefined.
   *
   * @returns a block that nothing else uses
   */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /**
   * Gives blocks back; their users must not refer to them any more.
   *
   * @param blocks - blocks that were taken
   * @param nowMs - monotonic time, in milliseconds
   */
  give(blocks: readonly Buffer[], nowMs: number): void {
    this.free.push(...blocks);
    if (nowMs - this.trimmedMs < TRIM_INTERVAL_MS) return;
    this.trimmedMs = nowMs;
    this.free.length = Math.min(
      this.free.length,
      Math.max(MIN_FREE, Math.floor(this.free.length / 2)),
    );
  }
}
