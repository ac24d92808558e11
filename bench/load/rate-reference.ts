import type { Arrival, LoadTeam } from './workload.js';

/**
 * Finds the requests that are within their team's rate, using one exact token bucket for each team.
 *
 * @param teams - teams with their rates and bursts
 * @param arrivals - requests ordered by arrival time
 * @returns ids of the admitted requests
 */
export function findWithinRate(
  teams: readonly LoadTeam[],
  arrivals: readonly Arrival[],
): ReadonlySet<number> {
  const buckets = new Map(teams.map((team) => [team.name, { team, level: team.burst, atMs: 0 }]));
  const withinRate = new Set<number>();
  arrivals.forEach(({ id, team, atMs, promptTokens, outputTokens }) => {
    const bucket = buckets.get(team);
    if (!bucket) return;
    const gained = ((atMs - bucket.atMs) * bucket.team.rate) / 1000;
    const level = Math.min(bucket.team.burst, bucket.level + gained);
    const fits = promptTokens + outputTokens <= level;
    if (fits) withinRate.add(id);
    Object.assign(bucket, { atMs, level: fits ? level - promptTokens - outputTokens : level });
  });
  return withinRate;
}
