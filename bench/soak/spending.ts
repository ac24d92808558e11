/** Tokens that were run from one moment on. */
export interface Spending {
  /** Wall clock, in milliseconds. */
  readonly atMs: number;
  readonly tokens: number;
}

/** What a team may spend. */
export interface SpendingLimits {
  /** Tokens a second. */
  readonly rate: number;
  readonly burst: number;
}

/**
 * Finds windows in which more than burst + rate × window was spent. A bucket that never holds less
 * than nothing exceeds the burst exactly when such a window ends.
 *
 * @param spending - in any order
 * @param limits - rate and burst
 * @returns a line for each moment at which a window is exceeded
 */
export function findOverspending(
  spending: readonly Spending[],
  { rate, burst }: SpendingLimits,
): string[] {
  const ordered = [...spending].sort((left, right) => left.atMs - right.atMs);
  const lines: string[] = [];
  let level = 0;
  let lastMs = ordered[0]?.atMs ?? 0;
  ordered.forEach(({ atMs, tokens }) => {
    level = Math.max(0, level - (rate * (atMs - lastMs)) / 1000) + tokens;
    lastMs = atMs;
    if (level > burst) lines.push(`${Math.ceil(level - burst)} tokens too many at ${atMs}`);
  });
  return lines;
}
