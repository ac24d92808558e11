import assert from 'node:assert/strict';

import { Then, world } from '@cucumber/cucumber';

import { type Fold, foldRecords } from '../../src/configuration/fold.js';
import { encodeChange } from '../../src/configuration/record.js';
import { createChange, createRecord } from '../support/configuration-records.js';

const CHANGES = 15;

interface FoldWorld {
  fold: Fold;
}

const scenario = world as unknown as FoldWorld;

/** Folds one more change to a team and returns the time that it takes, in milliseconds. */
function measureChange(index: number): number {
  const team = `team-${index * 97}`;
  const { subjects, version } = scenario.fold.state;
  const base = subjects.get(`team/${team}`) ?? 0;
  const data = encodeChange(`change-${index}`, base, 'test', createChange('team', team));
  const startMs = performance.now();
  Object.assign(scenario, { fold: foldRecords(scenario.fold, [createRecord(version + 1, data)]) });
  const endMs = performance.now();
  assert.equal(scenario.fold.verdicts.get(`change-${index}`)?.verdict, 'accepted');
  return endMs - startMs;
}

// The limit is the processor time that a node may spend on control per second; docs/CAPACITY.md.
Then('a change of one team takes at most {int} ms of the configuration fold', (maxMs: number) => {
  const durationsMs = Array.from({ length: CHANGES }, (_, index) => measureChange(index));
  const medianMs = durationsMs.toSorted((a, b) => a - b)[Math.trunc(CHANGES / 2)] ?? Infinity;
  assert.ok(medianMs <= maxMs, `${medianMs} ms`);
});
