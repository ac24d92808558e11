const WINDOW_MS = 1000;

/** Limits the number of appends in a sliding window of one second. */
export class AppendRateLimiter {
  private readonly appendTimesMs: number[] = [];

  /**
   * Creates a limiter with an empty window.
   *
   * @returns a new limiter
   */
  static create(): AppendRateLimiter {
    return new AppendRateLimiter();
  }

  /**
   * Counts an append if it is within the limit.
   *
   * @param maxPerSecond - maximum number of appends in a second
   * @returns false when the append exceeds the limit
   */
  tryAcquire(maxPerSecond: number): boolean {
    const now = performance.now();
    while ((this.appendTimesMs[0] ?? Infinity) <= now - WINDOW_MS) this.appendTimesMs.shift();
    if (this.appendTimesMs.length >= maxPerSecond) return false;
    this.appendTimesMs.push(now);
    return true;
  }
}
