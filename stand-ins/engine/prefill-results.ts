import { randomUUID } from 'node:crypto';

import type { AttemptFields } from './request-schema.js';

/** A finished prefill that waits for its transfer. */
export interface PrefillResult {
  readonly prefillId: string;
  readonly attempt: AttemptFields;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Tokens computed for it, which are wasted when no transfer completes. */
  readonly computedTokens: number;
  readonly kvBytes: number;
}

interface Entry {
  readonly result: PrefillResult;
  activeExports: number;
  timer: NodeJS.Timeout | undefined;
}

/** Keeps the results of prefills for a short time, or for as long as a transfer runs. */
export class PrefillResults {
  private readonly entries = new Map<string, Entry>();

  private constructor(
    private readonly lifetimeMs: number,
    private readonly onExpired: (result: PrefillResult) => void,
  ) {}

  /**
   * Creates an empty store.
   *
   * @param lifetimeMs - how long a result is kept when no transfer has begun
   * @param onExpired - called after a result was dropped unused
   * @returns a new store
   */
  static create(lifetimeMs: number, onExpired: (result: PrefillResult) => void): PrefillResults {
    return new PrefillResults(lifetimeMs, onExpired);
  }

  /**
   * Keeps a result.
   *
   * @param fields - the result without its id
   * @returns the result
   */
  add(fields: Omit<PrefillResult, 'prefillId'>): PrefillResult {
    const result = { ...fields, prefillId: randomUUID() };
    const entry: Entry = { result, activeExports: 0, timer: undefined };
    this.entries.set(result.prefillId, entry);
    this.startTimer(entry);
    return result;
  }

  /**
   * Finds a result.
   *
   * @param prefillId - the result
   * @returns the result, or undefined when it has expired
   */
  find(prefillId: string): PrefillResult | undefined {
    return this.entries.get(prefillId)?.result;
  }

  /**
   * Begins a transfer, during which the result does not expire.
   *
   * @param prefillId - the result
   * @returns the result, or undefined when it has expired
   */
  beginExport(prefillId: string): PrefillResult | undefined {
    const entry = this.entries.get(prefillId);
    if (!entry) return undefined;
    clearTimeout(entry.timer);
    entry.activeExports += 1;
    return entry.result;
  }

  /**
   * Ends a transfer. A result whose transfer broke is kept for its lifetime again.
   *
   * @param prefillId - the result
   * @param complete - whether everything was transferred
   * @returns true when the result was dropped because its transfer is complete
   */
  endExport(prefillId: string, complete: boolean): boolean {
    const entry = this.entries.get(prefillId);
    if (!entry) return false;
    entry.activeExports -= 1;
    if (complete) return this.entries.delete(prefillId);
    if (entry.activeExports === 0) this.startTimer(entry);
    return false;
  }

  /**
   * Drops the results of an attempt.
   *
   * @param attemptId - the attempt
   * @returns the results that were dropped
   */
  dropAttempt(attemptId: string): PrefillResult[] {
    const dropped = [...this.entries.values()].filter(
      (entry) => entry.result.attempt.attemptId === attemptId,
    );
    dropped.forEach((entry) => this.drop(entry));
    return dropped.map((entry) => entry.result);
  }

  /** Drops everything without calling `onExpired`. */
  clear(): void {
    [...this.entries.values()].forEach((entry) => this.drop(entry));
  }

  private startTimer(entry: Entry): void {
    Object.assign(entry, {
      timer: setTimeout(() => {
        this.drop(entry);
        this.onExpired(entry.result);
      }, this.lifetimeMs),
    });
  }

  private drop(entry: Entry): void {
    clearTimeout(entry.timer);
    this.entries.delete(entry.result.prefillId);
  }
}
