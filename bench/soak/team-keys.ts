import type { Fleet } from '../../harness/fleet.js';

/** Key with which a team's callers come. */
export interface TeamKey {
  readonly keyId: string;
  readonly text: string;
}

/** The present key of each team, and those that were withdrawn but are still sent. */
export interface TeamKeys {
  readonly active: Map<string, TeamKey>;
  readonly withdrawn: TeamKey[];
}

/** Teams of the small fleets. */
export const TEAMS = ['oval-crew', 'school-grounds'] as const;

/**
 * Gives each team a first key.
 *
 * @param fleet - a running fleet
 * @returns the keys
 */
export async function giveFirstKeys(fleet: Fleet): Promise<TeamKeys> {
  const active = new Map<string, TeamKey>();
  for (const team of TEAMS) active.set(team, await fleet.giveKey(team));
  return { active, withdrawn: [] };
}
