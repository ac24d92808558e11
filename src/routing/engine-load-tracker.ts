import type { Assignment, EngineLoad } from './routing.js';

// A report may be this old when it arrives, and lacks the work that was assigned meanwhile. Engines
// refresh their reports every 50 ms; with 20 ms here, polled loads hid own dispatches.
const MAX_REPORT_AGE_MS = 50;

/** Room of an engine as configured. */
export interface EngineCapacity {
  readonly decodeSlots: number;
  readonly kvBlocks: number;
}

/** Estimated load of an engine; no number is negative. */
export interface LoadEstimate {
  readonly slotsFree: number;
  readonly blocksFree: number;
  readonly queuedPrefillTokens: number;
}

interface ResourceUsage {
  slots: number;
  blocks: number;
  tokens: number;
}

interface TrackedAssignment extends ResourceUsage {
  readonly assignment: Assignment;
  readonly atMs: number;
  readonly queuedAhead: number;
  inReport: boolean;
}

/** What this VM knows of one engine's load: the last report and its own work since then. */
export class EngineLoadTracker {
  private readonly assignments = new Map<string, TrackedAssignment>();

  private unreported: ResourceUsage = createUsage();

  private released: ResourceUsage = createUsage();

  private report: EngineLoad | undefined;

  private lastReportTimeMs = -Infinity;

  /**
   * Creates a view without reports.
   *
   * @returns a new view
   */
  static create(): EngineLoadTracker {
    return new EngineLoadTracker();
  }

  /** The last report. */
  get lastLoad(): EngineLoad | undefined {
    return this.report;
  }

  /** Monotonic time of the last report, in milliseconds. */
  get lastReportMs(): number {
    return this.lastReportTimeMs;
  }

  /** Suspects that this VM runs on the engine. */
  get suspects(): number {
    return [...this.assignments.values()].filter((entry) => entry.assignment.suspect).length;
  }

  /**
   * Replaces the last report.
   *
   * @param load - what the engine reported
   * @param nowMs - monotonic time
   */
  observeLoad(load: EngineLoad, nowMs: number): void {
    this.report = load;
    this.lastReportTimeMs = nowMs;
    this.released = createUsage();
    this.unreported = createUsage();
    for (const entry of this.assignments.values()) {
      entry.inReport ||= entry.atMs <= nowMs - MAX_REPORT_AGE_MS;
      if (!entry.inReport) addUsage(this.unreported, entry, 1);
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
    const queuedAhead = Math.max(0, this.queuedPrefillTokens());
    const entry = { ...usageOf(assignment), assignment, atMs: nowMs, queuedAhead, inReport: false };
    this.assignments.set(key, entry);
    addUsage(this.unreported, entry, 1);
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
    const entry = this.assignments.get(keyOf(attemptId, 'prefill'));
    return entry && { queuedAhead: entry.queuedAhead, elapsedMs: nowMs - entry.atMs };
  }

  /**
   * Estimates the present load.
   *
   * @param size - room as configured; it bounds the estimate and stands in for a missing report
   * @returns the estimate
   */
  estimate(size: EngineCapacity): LoadEstimate {
    const slots = (this.report?.slotsFree ?? size.decodeSlots) + this.released.slots;
    const blocks = (this.report?.blocksFree ?? size.kvBlocks) + this.released.blocks;
    return {
      slotsFree: clamp(slots - this.unreported.slots, size.decodeSlots),
      blocksFree: clamp(blocks - this.unreported.blocks, size.kvBlocks),
      queuedPrefillTokens: Math.max(0, this.queuedPrefillTokens()),
    };
  }

  private queuedPrefillTokens(): number {
    return (this.report?.queuedPrefillTokens ?? 0) + this.unreported.tokens - this.released.tokens;
  }

  private remove(key: string): void {
    const entry = this.assignments.get(key);
    if (!entry) return;
    this.assignments.delete(key);
    if (entry.inReport) addUsage(this.released, entry, 1);
    else addUsage(this.unreported, entry, -1);
  }
}

function keyOf(attemptId: string, phase: Assignment['phase']): string {
  return `${phase}/${attemptId}`;
}

function createUsage(): ResourceUsage {
  return { slots: 0, blocks: 0, tokens: 0 };
}

function usageOf({ phase, blocks, promptTokens }: Assignment): ResourceUsage {
  if (phase === 'decode') return { slots: 1, blocks, tokens: 0 };
  return { slots: 0, blocks: 0, tokens: promptTokens };
}

function addUsage(sum: ResourceUsage, amount: ResourceUsage, factor: 1 | -1): void {
  Object.assign(sum, {
    slots: sum.slots + factor * amount.slots,
    blocks: sum.blocks + factor * amount.blocks,
    tokens: sum.tokens + factor * amount.tokens,
  });
}

function clamp(value: number, most: number): number {
  return Math.max(0, Math.min(value, most));
}
