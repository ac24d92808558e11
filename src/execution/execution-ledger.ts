import type { ExecutionRecord, Intent, StoredOutcome } from './execution-record.js';

interface Attempt {
  readonly intent: Intent;
  state: 'open' | 'abandoned' | 'unknown' | 'done';
}

interface Entry {
  readonly attempts: Attempt[];
  /** Attempts that were given up before their intent arrived. */
  readonly abandonedEarly: Set<string>;
  outcome: StoredOutcome | undefined;
}

/**
 * What an attempt may do: `dispatch` it; `replay` the stored answer; `wait` for the attempt that
 * came first; `reused`, the key came with another body; `unknown`, the first attempt ended without
 * a known outcome; `missing`, the intent has not been read yet.
 */
export type LedgerDecision =
  | { readonly kind: 'dispatch' }
  | { readonly kind: 'replay'; readonly outcome: StoredOutcome }
  | { readonly kind: 'wait'; readonly holder: Intent }
  | { readonly kind: 'reused' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'missing' };

/** Folds the records of one partition; every daemon that reads the same records decides alike. */
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
   * Folds one record.
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
   * Decides what an attempt may do after its intent has been read.
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
   * Forgets keys that are refused as expired anyway.
   *
   * @param beforeMs - issue time, in milliseconds since the Unix epoch
   */
  evictExpired(beforeMs: number): void {
    this.entries.forEach((entry, key) => {
      const newest = Math.max(...entry.attempts.map(({ intent }) => intent.issuedMs));
      if (newest < beforeMs) this.entries.delete(key);
    });
  }

  /** Number of keys that are remembered. */
  get size(): number {
    return this.entries.size;
  }

  private addIntent(intent: Intent): void {
    const entry = this.entry(intent.key);
    // A batch whose answer was lost may be appended twice; the first copy counts.
    if (entry.attempts.some((attempt) => attempt.intent.attemptId === intent.attemptId)) return;
    // An append that the network held back may reach the log after its owner has given it up.
    const isGivenUp = entry.abandonedEarly.delete(intent.attemptId);
    entry.attempts.push({ intent, state: isGivenUp ? 'abandoned' : 'open' });
  }

  private entry(key: string): Entry {
    const known = this.entries.get(key);
    if (known) return known;
    const created: Entry = { attempts: [], abandonedEarly: new Set(), outcome: undefined };
    this.entries.set(key, created);
    return created;
  }
}
