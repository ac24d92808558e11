import type { Team } from '../domain/team.js';
import type { BucketLimits } from './token-bucket.js';

/** Maximum time between a debit and the sending of the request that it pays for. */
export const DISPATCH_DELAY_MS = 250;

/**
 * Computes the limits of a team over all its homes. Tokens sent in a window were debited in that
 * window or within the dispatch delay before it, so the burst is reduced by rate × delay. At least
 * half of the burst stays usable: where rate × delay exceeds that half, the rate is lowered to
 * burst / (2 × delay). The tokens sent in a window are then
 * burst − rate × delay + rate × (window + delay), which is at most burst + rate × window.
 *
 * @param team - the team
 * @param rateFactor - factor of the preset in force
 * @returns rate and burst that all homes together may grant
 */
export function computeTeamLimits(team: Team, rateFactor: number): BucketLimits {
  const delaySeconds = DISPATCH_DELAY_MS / 1000;
  const burst = team.burst * rateFactor;
  const rate = Math.min(team.rate * rateFactor, burst / (2 * delaySeconds));
  return { rate, burst: burst - rate * delaySeconds };
}

/**
 * Divides a team's limits among its homes.
 *
 * @param limits - limits of the team
 * @param homes - number of homes, at least 1
 * @returns limits of one home's bucket
 */
export function divideLimits(limits: BucketLimits, homes: number): BucketLimits {
  return { rate: limits.rate / homes, burst: limits.burst / homes };
}
