import type { Fleet, JsonChange } from '../../harness/fleet.js';
import {
  type ChangeAnswer,
  readBaseVersion,
  readLoggedRecords,
  sendChange,
} from './guarantees-configuration-fleet.js';

/** Two conflicting edits of one subject. */
interface Race {
  readonly subject: string;
  readonly edits: (round: number) => readonly [JsonChange, JsonChange];
}

/** Result of one race. */
export interface RaceResult {
  readonly answers: readonly ChangeAnswer[];
  /** Number of records that the race added to the log. */
  readonly logged: number;
}

const team = (rate: number) => ({
  kind: 'put-team',
  team: { name: 'oval-crew', rate, burst: 9000 },
});
const preset = (name: string) => ({ kind: 'switch-preset', name });
const route = (timeoutMs: number) => ({
  kind: 'put-route',
  route: { path: '/services/yard/new', pool: 'yard', repeatable: true, timeoutMs },
});

/** Concurrent edits of two operators, by their name in the feature file. */
export const RACES: Readonly<Record<string, Race>> = {
  'the preset in force': {
    subject: 'preset-in-force',
    edits: () => [preset('peak'), preset('quiet')],
  },
  'the rate of a team': {
    subject: 'team/oval-crew',
    edits: (round) => [team(1000 + round), team(2000 + round)],
  },
  'a new route': {
    subject: 'route/services/yard/new',
    edits: (round) => [route(1000 + round), route(2000 + round)],
  },
  'draining and returning a server': {
    subject: 'server/yard-1',
    edits: () => [
      { kind: 'drain-server', name: 'yard-1' },
      { kind: 'return-server', name: 'yard-1' },
    ],
  },
};

/**
 * Sends two concurrent edits of one subject, based on the same version, as operators 2 and 3.
 *
 * @param fleet - a running fleet
 * @param race - the subject and its edits
 * @param round - round number, which makes the edits of each round differ
 * @returns the answers and the number of records that reached the log
 */
export async function runRace(fleet: Fleet, race: Race, round: number): Promise<RaceResult> {
  const base = await readBaseVersion(fleet, race.subject);
  const before = (await readLoggedRecords(fleet)).length;
  const [left, right] = race.edits(round);
  const answers = await Promise.all([
    sendChange(fleet, 2, left, base),
    sendChange(fleet, 3, right, base),
  ]);
  return { answers, logged: (await readLoggedRecords(fleet)).length - before };
}
