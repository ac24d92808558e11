import { readEngines } from '../../harness/engine-record.js';
import type { Fleet } from '../../harness/fleet.js';
import type { TokenRun } from './guarantees-bound.js';

/**
 * Reads what the engines ran for a team. The records that two engines have of one attempt are
 * joined; each re-run has an attempt id of its own and counts.
 *
 * @param fleet - a running fleet
 * @param team - name of the team
 * @returns one entry for each attempt that ran a token
 */
export async function readRuns(fleet: Fleet, team: string): Promise<TokenRun[]> {
  const joined = new Map<string, { startedMs: number; prompt: number; output: number }>();
  const engines = await readEngines(fleet);
  const attempts = [...engines.values()].flatMap((engine) => engine.attempts);
  attempts
    .filter((attempt) => attempt.team === team)
    .forEach(({ attemptId, startedMs, promptTokens, completionTokens }) => {
      const known = joined.get(attemptId) ?? { startedMs: Infinity, prompt: 0, output: 0 };
      joined.set(attemptId, {
        startedMs: Math.min(known.startedMs, startedMs),
        prompt: Math.max(known.prompt, promptTokens),
        output: Math.max(known.output, completionTokens),
      });
    });
  return [...joined.values()]
    .map(({ startedMs, prompt, output }) => ({ startedMs, tokens: prompt + output }))
    .filter(({ tokens }) => tokens > 0);
}

/**
 * Counts the tokens that the engines ran for a team.
 *
 * @param fleet - a running fleet
 * @param team - name of the team
 * @returns prompt tokens and generated tokens
 */
export async function countTokensRun(fleet: Fleet, team: string): Promise<number> {
  const runs = await readRuns(fleet, team);
  return runs.reduce((sum, { tokens }) => sum + tokens, 0);
}
