import type { ExecutionRecord, Intent, StoredOutcome } from './execution-record.js';

interface Attempt {
  readonly intent: Intent;
  state: 'open' | 'abandoned' | 'unknown' | 'done';
}

interface Entry {
  readonly attempts: Attempt[];
  /** Attempts whose `abandoned` record was read before their intent. */
  readonly abandonedEarly: Set<string>;
  outcome: StoredOutcome | undefined;
}

/**
 * Decision on an attempt. `dispatch`: send it. `replay`: return the stored answer. `wait`: wait for
 * the first attempt with the idempotency key. `reused`: the idempotency key was used before with
 * another body. `unknown`: the first attempt ended without a known outcome. `missing`: the intent
 * has not been read yet.
 */
export type LedgerDecision =
  | { readonly kind: 'dispatch' }
  | { readonly kind: 'replay'; readonly outcome: StoredOutcome }
  | { readonly kind: 'wait'; readonly holder: Intent }
  | { readonly kind: 'reused' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'missing' };

/**
 * State of the idempotency keys of one partition, built from its records. Every daemon that has read
 * the same records makes the same decisions.
 */
export class ExecutionLedger {
  private readonly entries = new Map<string, Entry>();

  /**
   * Creates an empty ledger.
   *
   * @returns a new ledger
   */
  static create(): ExecutionLedger {
    return new ExecutionLedger();
  }

  /**
   * Applies one record.
   *
   * @param record - the next record of the partition
   */
  apply(record: ExecutionRecord): void {
    if (record.kind === 'intent') {
      this.addIntent(record);
      return;
    }
    const entry = this.entry(record.key);
    const attempt = entry.attempts.find(({ intent }) => intent.attemptId === record.attemptId);
    if (!attempt) {
      if (record.kind === 'abandoned') entry.abandonedEarly.add(record.attemptId);
      return;
    }
    if (attempt.state === 'done') return;
    if (record.kind === 'outcome') {
      attempt.state = 'done';
      entry.outcome = record;
      return;
    }
    if (attempt.state === 'open') attempt.state = record.kind;
  }

  /**
   * Decides how to proceed with an attempt, based on the records that have been applied.
   *
   * @param key - hash of scope and idempotency key
   * @param attemptId - the attempt
   * @returns the decision
   */
  decide(key: string, attemptId: string): LedgerDecision {
    const entry = this.entries.get(key);
    const own = entry?.attempts.find(({ intent }) => intent.attemptId === attemptId);
    if (!entry || !own) return { kind: 'missing' };
    const first = entry.attempts.find(({ state }) => state !== 'abandoned');
    if (!first) return { kind: 'unknown' };
    if (first === own) return own.state === 'open' ? { kind: 'dispatch' } : { kind: 'unknown' };
    if (first.intent.bodyHash !== own.intent.bodyHash) return { kind: 'reused' };
    if (first.state === 'done' && entry.outcome) return { kind: 'replay', outcome: entry.outcome };
    if (first.state === 'unknown') return { kind: 'unknown' };
    return { kind: 'wait', holder: first.intent };
  }

  /**
   * Evicts idempotency keys that are so old that a request with one is refused as expired.
   *
   * @param beforeMs - idempotency keys issued before this time are evicted, in milliseconds since the
   *   Unix epoch
   */
  evictExpired(beforeMs: number): void {
    this.entries.forEach((entry, key) => {
      const newest = Math.max(...entry.attempts.map(({ intent }) => intent.issuedMs));
      if (newest < beforeMs) this.entries.delete(key);
    });
  }

  /** Number of idempotency keys in the ledger. */
  get size(): number {
    return this.entries.size;
  }

  private addIntent(intent: Intent): void {
    const entry = this.entry(intent.key);
    // A batch may be appended twice when the answer to its append was lost; the first copy counts.
    if (entry.attempts.some((attempt) => attempt.intent.attemptId === intent.attemptId)) return;
    // A delayed append may reach the log after its owner has abandoned the attempt.
    const isAbandoned = entry.abandonedEarly.delete(intent.attemptId);
    entry.attempts.push({ intent, state: isAbandoned ? 'abandoned' : 'open' });
  }

  private entry(key: string): Entry {
    const existing = this.entries.get(key);
    if (existing) return existing;
    const created: Entry = { attempts: [], abandonedEarly: new Set(), outcome: undefined };
    this.entries.set(key, created);
    return created;
  }
}
