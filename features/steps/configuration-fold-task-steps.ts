import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { createFold, foldRecords } from '../../src/configuration/fold.js';
import { FoldTask } from '../../src/configuration/fold-task.js';
import { WithdrawnKeys } from '../../src/configuration/withdrawn-keys.js';
import { createRecords } from '../support/configuration-records.js';

interface FoldTaskWorld {
  foldTask?: FoldTask;
}

const scenario = world as unknown as FoldTaskWorld;

const RECORDS = createRecords('team oval 0; team crew 0; remove-team oval 1');

function getTask(): FoldTask {
  assert.ok(scenario.foldTask);
  return scenario.foldTask;
}

After(() => {
  scenario.foldTask?.close();
});

Given('a fold task that has taken three records', async () => {
  scenario.foldTask = FoldTask.create(WithdrawnKeys.create());
  scenario.foldTask.run();
  assert.equal(await scenario.foldTask.applyRecords(RECORDS, true), RECORDS.length);
});

When('the fold task is given older records', async () => {
  await getTask().applyRecords(RECORDS.slice(0, 2), true);
});

When('the fold task is given an older snapshot', async () => {
  await getTask().applySnapshot(foldRecords(createFold(), RECORDS.slice(0, 2)), true);
});

When('the fold task is given records after a gap', async () => {
  const [record] = RECORDS;
  assert.ok(record);
  await getTask().applyRecords([{ ...record, offset: RECORDS.length + 2 }], true);
});

Then('the fold task is unchanged', () => {
  const { version, state } = getTask();
  assert.equal(version, RECORDS.length);
  assert.deepEqual([...(state?.teams.keys() ?? [])], ['crew']);
});
