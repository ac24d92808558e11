/** Refill rate and capacity of a bucket. */
export interface BucketSize {
  readonly tokensPerMs: number;
  readonly capacity: number;
}

/**
 * A token bucket that several VMs spend from. Each VM keeps a copy with the full rate, charges its own
 * requests immediately, and subtracts what the other VMs report to have spent.
 */
export class SharedBucket {
  /** Total of each other VM that has already been subtracted. */
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
   * @param level - initial tokens
   * @param nowMs - monotonic time, in milliseconds
   * @returns a bucket from which this VM has spent nothing
   */
  static create(size: BucketSize, level: number, nowMs: number): SharedBucket {
    return new SharedBucket(size, level, nowMs);
  }

  /** Tokens that this VM has spent since its start. */
  get spent(): number {
    return this.spentLocally;
  }

  /**
   * Refills the bucket and returns its level, which may be negative because other VMs spend before their
   * reports arrive here.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns remaining tokens
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
   * @param size - new rate and capacity
   * @param nowMs - monotonic time, in milliseconds
   */
  resize(size: BucketSize, nowMs: number): void {
    this.level(nowMs);
    this.size = size;
    this.available = Math.min(this.available, size.capacity);
  }

  /**
   * Spends tokens; a negative number refunds them.
   *
   * @param tokens - number of tokens
   */
  spend(tokens: number): void {
    this.available = Math.min(this.size.capacity, this.available - tokens);
    this.spentLocally += tokens;
  }

  /**
   * Subtracts what another VM has spent since its previous report.
   *
   * @param vm - the VM and its incarnation
   * @param total - tokens spent since that VM's start
   * @param nowMs - monotonic time, in milliseconds
   */
  recordSpent(vm: string, total: number, nowMs: number): void {
    this.level(nowMs);
    // What a VM spent before its first report may not fall into the current window, so it is not counted.
    this.available -= total - (this.spentByVm.get(vm) ?? total);
    this.spentByVm.set(vm, total);
  }

  /**
   * Removes a VM that has left the fleet.
   *
   * @param vm - the VM and its incarnation
   */
  removeVm(vm: string): void {
    this.spentByVm.delete(vm);
  }
}
