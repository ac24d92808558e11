import {
  readEngines,
  type EngineRecord,
  type RecordedAttempt,
} from '../../harness/engine-record.js';
import type { Fleet } from '../../harness/fleet.js';
import { waitFor } from '../../harness/wait-for.js';

/** An attempt and the engine that recorded it. */
export interface ServerAttempt extends RecordedAttempt {
  readonly server: string;
}

/**
 * Lists the attempts of one team that the engines recorded.
 *
 * @param fleet - a running fleet
 * @param team - the team
 * @returns the attempts on all engines
 */
export async function listAttempts(fleet: Fleet, team: string): Promise<ServerAttempt[]> {
  const records = await readEngines(fleet);
  return [...records].flatMap(([server, { attempts }]) =>
    attempts.filter((attempt) => attempt.team === team).map((attempt) => ({ ...attempt, server })),
  );
}

/**
 * Counts the memory holds of one team on the engines.
 *
 * @param fleet - a running fleet
 * @param team - the team
 * @returns number of holds on all engines
 */
export async function countTeamHolds(fleet: Fleet, team: string): Promise<number> {
  const records = await readEngines(fleet);
  return [...records.values()].reduce((sum, record) => sum + countHoldsOfTeam(record, team), 0);
}

/**
 * Waits until the engines have released all memory holds of one team.
 *
 * @param fleet - a running fleet
 * @param team - the team
 * @param timeoutMs - time limit, in milliseconds
 * @returns elapsed time, in milliseconds
 */
export async function waitForRelease(
  fleet: Fleet,
  team: string,
  timeoutMs: number,
): Promise<number> {
  const startMs = performance.now();
  const check = async () => (await countTeamHolds(fleet, team)) === 0;
  await waitFor(`the engines to release all holds of ${team}`, check, { timeoutMs });
  return Math.round(performance.now() - startMs);
}

function countHoldsOfTeam({ attempts, holds }: EngineRecord, team: string): number {
  const ids = new Set(attempts.filter((each) => each.team === team).map((each) => each.attemptId));
  return (holds as { attemptId: string }[]).filter(({ attemptId }) => ids.has(attemptId)).length;
}
