import type { Fleet } from './fleet.js';

/** What a model engine recorded of one attempt; see docs/interfaces.md. */
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

/** What a model engine recorded. */
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
 * Reads the records of the fleet's engines.
 *
 * @param fleet - a running fleet
 * @returns record by server
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
 * Reads the effects at the fleet's yard servers.
 *
 * @param fleet - a running fleet
 * @returns all effects
 */
export async function readEffects(fleet: Fleet): Promise<RecordedEffect[]> {
  const services = [...fleet.servers].filter(([name]) => name.startsWith('yard'));
  const records = await Promise.all(
    services.map(([, server]) => server.readRecord<{ effects: RecordedEffect[] }>()),
  );
  return records.flatMap(({ effects }) => effects);
}

/**
 * Counts what the engines hold.
 *
 * @param fleet - a running fleet
 * @returns number of holds on all engines
 */
export async function countHolds(fleet: Fleet): Promise<number> {
  const records = await readEngines(fleet);
  return [...records.values()].reduce((sum, { holds }) => sum + holds.length, 0);
}
