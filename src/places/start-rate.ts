/** Window over which starts are counted, in milliseconds. */
const WINDOW_MS = 4000;

/** Weight of the latest place in the mean time and size of places. */
const WEIGHT = 0.05;

/** Time below which a place was not used, in milliseconds. */
const UNUSED_MS = 50;

/** Lower bound of the rate, which also applies before anything is known, in starts per second. */
const MIN_PER_SECOND = 4;

/** Estimates how many requests a second get a place while all places are taken. */
export class StartRate {
  private starts: number[] = [];

  private mean: { readonly holdMs: number; readonly kvTokens: number } | undefined;

  /**
   * Creates an instance that has seen no places.
   *
   * @returns a new instance
   */
  static create(): StartRate {
    return new StartRate();
  }

  /**
   * Counts a start.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordStart(nowMs: number): void {
    this.starts.push(nowMs);
    this.prune(nowMs);
  }

  /**
   * Records a place that was given back.
   *
   * @param heldMs - time for which it was taken, in milliseconds
   * @param kvTokens - its KV cache tokens
   */
  recordEnd(heldMs: number, kvTokens: number): void {
    if (heldMs < UNUSED_MS) return;
    const before = this.mean ?? { holdMs: heldMs, kvTokens };
    this.mean = {
      holdMs: before.holdMs + WEIGHT * (heldMs - before.holdMs),
      kvTokens: before.kvTokens + WEIGHT * (kvTokens - before.kvTokens),
    };
  }

  /**
   * Measures the starts.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns starts per second over the last seconds
   */
  measured(nowMs: number): number {
    this.prune(nowMs);
    return (this.starts.length * 1000) / WINDOW_MS;
  }

  /**
   * Estimates the rate by Little's law.
   *
   * @param places - places of all engines
   * @param kvTokens - KV cache tokens of all engines
   * @param nowMs - monotonic time, in milliseconds
   * @returns starts per second
   */
  perSecond(places: number, kvTokens: number, nowMs: number): number {
    if (!this.mean) return Math.max(MIN_PER_SECOND, this.measured(nowMs));
    const inMemory = kvTokens / Math.max(1, this.mean.kvTokens);
    return Math.max(MIN_PER_SECOND, (Math.min(places, inMemory) * 1000) / this.mean.holdMs);
  }

  private prune(nowMs: number): void {
    while (this.starts.length > 0 && this.starts[0]! <= nowMs - WINDOW_MS) this.starts.shift();
  }
}
