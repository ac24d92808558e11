import { HeadroomHistory } from './headroom-history.js';

/** Rate and burst of one bucket. */
export interface BucketLimits {
  /** Tokens a second. */
  readonly rate: number;
  /** Most tokens in the bucket. */
  readonly burst: number;
}

/** Tokens taken from a bucket. */
export interface BucketDebit {
  readonly granted: number;
  /** Place of the debit in the bucket's history; a refund needs it. */
  readonly sequence: number;
}

/** A token bucket; the time is passed in and must not go back. */
export class TokenBucket {
  private readonly history = HeadroomHistory.create();

  private constructor(
    private limits: BucketLimits,
    private storedTokens: number,
    private refilledMs: number,
  ) {}

  /**
   * Creates a bucket.
   *
   * @param limits - rate and burst
   * @param level - tokens in it now; negative when tokens are owed
   * @param nowMs - monotonic time in milliseconds
   * @returns a new bucket
   */
  static create(limits: BucketLimits, level: number, nowMs: number): TokenBucket {
    return new TokenBucket(limits, Math.min(level, limits.burst), nowMs);
  }

  /**
   * Reads the level.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns tokens in the bucket; negative when tokens are owed
   */
  level(nowMs: number): number {
    this.refill(nowMs);
    return this.storedTokens;
  }

  /**
   * Takes whole tokens, as many of the wanted ones as there are.
   *
   * @param tokens - tokens wanted
   * @param nowMs - monotonic time in milliseconds
   * @returns what was granted, 0 to `tokens`
   */
  debit(tokens: number, nowMs: number): BucketDebit {
    this.refill(nowMs);
    const granted = Math.max(0, Math.min(tokens, Math.floor(this.storedTokens)));
    const sequence = this.history.record(this.limits.burst - this.storedTokens);
    this.storedTokens -= granted;
    return { granted, sequence };
  }

  /**
   * Gives tokens back. The level becomes what it would be if they had never been taken, so tokens
   * that would have been lost at the burst meanwhile stay lost.
   *
   * @param tokens - tokens not used
   * @param sequence - place of the debit
   * @param nowMs - monotonic time in milliseconds
   */
  refund(tokens: number, sequence: number, nowMs: number): void {
    this.refill(nowMs);
    this.history.record(this.limits.burst - this.storedTokens);
    this.storedTokens += this.history.applyRefund(sequence, tokens);
  }

  /**
   * Applies another rate and burst; the level is cut to the burst.
   *
   * @param limits - the new limits
   * @param nowMs - monotonic time in milliseconds
   */
  updateLimits(limits: BucketLimits, nowMs: number): void {
    this.refill(nowMs);
    this.history.record(this.limits.burst - this.storedTokens);
    this.limits = limits;
    this.storedTokens = Math.min(this.storedTokens, limits.burst);
    this.history.record(limits.burst - this.storedTokens);
  }

  /**
   * Lowers the level without a grant; it may become negative.
   *
   * @param tokens - tokens owed
   * @param nowMs - monotonic time in milliseconds
   */
  addDebt(tokens: number, nowMs: number): void {
    this.refill(nowMs);
    this.history.record(this.limits.burst - this.storedTokens);
    this.storedTokens -= tokens;
  }

  /**
   * Computes when tokens will be there if none are taken.
   *
   * @param tokens - tokens wanted
   * @param nowMs - monotonic time in milliseconds
   * @returns milliseconds; Infinity when the burst is smaller
   */
  msUntilAvailable(tokens: number, nowMs: number): number {
    this.refill(nowMs);
    if (tokens > this.limits.burst) return Infinity;
    return Math.max(0, ((tokens - this.storedTokens) / this.limits.rate) * 1000);
  }

  /**
   * Tells whether the bucket is full.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns true at the burst
   */
  isFull(nowMs: number): boolean {
    return this.level(nowMs) >= this.limits.burst;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledMs);
    this.refilledMs = Math.max(nowMs, this.refilledMs);
    this.storedTokens = Math.min(
      this.limits.burst,
      this.storedTokens + (this.limits.rate * elapsedMs) / 1000,
    );
  }
}
