import { readEngines } from '../../harness/engine-record.js';
import type { Fleet } from '../../harness/fleet.js';
import { listAttemptTokens, type AttemptTokens } from '../../harness/token-runs.js';

/**
 * Reads the attempts that ran tokens for a team.
 *
 * @param fleet - a running fleet
 * @param team - name of the team
 * @returns one entry per attempt that ran at least one token
 */
export async function readTokenRuns(fleet: Fleet, team: string): Promise<AttemptTokens[]> {
  const engines = await readEngines(fleet);
  return listAttemptTokens(
    [...engines.values()].flatMap(({ attempts }) => attempts),
    team,
  );
}

/**
 * Counts the tokens that the engines ran for a team.
 *
 * @param fleet - a running fleet
 * @param team - name of the team
 * @returns sum of prompt tokens and generated tokens
 */
export async function countTokensRun(fleet: Fleet, team: string): Promise<number> {
  const runs = await readTokenRuns(fleet, team);
  return runs.reduce((sum, { tokens }) => sum + tokens, 0);
}
