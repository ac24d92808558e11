import type { DecisionEntry } from './decisions.js';

/** Ring buffer of the newest decisions, which can be searched by request. */
export class DecisionRing {
  private readonly entries: DecisionEntry[] = [];

  private nextIndex = 0;

  private constructor(private readonly capacity: number) {}

  /**
   * Creates an empty ring.
   *
   * @param capacity - maximum number of entries; beyond it, a new entry replaces the oldest
   * @returns a new ring
   */
  static create(capacity: number): DecisionRing {
    return new DecisionRing(capacity);
  }

  /**
   * Adds an entry.
   *
   * @param entry - the decision
   */
  add(entry: DecisionEntry): void {
    this.entries[this.nextIndex] = entry;
    this.nextIndex = (this.nextIndex + 1) % this.capacity;
  }

  /**
   * Finds the entries of one request by scanning the whole ring. Searches are rare and take well under
   * a millisecond, whereas an index would cost time and memory for each decision.
   *
   * @param requestId - id of the request
   * @returns its entries
   */
  find(requestId: string): readonly DecisionEntry[] {
    return this.entries.filter((entry) => entry.requestId === requestId);
  }

  /**
   * Finds the entries of several requests in one scan.
   *
   * @param requestIds - ids of the requests
   * @returns their entries
   */
  findAny(requestIds: ReadonlySet<string>): readonly DecisionEntry[] {
    if (requestIds.size === 0) return [];
    return this.entries.filter((entry) => requestIds.has(entry.requestId));
  }
}
