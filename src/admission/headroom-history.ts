/** Bound on memory for one bucket; entries beyond it are merged towards the smaller headroom. */
const MAX_ENTRIES = 64;

interface Entry {
  sequence: number;
  headroom: number;
}

/**
 * Remembers the smallest distance between a bucket's level and its burst since each debit. A refund
 * above that distance would give back tokens that an unused debit would have lost at the burst.
 */
export class HeadroomHistory {
  /** Suffix minima: both fields grow from the oldest entry to the newest. */
  private readonly entries: Entry[] = [];

  private sequence = 0;

  /**
   * Creates an empty history.
   *
   * @returns a new history
   */
  static create(): HeadroomHistory {
    return new HeadroomHistory();
  }

  /**
   * Notes the present distance to the burst; the level must be noted before it falls.
   *
   * @param headroom - burst minus level, in tokens
   * @returns the number of this reading, to be given to {@link HeadroomHistory.applyRefund}
   */
  record(headroom: number): number {
    while (this.entries.length > 0 && this.entries.at(-1)!.headroom >= headroom) this.entries.pop();
    this.sequence += 1;
    this.entries.push({ sequence: this.sequence, headroom });
    if (this.entries.length > MAX_ENTRIES) this.mergeOldest();
    return this.sequence;
  }

  /**
   * Takes as much of a refund as an unused debit would have left in the bucket.
   *
   * @param since - number of the reading right before the debit
   * @param tokens - tokens to give back
   * @returns the tokens that may be added to the level
   */
  applyRefund(since: number, tokens: number): number {
    const later = this.entries.filter((entry) => entry.sequence > since);
    const smallest = later[0]?.headroom ?? 0;
    const refunded = Math.max(0, Math.min(tokens, smallest));
    for (const entry of later) entry.headroom -= refunded;
    this.restoreSuffixMinima();
    return refunded;
  }

  private mergeOldest(): void {
    const oldest = this.entries.shift()!;
    this.entries[0]!.headroom = oldest.headroom;
  }

  private restoreSuffixMinima(): void {
    for (let index = this.entries.length - 2; index >= 0; index -= 1) {
      const entry = this.entries[index]!;
      entry.headroom = Math.min(entry.headroom, this.entries[index + 1]!.headroom);
    }
  }
}
