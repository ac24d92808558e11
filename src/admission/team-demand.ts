import type { BucketLimits } from './token-bucket.js';

interface DemandBucket {
  tokens: number;
  atMs: number;
}

/** A team without requests for this long is evicted. */
const IDLE_MS = 10_000;

/**
 * Detects teams that send more than their rates allow. Token balances do not show this while the
 * pool is full, because requests that are refused for lack of capacity take no tokens. Each VM
 * counts only the requests that it receives itself, so it never counts more than the team sends.
 * Until a request has ended, it counts with all the tokens that it may use. Each retry of a refused
 * request counts again.
 */
export class TeamDemand {
  private readonly buckets = new Map<string, DemandBucket>();

  /**
   * Creates a tracker without teams.
   *
   * @returns a new tracker
   */
  static create(): TeamDemand {
    return new TeamDemand();
  }

  /**
   * Counts a request and checks it against the team's rate and burst.
   *
   * @param team - name of the team
   * @param cost - tokens of the request
   * @param limits - rate and burst of the team, summed over all homes
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when the request exceeds the rate and burst; it is not charged then
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
   * Returns tokens that were charged for a request and not used.
   *
   * @param team - name of the team
   * @param tokens - tokens not used
   */
  refund(team: string, tokens: number): void {
    const bucket = this.buckets.get(team);
    if (bucket) bucket.tokens += tokens;
  }

  /**
   * Evicts teams that have been idle for longer than {@link IDLE_MS}.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  evictIdle(nowMs: number): void {
    this.buckets.forEach(({ atMs }, team) => {
      if (nowMs - atMs > IDLE_MS) this.buckets.delete(team);
    });
  }
}
