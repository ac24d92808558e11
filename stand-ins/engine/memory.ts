import type { Tag } from './request-schema.js';

/** What a hold is for. */
export type HoldKind = 'prefill' | 'transfer' | 'decode';

/** Memory and slots that an attempt occupies. */
export interface EngineHold {
  readonly tag: Tag;
  readonly kind: HoldKind;
  readonly blocks: number;
  readonly slots: number;
  readonly sinceMs: number;
}

/** Decode slots and KV blocks of an engine, and the holds on them. */
export class Memory {
  private readonly holds = new Set<EngineHold>();

  private mostBlocksUsed = 0;

  private constructor(
    private readonly slots: number,
    private readonly blocks: number,
  ) {}

  /**
   * Creates memory without holds.
   *
   * @param slots - decode slots
   * @param blocks - KV blocks
   * @returns new memory
   */
  static create(slots: number, blocks: number): Memory {
    return new Memory(slots, blocks);
  }

  get slotsFree(): number {
    return this.slots - this.sum((hold) => hold.slots);
  }

  get blocksFree(): number {
    return this.blocks - this.sum((hold) => hold.blocks);
  }

  get maxBlocksUsed(): number {
    return this.mostBlocksUsed;
  }

  /**
   * Takes slots and blocks.
   *
   * @param tag - whose work it is
   * @param kind - what for
   * @param blocks - KV blocks
   * @param slots - decode slots
   * @returns the hold, or undefined when there is no room
   */
  take(tag: Tag, kind: HoldKind, blocks: number, slots = 0): EngineHold | undefined {
    if (this.blocksFree < blocks || this.slotsFree < slots) return undefined;
    const hold = { tag, kind, blocks, slots, sinceMs: performance.now() };
    this.holds.add(hold);
    this.mostBlocksUsed = Math.max(this.mostBlocksUsed, this.blocks - this.blocksFree);
    return hold;
  }

  /**
   * Releases a hold; has no effect when it was released before.
   *
   * @param hold - the hold
   */
  release(hold: EngineHold): void {
    this.holds.delete(hold);
  }

  /**
   * Releases every hold of an attempt.
   *
   * @param attemptId - the attempt
   * @returns the number of holds
   */
  releaseAttempt(attemptId: string): number {
    const held = [...this.holds].filter((hold) => hold.tag.attemptId === attemptId);
    held.forEach((hold) => this.holds.delete(hold));
    return held.length;
  }

  /**
   * Releases the holds of an attempt that are of one kind.
   *
   * @param attemptId - the attempt
   * @param kind - the kind
   */
  releaseKind(attemptId: string, kind: HoldKind): void {
    [...this.holds]
      .filter((hold) => hold.tag.attemptId === attemptId && hold.kind === kind)
      .forEach((hold) => this.holds.delete(hold));
  }

  /**
   * Lists the holds as the protocol shows them.
   *
   * @returns the holds, oldest first
   */
  list() {
    const now = performance.now();
    return [...this.holds].map(({ tag: { requestId, attemptId, owner }, ...hold }) => ({
      requestId,
      attemptId,
      owner,
      kind: hold.kind,
      blocks: hold.blocks,
      ageMs: Math.round(now - hold.sinceMs),
    }));
  }

  private sum(measure: (hold: EngineHold) => number): number {
    return [...this.holds].reduce((total, hold) => total + measure(hold), 0);
  }
}
