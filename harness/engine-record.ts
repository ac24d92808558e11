import type { Fleet } from './fleet.js';

/** Record of one attempt on a model engine; see docs/interfaces.md. */
export interface RecordedAttempt {
  readonly attemptId: string;
  readonly requestId: string;
  readonly owner: { readonly vm: string; readonly incarnation: string };
  readonly team?: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly startedMs: number;
  readonly phase: string;
  readonly ended?: string;
}

/** Record of a model engine. */
export interface EngineRecord {
  readonly attempts: readonly RecordedAttempt[];
  readonly holds: readonly unknown[];
  readonly headers: readonly unknown[];
  readonly prefillTokens: number;
  readonly wastedPrefillTokens: number;
}

/** An effect that a plain service recorded. */
export interface RecordedEffect {
  readonly attemptId: string;
  readonly requestId: string;
  readonly team: string;
  readonly method: string;
  readonly path: string;
  readonly bodyHash: string;
  readonly atMs: number;
}

/**
 * Reads the records of the engines of a fleet.
 *
 * @param fleet - a running fleet
 * @returns the records by name of the server
 */
export async function readEngines(fleet: Fleet): Promise<Map<string, EngineRecord>> {
  const entries = [...fleet.servers].filter(([name]) => /^(?:prefill|decode|engine)/.test(name));
  const records = entries.map(async ([name, server]): Promise<[string, EngineRecord]> => [
    name,
    await server.readRecord<EngineRecord>(),
  ]);
  return new Map(await Promise.all(records));
}

/**
 * Reads the effects that the yard servers of a fleet recorded.
 *
 * @param fleet - a running fleet
 * @returns the effects of all servers
 */
export async function readEffects(fleet: Fleet): Promise<RecordedEffect[]> {
  const services = [...fleet.servers].filter(([name]) => name.startsWith('yard'));
  const records = await Promise.all(
    services.map(([, server]) => server.readRecord<{ effects: RecordedEffect[] }>()),
  );
  return records.flatMap(({ effects }) => effects);
}

/**
 * Counts the holds on all engines of a fleet.
 *
 * @param fleet - a running fleet
 * @returns the number of holds
 */
export async function countHolds(fleet: Fleet): Promise<number> {
  const records = await readEngines(fleet);
  return [...records.values()].reduce((sum, { holds }) => sum + holds.length, 0);
}
