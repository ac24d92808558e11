/**
 * Maximum number of entries per bucket; the oldest two are merged, with the smaller headroom kept.
 */
const MAX_ENTRIES = 64;

interface Entry {
  sequence: number;
  headroom: number;
}

/**
 * Tracks the minimum headroom (burst minus level) of a bucket since each debit. A refund above that
 * headroom would return tokens that the bucket would have lost at the burst limit without the
 * debit.
 */
export class HeadroomHistory {
  /** Suffix minima: both fields increase from the oldest entry to the newest. */
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
   * Records the current headroom. It must be recorded before the level falls.
   *
   * @param headroom - burst minus level, in tokens
   * @returns sequence number of this reading, to be passed to {@link HeadroomHistory.applyRefund}
   */
  record(headroom: number): number {
    while (this.entries.length > 0 && this.entries.at(-1)!.headroom >= headroom) this.entries.pop();
    this.sequence += 1;
    this.entries.push({ sequence: this.sequence, headroom });
    if (this.entries.length > MAX_ENTRIES) this.mergeOldest();
    return this.sequence;
  }

  /**
   * Limits a refund to the tokens that the bucket would still hold without the debit, and lowers
   * the recorded headroom by them.
   *
   * @param since - sequence number of the reading right before the debit
   * @param tokens - tokens to refund
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
