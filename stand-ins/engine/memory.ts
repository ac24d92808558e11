import type { AttemptFields } from './request-schema.js';

/** Purpose of a hold. */
export type HoldKind = 'prefill' | 'transfer' | 'decode';

/** Slots and KV blocks that an attempt occupies. */
export interface EngineHold {
  readonly attempt: AttemptFields;
  readonly kind: HoldKind;
  readonly blocks: number;
  readonly slots: number;
  readonly acquiredAtMs: number;
}

/** Decode slots and KV blocks of an engine, and the holds on them. */
export class Memory {
  private readonly holds = new Set<EngineHold>();

  private peakBlocksUsed = 0;

  private constructor(
    private readonly slots: number,
    private readonly blocks: number,
  ) {}

  /**
   * Creates a memory without holds.
   *
   * @param slots - total decode slots
   * @param blocks - total KV blocks
   * @returns a new memory
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
    return this.peakBlocksUsed;
  }

  /**
   * Acquires slots and blocks.
   *
   * @param attempt - attempt that occupies them
   * @param kind - purpose
   * @param blocks - KV blocks
   * @param slots - decode slots
   * @returns the hold, or undefined when too few slots or blocks are free
   */
  acquire(
    attempt: AttemptFields,
    kind: HoldKind,
    blocks: number,
    slots = 0,
  ): EngineHold | undefined {
    if (this.blocksFree < blocks || this.slotsFree < slots) return undefined;
    const hold = { attempt, kind, blocks, slots, acquiredAtMs: performance.now() };
    this.holds.add(hold);
    this.peakBlocksUsed = Math.max(this.peakBlocksUsed, this.blocks - this.blocksFree);
    return hold;
  }

  /**
   * Releases a hold; idempotent.
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
   * @returns the number of released holds
   */
  releaseAttempt(attemptId: string): number {
    const held = [...this.holds].filter((hold) => hold.attempt.attemptId === attemptId);
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
      .filter((hold) => hold.attempt.attemptId === attemptId && hold.kind === kind)
      .forEach((hold) => this.holds.delete(hold));
  }

  /**
   * Lists the holds as they are sent to clients.
   *
   * @returns the holds, oldest first
   */
  list() {
    const now = performance.now();
    return [...this.holds].map(({ attempt: { requestId, attemptId, owner }, ...hold }) => ({
      requestId,
      attemptId,
      owner,
      kind: hold.kind,
      blocks: hold.blocks,
      ageMs: Math.round(now - hold.acquiredAtMs),
    }));
  }

  private sum(measure: (hold: EngineHold) => number): number {
    return [...this.holds].reduce((total, hold) => total + measure(hold), 0);
  }
}
