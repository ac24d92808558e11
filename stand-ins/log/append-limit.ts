const WINDOW_MS = 1000;

/** Limits the number of appends in any second. */
export class AppendRateLimiter {
  private readonly appendTimesMs: number[] = [];

  /**
   * Creates a limit that has seen no append.
   *
   * @returns a new limit
   */
  static create(): AppendRateLimiter {
    return new AppendRateLimiter();
  }

  /**
   * Counts an append when it is within the limit.
   *
   * @param maxPerSecond - most appends in a second
   * @returns false when the append is above the limit
   */
  tryAcquire(maxPerSecond: number): boolean {
    const now = performance.now();
    while ((this.appendTimesMs[0] ?? Infinity) <= now - WINDOW_MS) this.appendTimesMs.shift();
    if (this.appendTimesMs.length >= maxPerSecond) return false;
    this.appendTimesMs.push(now);
    return true;
  }
}
