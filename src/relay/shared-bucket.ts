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
  private readonly spentByVm = new Map<string, number>();

  private spentLocally = 0;

  private constructor(
    private size: BucketSize,
    private available: number,
    private refilledMs: number,
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
    return this.spentLocally;
  }

  /**
   * Computes the level; it may be negative, because other VMs spend before this one hears of it.
   *
   * @param nowMs - monotonic time
   * @returns tokens that are left
   */
  level(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.refilledMs);
    this.refilledMs = Math.max(nowMs, this.refilledMs);
    const { tokensPerMs, capacity } = this.size;
    this.available = Math.min(capacity, this.available + tokensPerMs * elapsedMs);
    return this.available;
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
    this.available = Math.min(this.available, size.capacity);
  }

  /**
   * Spends tokens; a negative number gives them back.
   *
   * @param tokens - how many
   */
  spend(tokens: number): void {
    this.available = Math.min(this.size.capacity, this.available - tokens);
    this.spentLocally += tokens;
  }

  /**
   * Takes off what another VM has spent.
   *
   * @param vm - the VM and its incarnation
   * @param total - tokens since that VM's start
   * @param nowMs - monotonic time
   */
  recordSpent(vm: string, total: number, nowMs: number): void {
    this.level(nowMs);
    // What a VM spent before it was first heard is not known to fall into the present window.
    this.available -= total - (this.spentByVm.get(vm) ?? total);
    this.spentByVm.set(vm, total);
  }

  /**
   * Forgets a VM that has left the fleet.
   *
   * @param vm - the VM and its incarnation
   */
  removeVm(vm: string): void {
    this.spentByVm.delete(vm);
  }
}
