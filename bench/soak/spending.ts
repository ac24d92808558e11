/** Tokens of one request, counted at its start. */
export interface Spending {
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number;
  readonly tokens: number;
}

/** Rate limit of a team. */
export interface SpendingLimits {
  /** Tokens per second. */
  readonly rate: number;
  /** Tokens. */
  readonly burst: number;
}

/**
 * Finds time windows in which more than burst + rate × window was spent. A leaky bucket that drains at
 * the rate and never falls below zero exceeds the burst exactly when such a window ends.
 *
 * @param spending - token use in any order
 * @param limits - rate and burst
 * @returns one line for each time at which a window exceeds the limit
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
    if (level > burst) lines.push(`${Math.ceil(level - burst)} tokens over the limit at ${atMs}`);
  });
  return lines;
}
