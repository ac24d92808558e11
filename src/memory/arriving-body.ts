import { BlockPool } from './block-pool.js';

/** A body in arrival. It costs whole blocks, however small the chunks are in which it arrives. */
export class ArrivingBody {
  private blocks: Buffer[] = [];

  private size = 0;

  private constructor(private readonly pool: BlockPool) {}

  /**
   * Creates an empty body.
   *
   * @param pool - provides the blocks
   * @returns a new body
   */
  static create(pool: BlockPool): ArrivingBody {
    return new ArrivingBody(pool);
  }

  /** Bytes that have arrived. */
  get length(): number {
    return this.size;
  }

  /**
   * Computes the memory that a chunk needs beyond what the body has.
   *
   * @param bytes - size of the chunk
   * @returns size of the further blocks
   */
  needs(bytes: number): number {
    const count = Math.ceil((this.size + bytes) / BlockPool.blockBytes);
    return (count - this.blocks.length) * BlockPool.blockBytes;
  }

  /**
   * Copies a chunk to the end of the body.
   *
   * @param chunk - any size
   */
  append(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const offset = this.size % BlockPool.blockBytes;
      if (offset === 0) this.blocks.push(this.pool.take());
      const count = chunk.copy(this.blocks.at(-1)!, offset, copied);
      copied += count;
      this.size += count;
    }
  }

  /**
   * Returns the body in one buffer.
   *
   * @returns a copy that the body does not refer to
   */
  join(): Buffer {
    return Buffer.concat(this.blocks, this.size);
  }

  /**
   * Gives the blocks back.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  discard(nowMs: number): void {
    this.pool.give(this.blocks, nowMs);
    this.blocks = [];
    this.size = 0;
  }
}
