import type { AttemptTokens } from '../../harness/token-runs.js';

/** Rate and burst of a team from one point in time until the limits change again. */
export interface LimitPhase {
  /** Start of the phase, in milliseconds since the Unix epoch. */
  readonly fromMs: number;
  /** Tokens per second. */
  readonly rate: number;
  readonly burst: number;
}

/** The time window whose tokens come closest to the rate limit, or exceed it by the most. */
export interface TightestWindow {
  readonly tokens: number;
  readonly allowed: number;
  readonly windowMs: number;
  /** Tokens processed divided by tokens allowed. */
  readonly ratio: number;
}

/** Start times are rounded to whole milliseconds, so a window may be 1 ms longer than recorded. */
const ROUNDING_MS = 1;

/**
 * Finds the tightest window among all pairs of start times.
 *
 * @param runs - attempts that ran tokens for one team
 * @param phases - limits in order of start time
 * @returns the window with the largest ratio of tokens run to burst + rate × window
 */
export function findTightestWindow(
  runs: readonly AttemptTokens[],
  phases: readonly LimitPhase[],
): TightestWindow {
  const sorted = runs.toSorted((one, other) => one.startedMs - other.startedMs);
  let tightest: TightestWindow = { tokens: 0, allowed: 0, windowMs: 0, ratio: 0 };
  sorted.forEach((first, index) => {
    let tokens = 0;
    for (const last of sorted.slice(index)) {
      tokens += last.tokens;
      const allowed = countAllowedTokens(first.startedMs, last.startedMs + ROUNDING_MS, phases);
      const ratio = tokens / allowed;
      const windowMs = last.startedMs - first.startedMs;
      if (ratio > tightest.ratio) tightest = { tokens, allowed, windowMs, ratio };
    }
  });
  return tightest;
}

/**
 * Returns the largest burst of the phases that overlap a window plus the integral of the rate over
 * it.
 */
function countAllowedTokens(startMs: number, endMs: number, phases: readonly LimitPhase[]): number {
  let burst = 0;
  let accrued = 0;
  phases.forEach((phase, index) => {
    const from = Math.max(startMs, phase.fromMs);
    const to = Math.min(endMs, phases[index + 1]?.fromMs ?? Infinity);
    if (to <= from) return;
    burst = Math.max(burst, phase.burst);
    accrued += (phase.rate * (to - from)) / 1000;
  });
  return burst + accrued;
}
