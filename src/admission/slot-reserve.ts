// With 10%, goodput near full load fell below 90% with one of three seeds.
/** Share of the decode slots that a late request of mean output leaves to those that arrive next. */
const LATE_FRACTION = 0.12;

/** Share of the decode slots that a request of a team beyond its rate leaves to other teams. */
const EXCESS_FRACTION = 0.05;

/** Most of the decode slots that any request leaves free, so that long outputs run in a calm pool. */
const MAX_FRACTION = 0.25;

/** Number of requests over which the mean output is taken; older ones fade out. */
const MEAN_WINDOW_REQUESTS = 200;

/**
 * Computes the decode slots that late requests, and requests of teams beyond their rate, leave free.
 * A slot is held for as long as the output takes, so requests with a short output leave fewer: of
 * the requests that cannot all run, those run that hold the least capacity.
 */
export class SlotReserve {
  private meanOutput = 0;

  private sampleCount = 0;

  /**
   * Creates a reserve that has seen no requests.
   *
   * @returns a new reserve
   */
  static create(): SlotReserve {
    return new SlotReserve();
  }

  /**
   * Notes a request that arrived.
   *
   * @param outputTokens - the most tokens that it may generate
   */
  recordOutput(outputTokens: number): void {
    if (outputTokens <= 0) return;
    this.sampleCount = Math.min(this.sampleCount + 1, MEAN_WINDOW_REQUESTS);
    this.meanOutput += (outputTokens - this.meanOutput) / this.sampleCount;
  }

  /**
   * Computes what a late request leaves free.
   *
   * @param outputTokens - the most tokens that it may generate
   * @param slots - decode slots of the model
   * @returns decode slots
   */
  forLate(outputTokens: number, slots: number): number {
    return slots * Math.min(MAX_FRACTION, LATE_FRACTION * this.relativeOutput(outputTokens) ** 2);
  }

  /**
   * Computes what a request of a team beyond its rate leaves free.
   *
   * @param outputTokens - the most tokens that it may generate
   * @param slots - decode slots of the model
   * @returns decode slots
   */
  forExcess(outputTokens: number, slots: number): number {
    return slots * Math.min(MAX_FRACTION, EXCESS_FRACTION * this.relativeOutput(outputTokens) ** 3);
  }

  /** Relates an output to the mean; 1 when neither is known. */
  private relativeOutput(outputTokens: number): number {
    return outputTokens > 0 && this.sampleCount > 0 ? outputTokens / this.meanOutput : 1;
  }
}
