import type { BucketLimits } from './token-bucket.js';

interface DemandBucket {
  tokens: number;
  atMs: number;
}

/** A team that has asked for nothing for this long is forgotten. */
const IDLE_MS = 10_000;

/**
 * Notices teams that send more than their rates allow. Their tokens do not show it while the pool is
 * full, because requests that are refused for lack of capacity take none. Each VM counts only what
 * it is asked for itself, so it never counts more than the team sends. A request counts with all the
 * tokens that it may use until it has ended, and each repetition of a refused one counts again.
 */
export class TeamDemand {
  private readonly buckets = new Map<string, DemandBucket>();

  /**
   * Creates demand of teams that have asked for nothing.
   *
   * @returns new demand
   */
  static create(): TeamDemand {
    return new TeamDemand();
  }

  /**
   * Counts a request.
   *
   * @param team - name of the team
   * @param cost - tokens of the request
   * @param limits - rate and burst of the team over all homes
   * @param nowMs - monotonic time in milliseconds
   * @returns true when the request is beyond what the rate and burst allow
   */
  exceeds(team: string, cost: number, limits: BucketLimits, nowMs: number): boolean {
    const known = this.buckets.get(team) ?? { tokens: limits.burst, atMs: nowMs };
    const gained = (limits.rate * (nowMs - known.atMs)) / 1000;
    const tokens = Math.min(limits.burst, known.tokens + gained);
    const fits = cost <= tokens;
    this.buckets.set(team, { tokens: fits ? tokens - cost : tokens, atMs: nowMs });
    return !fits;
  }

  /**
   * Takes back tokens that a request was charged and did not use.
   *
   * @param team - name of the team
   * @param tokens - tokens not used
   */
  refund(team: string, tokens: number): void {
    const bucket = this.buckets.get(team);
    if (bucket) bucket.tokens += tokens;
  }

  /**
   * Forgets teams that have asked for nothing for a while.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  evictIdle(nowMs: number): void {
    this.buckets.forEach(({ atMs }, team) => {
      if (nowMs - atMs > IDLE_MS) this.buckets.delete(team);
    });
  }
}
