import type { Change } from '../src/configuration/change.js';
import { parseFold, serializeFold } from '../src/configuration/fold-json.js';
import { createFold, foldRecords, type Fold } from '../src/configuration/fold.js';
import { hashSecret } from '../src/configuration/keys.js';
import { encodeChange, encodeSnapshot } from '../src/configuration/record.js';
import type { LogRecord } from '../src/infrastructure/log-service.js';
import { collectGarbage } from './collect-garbage.js';
import { fitSlope } from './slope.js';

const TEAM_COUNTS = [1000, 10_000, 37_000];
const SINGLE_CHANGES = 50;

interface Row {
  readonly teams: number;
  readonly foldAllMs: number;
  readonly changeMs: number;
  readonly stateMb: number;
  readonly snapshotMb: number;
  readonly writeMs: number;
  readonly readMs: number;
}

const rows = TEAM_COUNTS.map(measure);
console.log('Configuration by number of teams, one key each');
console.table(rows);
const slope = (field: keyof Row) =>
  fitSlope(rows.map((row): [number, number] => [row.teams / 1000, row[field]]));
console.log('slopes by 1,000 teams', {
  foldAllMs: slope('foldAllMs'),
  changeMs: slope('changeMs'),
  stateMb: slope('stateMb'),
  snapshotMb: slope('snapshotMb'),
});

function measure(teams: number): Row {
  const records = createRecords(teams);
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const [fold, foldAllMs] = measureTime(() => foldRecords(createFold(), records));
  collectGarbage();
  const stateMb = (process.memoryUsage().heapUsed - heapBefore) / 1_000_000;
  const [, changesMs] = measureTime(() => foldOneByOne(fold, teams));
  const [json, writeMs] = measureTime(() => serializeFold(fold));
  const [, readMs] = measureTime(() => parseFold(json));
  const pieces = encodeSnapshot(fold.state.version, json);
  const snapshotMb = pieces.reduce((sum, piece) => sum + Buffer.byteLength(piece), 0) / 1_000_000;
  return {
    teams,
    foldAllMs,
    changeMs: changesMs / SINGLE_CHANGES,
    stateMb,
    snapshotMb,
    writeMs,
    readMs,
  };
}

function createRecords(teams: number): LogRecord[] {
  const changes = Array.from({ length: teams }, (_, index): Change[] => {
    const name = `team-${index}`;
    const keyId = `k${String(index).padStart(7, '0')}`;
    return [
      { kind: 'put-team', team: { name, rate: 1000, burst: 4000, weight: 1 } },
      { kind: 'give-key', key: { keyId, team: name, secretHash: hashSecret(keyId) } },
    ];
  });
  return changes.flat().map((change, index) => createRecord(change, index + 1, 0));
}

/** Applies rate changes one record at a time, as a running daemon reads them from the log. */
function foldOneByOne(fold: Fold, teams: number): Fold {
  let current = fold;
  for (let index = 0; index < SINGLE_CHANGES; index += 1) {
    const name = `team-${(index * 97) % teams}`;
    const base = current.state.subjects.get(`team/${name}`) ?? 0;
    const team = { name, rate: 2000, burst: 8000, weight: 1 };
    const record = createRecord({ kind: 'put-team', team }, current.state.version + 1, base);
    current = foldRecords(current, [record]);
  }
  return current;
}

function createRecord(change: Change, offset: number, base: number): LogRecord {
  const data = encodeChange(`change-${offset}`, base, 'bench', change);
  return { offset, timestampMs: 0, data };
}

function measureTime<Value>(work: () => Value): [Value, number] {
  const startMs = performance.now();
  const value = work();
  return [value, performance.now() - startMs];
}
