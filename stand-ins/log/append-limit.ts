const WINDOW_MS = 1000;

/** Limits the number of appends in any second. */
export class AppendLimit {
  private readonly atMs: number[] = [];

  /**
   * Creates a limit that has seen no append.
   *
   * @returns a new limit
   */
  static create(): AppendLimit {
    return new AppendLimit();
  }

  /**
   * Counts an append when it is within the limit.
   *
   * @param perSecond - most appends in a second
   * @returns false when the append is above the limit
   */
  take(perSecond: number): boolean {
    const now = performance.now();
    while ((this.atMs[0] ?? Infinity) <= now - WINDOW_MS) this.atMs.shift();
    if (this.atMs.length >= perSecond) return false;
    this.atMs.push(now);
    return true;
  }
}
