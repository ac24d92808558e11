import assert from 'node:assert/strict';

import fc from 'fast-check';

import { authenticateKey } from '../../src/configuration/authenticate.js';
import { subjectOf } from '../../src/configuration/change.js';
import { CopyOnWriteMap } from '../../src/configuration/copy-on-write-map.js';
import { createFold, type Fold, foldRecords } from '../../src/configuration/fold.js';
import { parseFold, serializeFold } from '../../src/configuration/fold-json.js';
import { encodeChange, encodeSnapshot } from '../../src/configuration/record.js';
import { findNewestSnapshot } from '../../src/configuration/snapshot-assembly.js';
import type { LogRecord } from '../../src/infrastructure/log-service.js';
import {
  anySteps,
  createChange,
  createRecord,
  SECRET,
  type StreamStep,
} from './configuration-records.js';

/** Builds the records of a stream and the fold after each of them. */
function buildStream(steps: readonly StreamStep[]): { records: LogRecord[]; folds: Fold[] } {
  const records: LogRecord[] = [];
  const folds: Fold[] = [];
  let fold = createFold();
  steps.forEach((step, index) => {
    const record = createRecord(index + 1, encodeStep(step, index + 1, fold));
    fold = foldRecords(fold, [record]);
    records.push(record);
    folds.push(fold);
  });
  return { records, folds };
}

function encodeStep(step: StreamStep, offset: number, fold: Fold): string {
  if (step.kind === 'raw') return step.data;
  const current = fold.state.subjects.get(subjectOf(step.change)) ?? 0;
  const base = step.base === 'current' ? current : step.base;
  return encodeChange(`change-${offset}`, base, 'test', step.change);
}

function check(predicate: (steps: StreamStep[], cut: number) => void): void {
  fc.assert(
    fc.property(anySteps, fc.nat({ max: 40 }), (steps, cut) => predicate(steps, cut)),
    { numRuns: 300 },
  );
}

function foldFromSnapshot(records: readonly LogRecord[], fold: Fold): Fold {
  const encoded = encodeSnapshot(fold.state.version, serializeFold(fold));
  const next = records.length + 1;
  const stored = encoded.map((data, index) => createRecord(next + index, data));
  const rest = records.filter((record) => record.offset > fold.state.version);
  const found = findNewestSnapshot([...rest, ...stored]);
  assert.ok(found);
  return foldRecords(found, rest);
}

/** Edits of up to 201 keys: enough for several buckets, and keys are set and removed repeatedly. */
const anyEdits = fc.array(
  fc.record({
    key: fc.nat({ max: 200 }).map((number) => `team-${number}`),
    edit: fc.constantFrom('set', 'set', 'delete', 'copy'),
  }),
  { maxLength: 600 },
);

/** Property checks by their text in the feature file. */
export const FOLD_PROPERTIES: Readonly<Record<string, () => void>> = {
  'two folds of the same records agree': () =>
    check((steps, cut) => {
      const { records, folds } = buildStream(steps);
      const inTwoBatches = foldRecords(
        foldRecords(createFold(), records.slice(0, cut)),
        records.slice(Math.max(0, cut - 3)),
      );
      assert.deepEqual(foldRecords(createFold(), records), folds.at(-1) ?? createFold());
      assert.deepEqual(inTwoBatches, folds.at(-1) ?? createFold());
    }),
  'a fold from a snapshot plus the rest equals the full fold': () =>
    check((steps, cut) => {
      const { records, folds } = buildStream(steps);
      const upTo = folds[Math.min(cut, folds.length - 1)] ?? createFold();
      assert.deepEqual(foldFromSnapshot(records, upTo), folds.at(-1) ?? createFold());
      const read = parseFold(serializeFold(upTo));
      assert.deepEqual(read, { kind: 'ok', value: upTo });
    }),
  'exactly one preset is in force after every record': () =>
    check((steps) => {
      buildStream(steps).folds.forEach(({ state }) => {
        const inForce = [...state.presets.keys()].filter((name) => name === state.presetInForce);
        assert.equal(inForce.length, 1);
      });
    }),
  'the version never goes back': () =>
    check((steps, cut) => {
      const { records, folds } = buildStream(steps);
      folds.forEach((fold, index) => assert.equal(fold.state.version, index + 1));
      const last = folds.at(-1) ?? createFold();
      assert.equal(foldRecords(last, records.slice(0, cut)), last);
    }),
  'a withdrawn key never authenticates again': () =>
    check((steps) => {
      const seen = new Set<string>();
      buildStream(steps).folds.forEach(({ state }) => {
        state.withdrawnKeyIds.forEach((id) => seen.add(id));
        seen.forEach((id) => {
          assert.ok(!state.keys.has(id));
          const answer = authenticateKey(state, state.withdrawnKeyIds, `Bearer ck_${id}_${SECRET}`);
          assert.equal(answer.kind === 'failed' && answer.failure.code, 'key_withdrawn');
        });
      });
    }),
  'of two racing edits on one base exactly one is accepted': () =>
    check((steps) => {
      const { folds } = buildStream(steps);
      const fold = folds.at(-1) ?? createFold();
      const base = fold.state.subjects.get('team/oval') ?? 0;
      const next = fold.state.version + 1;
      const edits = ['left', 'right'].map((id, index) =>
        createRecord(next + index, encodeChange(id, base, 'test', createChange('team', 'oval'))),
      );
      const { verdicts } = foldRecords(fold, edits);
      const both = ['left', 'right'].map((id) => verdicts.get(id)?.verdict);
      assert.deepEqual(both, ['accepted', 'stale']);
    }),
  "copies of a map that share content do not see each other's modifications": () =>
    fc.assert(
      fc.property(anyEdits, (edits) => {
        const pairs = [{ map: CopyOnWriteMap.create<number>(), model: new Map<string, number>() }];
        edits.forEach(({ key, edit }, index) => {
          const { map, model } = pairs[index % pairs.length]!;
          if (edit === 'copy') pairs.push({ map: map.copy(), model: new Map(model) });
          else if (edit === 'delete') assert.equal(map.delete(key), model.delete(key));
          else {
            map.set(key, index);
            model.set(key, index);
          }
        });
        pairs.forEach(({ map, model }) => {
          assert.deepEqual(new Map(map), model);
          assert.equal(map.size, model.size);
          model.forEach((value, key) => assert.equal(map.get(key), value));
        });
      }),
      { numRuns: 100 },
    ),
};
