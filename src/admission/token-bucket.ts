import { HeadroomHistory } from './headroom-history.js';

/** Rate and burst of one bucket. */
export interface BucketLimits {
  /** Tokens per second. */
  readonly rate: number;
  /** Maximum number of tokens in the bucket. */
  readonly burst: number;
}

/** Tokens taken from a bucket. */
export interface BucketDebit {
  readonly granted: number;
  /** Position of the debit in the bucket's headroom history; needed for a refund. */
  readonly sequence: number;
}

/** A token bucket. The caller passes the time, which must not decrease. */
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
   * @param level - initial tokens; negative for a debt
   * @param nowMs - monotonic time, in milliseconds
   * @returns a new bucket
   */
  static create(limits: BucketLimits, level: number, nowMs: number): TokenBucket {
    return new TokenBucket(limits, Math.min(level, limits.burst), nowMs);
  }

  /**
   * Refills the bucket up to now and returns its level.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns tokens in the bucket; negative for a debt
   */
  level(nowMs: number): number {
    this.refill(nowMs);
    return this.storedTokens;
  }

  /**
   * Takes whole tokens: the requested number, or as many as the bucket has.
   *
   * @param tokens - tokens requested
   * @param nowMs - monotonic time, in milliseconds
   * @returns the tokens granted, 0 to `tokens`
   */
  debit(tokens: number, nowMs: number): BucketDebit {
    this.refill(nowMs);
    const granted = Math.max(0, Math.min(tokens, Math.floor(this.storedTokens)));
    const sequence = this.history.record(this.limits.burst - this.storedTokens);
    this.storedTokens -= granted;
    return { granted, sequence };
  }

  /**
   * Refunds tokens. The level becomes what it would be if they had never been taken, so tokens that
   * the bucket would have lost at the burst limit in the meantime are not refunded.
   *
   * @param tokens - tokens not used
   * @param sequence - position of the debit in the history
   * @param nowMs - monotonic time, in milliseconds
   */
  refund(tokens: number, sequence: number, nowMs: number): void {
    this.refill(nowMs);
    this.history.record(this.limits.burst - this.storedTokens);
    this.storedTokens += this.history.applyRefund(sequence, tokens);
  }

  /**
   * Applies a new rate and burst. A level above the burst is lowered to it.
   *
   * @param limits - the new limits
   * @param nowMs - monotonic time, in milliseconds
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
   * @param tokens - size of the debt
   * @param nowMs - monotonic time, in milliseconds
   */
  addDebt(tokens: number, nowMs: number): void {
    this.refill(nowMs);
    this.history.record(this.limits.burst - this.storedTokens);
    this.storedTokens -= tokens;
  }

  /**
   * Computes when a number of tokens will be available if none are taken.
   *
   * @param tokens - tokens requested
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; Infinity when the number exceeds the burst
   */
  msUntilAvailable(tokens: number, nowMs: number): number {
    this.refill(nowMs);
    if (tokens > this.limits.burst) return Infinity;
    return Math.max(0, ((tokens - this.storedTokens) / this.limits.rate) * 1000);
  }

  /**
   * Returns whether the bucket is full.
   *
   * @param nowMs - monotonic time, in milliseconds
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
