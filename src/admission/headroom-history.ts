/** Bound on memory for one bucket; entries beyond it are merged towards the smaller headroom. */
const MOST_ENTRIES = 64;

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
   * @returns the number of this reading, to be given to {@link HeadroomHistory.claim}
   */
  note(headroom: number): number {
    while (this.entries.length > 0 && this.entries.at(-1)!.headroom >= headroom) this.entries.pop();
    this.sequence += 1;
    this.entries.push({ sequence: this.sequence, headroom });
    if (this.entries.length > MOST_ENTRIES) this.merge();
    return this.sequence;
  }

  /**
   * Takes as much of a refund as an unused debit would have left in the bucket.
   *
   * @param since - number of the reading right before the debit
   * @param tokens - tokens to give back
   * @returns the tokens that may be added to the level
   */
  claim(since: number, tokens: number): number {
    const later = this.entries.filter((entry) => entry.sequence > since);
    const smallest = later[0]?.headroom ?? 0;
    const claimed = Math.max(0, Math.min(tokens, smallest));
    for (const entry of later) entry.headroom -= claimed;
    this.restoreOrder();
    return claimed;
  }

  private merge(): void {
    const oldest = this.entries.shift()!;
    this.entries[0]!.headroom = oldest.headroom;
  }

  private restoreOrder(): void {
    for (let place = this.entries.length - 2; place >= 0; place -= 1) {
      const entry = this.entries[place]!;
      entry.headroom = Math.min(entry.headroom, this.entries[place + 1]!.headroom);
    }
  }
}
