import type { Assignment, EngineLoad } from './routing.js';

// A report may be this old when it arrives, and lacks the work that was assigned meanwhile. Engines
// refresh their reports every 50 ms; with 20 ms here, polled loads hid own dispatches.
const REPORT_LAG_MS = 50;

/** Room of an engine as configured. */
export interface EngineSize {
  readonly decodeSlots: number;
  readonly kvBlocks: number;
}

/** Estimated load of an engine; no number is negative. */
export interface LoadEstimate {
  readonly slotsFree: number;
  readonly blocksFree: number;
  readonly queuedPrefillTokens: number;
}

interface Amount {
  slots: number;
  blocks: number;
  tokens: number;
}

interface Entry extends Amount {
  readonly assignment: Assignment;
  readonly atMs: number;
  readonly queuedAhead: number;
  counted: boolean;
}

/** What this VM knows of one engine's load: the last report and its own work since then. */
export class EngineView {
  private readonly entries = new Map<string, Entry>();

  private pending: Amount = createAmount();

  private ended: Amount = createAmount();

  private report: EngineLoad | undefined;

  private reportMs = -Infinity;

  /**
   * Creates a view without reports.
   *
   * @returns a new view
   */
  static create(): EngineView {
    return new EngineView();
  }

  /** The last report. */
  get load(): EngineLoad | undefined {
    return this.report;
  }

  /** Monotonic time of the last report, in milliseconds. */
  get reportedMs(): number {
    return this.reportMs;
  }

  /** Suspects that this VM runs on the engine. */
  get suspects(): number {
    return [...this.entries.values()].filter((entry) => entry.assignment.suspect).length;
  }

  /**
   * Replaces the last report.
   *
   * @param load - what the engine reported
   * @param nowMs - monotonic time
   */
  observe(load: EngineLoad, nowMs: number): void {
    this.report = load;
    this.reportMs = nowMs;
    this.ended = createAmount();
    this.pending = createAmount();
    for (const entry of this.entries.values()) {
      entry.counted ||= entry.atMs <= nowMs - REPORT_LAG_MS;
      if (!entry.counted) addAmount(this.pending, entry, 1);
    }
  }

  /**
   * Adds work of this VM.
   *
   * @param assignment - the work
   * @param nowMs - monotonic time
   */
  assign(assignment: Assignment, nowMs: number): void {
    const key = keyOf(assignment.attemptId, assignment.phase);
    this.remove(key);
    const queuedAhead = Math.max(0, this.queuedTokens());
    const entry = { ...amountOf(assignment), assignment, atMs: nowMs, queuedAhead, counted: false };
    this.entries.set(key, entry);
    addAmount(this.pending, entry, 1);
  }

  /**
   * Removes work of this VM.
   *
   * @param attemptId - the attempt
   * @param phase - the phase that ended; undefined removes both
   */
  unassign(attemptId: string, phase?: Assignment['phase']): void {
    if (phase !== 'decode') this.remove(keyOf(attemptId, 'prefill'));
    if (phase !== 'prefill') this.remove(keyOf(attemptId, 'decode'));
  }

  /**
   * Reads what a prefill that is assigned has waited for.
   *
   * @param attemptId - the attempt
   * @param nowMs - monotonic time
   * @returns prompt tokens ahead of it when it was sent and milliseconds since then
   */
  measurePrefill(
    attemptId: string,
    nowMs: number,
  ): { readonly queuedAhead: number; readonly elapsedMs: number } | undefined {
    const entry = this.entries.get(keyOf(attemptId, 'prefill'));
    return entry && { queuedAhead: entry.queuedAhead, elapsedMs: nowMs - entry.atMs };
  }

  /**
   * Estimates the present load.
   *
   * @param size - room as configured; it bounds the estimate and stands in for a missing report
   * @returns the estimate
   */
  estimate(size: EngineSize): LoadEstimate {
    const slots = (this.report?.slotsFree ?? size.decodeSlots) + this.ended.slots;
    const blocks = (this.report?.blocksFree ?? size.kvBlocks) + this.ended.blocks;
    return {
      slotsFree: clamp(slots - this.pending.slots, size.decodeSlots),
      blocksFree: clamp(blocks - this.pending.blocks, size.kvBlocks),
      queuedPrefillTokens: Math.max(0, this.queuedTokens()),
    };
  }

  private queuedTokens(): number {
    return (this.report?.queuedPrefillTokens ?? 0) + this.pending.tokens - this.ended.tokens;
  }

  private remove(key: string): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    this.entries.delete(key);
    if (entry.counted) addAmount(this.ended, entry, 1);
    else addAmount(this.pending, entry, -1);
  }
}

function keyOf(attemptId: string, phase: Assignment['phase']): string {
  return `${phase}/${attemptId}`;
}

function createAmount(): Amount {
  return { slots: 0, blocks: 0, tokens: 0 };
}

function amountOf({ phase, blocks, promptTokens }: Assignment): Amount {
  if (phase === 'decode') return { slots: 1, blocks, tokens: 0 };
  return { slots: 0, blocks: 0, tokens: promptTokens };
}

function addAmount(sum: Amount, amount: Amount, factor: 1 | -1): void {
  Object.assign(sum, {
    slots: sum.slots + factor * amount.slots,
    blocks: sum.blocks + factor * amount.blocks,
    tokens: sum.tokens + factor * amount.tokens,
  });
}

function clamp(value: number, most: number): number {
  return Math.max(0, Math.min(value, most));
}
