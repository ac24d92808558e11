/**
 * Fraction of the decode slots that a late request of mean output leaves free for newer requests.
 * With 0.10, goodput near full load fell below 90% with one of three seeds.
 */
const LATE_FRACTION = 0.12;

/**
 * Fraction of the decode slots that a request of mean output, of a team beyond its rate, leaves
 * free for other teams.
 */
const EXCESS_FRACTION = 0.05;

/**
 * Maximum fraction of the decode slots that any request leaves free, so that requests with a long
 * output still run while the load is low.
 */
const MAX_FRACTION = 0.25;

/** Number of requests in the moving mean of the output; older ones lose weight. */
const MEAN_WINDOW_REQUESTS = 200;

/**
 * Computes the decode slots that late requests, and requests of teams beyond their rate, must leave
 * free. A request occupies its slot for as long as its output takes. Requests with a short output
 * therefore leave fewer slots free: when not all of them can run, those that need the least
 * capacity do.
 */
export class SlotReserve {
  private meanOutput = 0;

  private sampleCount = 0;

  /**
   * Creates a reserve without recorded requests.
   *
   * @returns a new reserve
   */
  static create(): SlotReserve {
    return new SlotReserve();
  }

  /**
   * Records the output of a request that arrived.
   *
   * @param outputTokens - maximum number of tokens that it may generate
   */
  recordOutput(outputTokens: number): void {
    if (outputTokens <= 0) return;
    this.sampleCount = Math.min(this.sampleCount + 1, MEAN_WINDOW_REQUESTS);
    this.meanOutput += (outputTokens - this.meanOutput) / this.sampleCount;
  }

  /**
   * Computes the slots that a late request must leave free.
   *
   * @param outputTokens - maximum number of tokens that it may generate
   * @param slots - decode slots of the model
   * @returns decode slots
   */
  forLate(outputTokens: number, slots: number): number {
    return slots * Math.min(MAX_FRACTION, LATE_FRACTION * this.relativeOutput(outputTokens) ** 2);
  }

  /**
   * Computes the slots that a request of a team beyond its rate must leave free.
   *
   * @param outputTokens - maximum number of tokens that it may generate
   * @param slots - decode slots of the model
   * @returns decode slots
   */
  forExcess(outputTokens: number, slots: number): number {
    return slots * Math.min(MAX_FRACTION, EXCESS_FRACTION * this.relativeOutput(outputTokens) ** 3);
  }

  /** Computes the ratio of an output to the mean output; 1 when either of them is unknown. */
  private relativeOutput(outputTokens: number): number {
    return outputTokens > 0 && this.sampleCount > 0 ? outputTokens / this.meanOutput : 1;
  }
}
