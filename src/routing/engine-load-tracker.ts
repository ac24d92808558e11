import type { Assignment, EngineLoad } from './routing.js';

// A report can be this old when it arrives and then lacks work that was assigned in the meantime.
// Engines refresh their reports every 50 ms; with 20 ms here, work that this VM had just dispatched
// was missing from estimates that were based on polled reports.
const MAX_REPORT_AGE_MS = 50;

/** Configured capacity of an engine. */
export interface EngineCapacity {
  readonly decodeSlots: number;
  readonly kvBlocks: number;
}

/** Estimated load of an engine; all numbers are at least 0. */
export interface LoadEstimate {
  readonly slotsFree: number;
  readonly blocksFree: number;
  readonly queuedPrefillTokens: number;
}

interface ResourceUsage {
  slots: number;
  blocks: number;
  /** Prompt tokens queued for prefill. */
  tokens: number;
}

interface TrackedAssignment extends ResourceUsage {
  readonly assignment: Assignment;
  readonly atMs: number;
  /** Prompt tokens queued ahead of it when it was assigned. */
  readonly queuedAhead: number;
  /** True when the last report includes this work. */
  inReport: boolean;
}

/** Tracks one engine's load: the last report, corrected by this VM's own work since then. */
export class EngineLoadTracker {
  private readonly assignments = new Map<string, TrackedAssignment>();

  /** Usage of own work that the last report does not include. */
  private unreported: ResourceUsage = createUsage();

  /** Usage of own work that the last report includes and that has ended since. */
  private released: ResourceUsage = createUsage();

  private report: EngineLoad | undefined;

  private lastReportTimeMs = -Infinity;

  /**
   * Creates a tracker without a report.
   *
   * @returns a new tracker
   */
  static create(): EngineLoadTracker {
    return new EngineLoadTracker();
  }

  /** Load in the last report, or undefined before the first one. */
  get lastLoad(): EngineLoad | undefined {
    return this.report;
  }

  /** Monotonic time of the last report, in milliseconds. */
  get lastReportMs(): number {
    return this.lastReportTimeMs;
  }

  /**
   * Number of requests suspected of crashing engines that this VM has assigned to the engine.
   */
  get suspects(): number {
    return [...this.assignments.values()].filter((entry) => entry.assignment.suspect).length;
  }

  /**
   * Replaces the last report and recomputes which own work it includes.
   *
   * @param load - load that the engine reported
   * @param nowMs - monotonic time, in milliseconds
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
   * Adds work that this VM assigned to the engine; it replaces an earlier entry of the same attempt
   * and phase.
   *
   * @param assignment - the work
   * @param nowMs - monotonic time, in milliseconds
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
   * Removes work that this VM assigned to the engine.
   *
   * @param attemptId - the attempt
   * @param phase - the phase that ended; undefined removes both
   */
  unassign(attemptId: string, phase?: Assignment['phase']): void {
    if (phase !== 'decode') this.remove(keyOf(attemptId, 'prefill'));
    if (phase !== 'prefill') this.remove(keyOf(attemptId, 'decode'));
  }

  /**
   * Measures a prefill that is still assigned.
   *
   * @param attemptId - the attempt
   * @param nowMs - monotonic time, in milliseconds
   * @returns prompt tokens queued ahead of it when it was assigned and milliseconds since then, or
   * undefined when it is not assigned
   */
  measurePrefill(
    attemptId: string,
    nowMs: number,
  ): { readonly queuedAhead: number; readonly elapsedMs: number } | undefined {
    const entry = this.assignments.get(keyOf(attemptId, 'prefill'));
    return entry && { queuedAhead: entry.queuedAhead, elapsedMs: nowMs - entry.atMs };
  }

  /**
   * Estimates the current load.
   *
   * @param capacity - configured capacity; it bounds the estimate and replaces a missing report
   * @returns the estimate
   */
  estimate(capacity: EngineCapacity): LoadEstimate {
    const slots = (this.report?.slotsFree ?? capacity.decodeSlots) + this.released.slots;
    const blocks = (this.report?.blocksFree ?? capacity.kvBlocks) + this.released.blocks;
    return {
      slotsFree: clamp(slots - this.unreported.slots, capacity.decodeSlots),
      blocksFree: clamp(blocks - this.unreported.blocks, capacity.kvBlocks),
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

function clamp(value: number, max: number): number {
  return Math.max(0, Math.min(value, max));
}
