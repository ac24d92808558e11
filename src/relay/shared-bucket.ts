/** Size of a bucket. */
export interface BucketSize {
  readonly tokensPerMs: number;
  readonly capacity: number;
}

/**
 * A token bucket that several VMs empty. Each VM keeps a copy with the whole rate, charges its own
 * requests at once, and takes off what the others say that they have spent.
 */
export class SharedBucket {
  /** Tokens of other VMs that have been taken into account. */
  private readonly seen = new Map<string, number>();

  private spentHere = 0;

  private constructor(
    private size: BucketSize,
    private stored: number,
    private filledMs: number,
  ) {}

  /**
   * Creates a bucket.
   *
   * @param size - rate and capacity
   * @param level - tokens in it
   * @param nowMs - monotonic time
   * @returns a bucket from which nothing has been spent here
   */
  static create(size: BucketSize, level: number, nowMs: number): SharedBucket {
    return new SharedBucket(size, level, nowMs);
  }

  /** Tokens that this VM has spent since its start. */
  get spent(): number {
    return this.spentHere;
  }

  /**
   * Computes the level; it may be negative, because other VMs spend before this one hears of it.
   *
   * @param nowMs - monotonic time
   * @returns tokens that are left
   */
  level(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.filledMs);
    this.filledMs = Math.max(nowMs, this.filledMs);
    const { tokensPerMs, capacity } = this.size;
    this.stored = Math.min(capacity, this.stored + tokensPerMs * elapsedMs);
    return this.stored;
  }

  /**
   * Changes rate and capacity from now on.
   *
   * @param size - the new size
   * @param nowMs - monotonic time
   */
  resize(size: BucketSize, nowMs: number): void {
    this.level(nowMs);
    this.size = size;
    this.stored = Math.min(this.stored, size.capacity);
  }

  /**
   * Spends tokens; a negative number gives them back.
   *
   * @param tokens - how many
   */
  spend(tokens: number): void {
    this.stored = Math.min(this.size.capacity, this.stored - tokens);
    this.spentHere += tokens;
  }

  /**
   * Takes off what another VM has spent.
   *
   * @param vm - the VM and its incarnation
   * @param total - tokens since that VM's start
   * @param nowMs - monotonic time
   */
  noteSpent(vm: string, total: number, nowMs: number): void {
    this.level(nowMs);
    // What a VM spent before it was first heard is not known to fall into the present window.
    this.stored -= total - (this.seen.get(vm) ?? total);
    this.seen.set(vm, total);
  }

  /**
   * Forgets a VM that has left the fleet.
   *
   * @param vm - the VM and its incarnation
   */
  forget(vm: string): void {
    this.seen.delete(vm);
  }
}
