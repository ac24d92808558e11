/**
 * Position in a log of the store. The store may come back from an older copy; then its offsets go back and
 * are given out again, and its era rises. So only positions of one era can be compared by offset.
 */
export interface StorePosition {
  /** Number of times that the store has come back from an older copy. */
  readonly era: number;
  /** Offset of a record, or of the end of what has been read. */
  readonly offset: number;
}

/** Position before the first read. */
export const UNREAD: StorePosition = { era: 0, offset: -1 };

/**
 * Compares two positions of the same log.
 *
 * @param left - a position
 * @param right - another position
 * @returns a number below, equal to or above 0 when `left` is before, at or after `right`
 */
export function comparePositions(left: StorePosition, right: StorePosition): number {
  return left.era - right.era || left.offset - right.offset;
}
