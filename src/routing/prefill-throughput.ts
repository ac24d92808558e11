const SAMPLE_WEIGHT = 0.1;

/** Moving estimate of how fast a model's prompts are prefilled on one engine. */
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
   * @param tokens - prompt tokens that were computed
   * @param elapsedMs - how long it took
   */
  addSample(tokens: number, elapsedMs: number): void {
    if (tokens <= 0 || elapsedMs <= 0) return;
    const sample = tokens / elapsedMs;
    this.tokensPerMs = this.tokensPerMs
      ? this.tokensPerMs * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT
      : sample;
  }

  /**
   * Converts queued tokens to a wait.
   *
   * @param tokens - prompt tokens ahead
   * @returns milliseconds; 0 before the first sample, so that nothing is refused on a guess
   */
  waitMs(tokens: number): number {
    return this.tokensPerMs ? tokens / this.tokensPerMs : 0;
  }
}
