import { randomUUID } from 'node:crypto';

import type { AttemptFields } from './request-schema.js';

/** Result of a prefill that has not been transferred yet. */
export interface PrefillResult {
  readonly prefillId: string;
  readonly attempt: AttemptFields;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Number of tokens that were computed; they are wasted when no transfer completes. */
  readonly computedTokens: number;
  readonly kvBytes: number;
}

interface Entry {
  readonly result: PrefillResult;
  activeExports: number;
  timer: NodeJS.Timeout | undefined;
}

/** Keeps the results of prefills for their lifetime, and longer while a transfer runs. */
export class PrefillResults {
  private readonly entries = new Map<string, Entry>();

  private constructor(
    private readonly lifetimeMs: number,
    private readonly onExpired: (result: PrefillResult) => void,
  ) {}

  /**
   * Creates an empty store.
   *
   * @param lifetimeMs - lifetime of a result while no transfer runs
   * @param onExpired - called after an unused result was dropped
   * @returns a new store
   */
  static create(lifetimeMs: number, onExpired: (result: PrefillResult) => void): PrefillResults {
    return new PrefillResults(lifetimeMs, onExpired);
  }

  /**
   * Adds a result.
   *
   * @param fields - the result without its id
   * @returns the result with its id
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
   * @param prefillId - id of the result
   * @returns the result, or undefined when it has expired
   */
  find(prefillId: string): PrefillResult | undefined {
    return this.entries.get(prefillId)?.result;
  }

  /**
   * Marks the start of a transfer, during which the result does not expire.
   *
   * @param prefillId - id of the result
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
   * Marks the end of a transfer. After a failed transfer the lifetime of the result starts anew.
   *
   * @param prefillId - id of the result
   * @param complete - whether all bytes were transferred
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

  /** Drops all results without calling `onExpired`. */
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
