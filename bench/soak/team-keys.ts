import type { Fleet } from '../../harness/fleet.js';

/** API key of a team's callers. */
export interface TeamKey {
  readonly keyId: string;
  readonly text: string;
}

/** The active key of each team, and the withdrawn keys that some callers still send. */
export interface TeamKeys {
  readonly active: Map<string, TeamKey>;
  readonly withdrawn: TeamKey[];
}

/** Teams of the small fleet plan. */
export const TEAMS = ['oval-crew', 'school-grounds'] as const;

/**
 * Issues the first key of each team.
 *
 * @param fleet - running fleet
 * @returns the active keys; none is withdrawn
 */
export async function giveFirstKeys(fleet: Fleet): Promise<TeamKeys> {
  const active = new Map<string, TeamKey>();
  for (const team of TEAMS) active.set(team, await fleet.giveKey(team));
  return { active, withdrawn: [] };
}
