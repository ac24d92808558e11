/** Weight of a new sample in the exponential moving average. */
const SAMPLE_WEIGHT = 0.1;

/** Exponential moving average of the prefill throughput of a model on one engine. */
export class PrefillThroughput {
  private tokensPerMs = 0;

  /**
   * Creates an estimate without samples.
   *
   * @returns a new estimate
   */
  static create(): PrefillThroughput {
    return new PrefillThroughput();
  }

  /**
   * Adds a sample.
   *
   * @param tokens - prompt tokens that were computed, including those queued ahead
   * @param elapsedMs - time that it took, in milliseconds
   */
  addSample(tokens: number, elapsedMs: number): void {
    if (tokens <= 0 || elapsedMs <= 0) return;
    const sample = tokens / elapsedMs;
    this.tokensPerMs = this.tokensPerMs
      ? this.tokensPerMs * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT
      : sample;
  }

  /**
   * Converts queued prompt tokens to a wait.
   *
   * @param tokens - prompt tokens that are to be computed
   * @returns wait in milliseconds; 0 before the first sample, so that no request is refused without
   * a measurement
   */
  waitMs(tokens: number): number {
    return this.tokensPerMs ? tokens / this.tokensPerMs : 0;
  }
}
