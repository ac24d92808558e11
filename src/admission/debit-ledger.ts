import type { TokenBucket } from './token-bucket.js';

/**
 * Time for which a debit can be retried or refunded; longer than the longest model answer takes.
 */
const RETENTION_MS = 300_000;

/** Maximum number of stored debits; the oldest are evicted first. */
const MAX_DEBITS = 20_000;

/** A debit that this VM granted from its own share. */
export interface LedgerEntry {
  readonly granted: number;
  /** Position of the debit in the bucket's headroom history; needed for a refund. */
  readonly sequence: number;
  /** Bucket that granted the tokens; undefined when nothing was granted. */
  readonly bucket: TokenBucket | undefined;
  readonly atMs: number;
  readonly refunded: boolean;
}

/** Stores debits by id, so that a retried call is neither charged nor refunded twice. */
export class DebitLedger {
  private readonly entries = new Map<string, LedgerEntry>();

  /**
   * Creates an empty ledger.
   *
   * @returns a new ledger
   */
  static create(): DebitLedger {
    return new DebitLedger();
  }

  /** Number of stored debits. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Finds a debit.
   *
   * @param debitId - id of the debit
   * @returns the debit, or undefined when it is not known
   */
  find(debitId: string): LedgerEntry | undefined {
    return this.entries.get(debitId);
  }

  /**
   * Adds a debit.
   *
   * @param debitId - id of the debit
   * @param entry - what was granted
   */
  add(debitId: string, entry: LedgerEntry): void {
    this.evictExpired(entry.atMs);
    this.entries.set(debitId, entry);
  }

  /**
   * Refunds tokens of a debit. Only the first refund of a debit counts. A refund that arrives
   * before its debit cancels it: the debit is granted nothing.
   *
   * @param debitId - id of the debit
   * @param tokens - tokens not used
   * @param nowMs - monotonic time, in milliseconds
   * @returns the bucket that received the tokens, or undefined
   */
  refund(debitId: string, tokens: number, nowMs: number): TokenBucket | undefined {
    const entry = this.entries.get(debitId);
    if (entry?.refunded) return undefined;
    if (!entry) {
      const cancelled = { granted: 0, sequence: 0, bucket: undefined, atMs: nowMs, refunded: true };
      this.add(debitId, cancelled);
      return undefined;
    }
    this.entries.set(debitId, { ...entry, refunded: true });
    const returned = Math.max(0, Math.min(tokens, entry.granted));
    entry.bucket?.refund(returned, entry.sequence, nowMs);
    return entry.bucket;
  }

  /** Removes all debits. */
  clear(): void {
    this.entries.clear();
  }

  private evictExpired(nowMs: number): void {
    for (const [debitId, entry] of this.entries) {
      const kept = nowMs - entry.atMs < RETENTION_MS && this.entries.size < MAX_DEBITS;
      if (kept) return;
      this.entries.delete(debitId);
    }
  }
}
