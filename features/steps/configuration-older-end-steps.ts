import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { createFold, foldRecords } from '../../src/configuration/fold.js';
import { FoldTask } from '../../src/configuration/fold-task.js';
import { WithdrawnKeys } from '../../src/configuration/withdrawn-keys.js';
import { createRecords } from '../support/configuration-records.js';

interface OlderEndWorld {
  foldTask?: FoldTask;
}

const RECORDS = createRecords('team oval 0; team crew 0; remove-team oval 1');

function taskOf(world: OlderEndWorld): FoldTask {
  assert.ok(world.foldTask);
  return world.foldTask;
}

After(function stop(this: OlderEndWorld) {
  this.foldTask?.close();
});

Given('a fold task that has taken three records', async function given(this: OlderEndWorld) {
  this.foldTask = FoldTask.create(WithdrawnKeys.create());
  this.foldTask.run();
  assert.equal(await this.foldTask.take(RECORDS, true), RECORDS.length);
});

When('the fold task is given older records', async function when(this: OlderEndWorld) {
  await taskOf(this).take(RECORDS.slice(0, 2), true);
});

When('the fold task is given an older snapshot', async function when(this: OlderEndWorld) {
  await taskOf(this).adopt(foldRecords(createFold(), RECORDS.slice(0, 2)), true);
});

When('the fold task is given records after a gap', async function when(this: OlderEndWorld) {
  const [record] = RECORDS;
  assert.ok(record);
  await taskOf(this).take([{ ...record, offset: RECORDS.length + 2 }], true);
});

Then('the fold task is as it was', function then(this: OlderEndWorld) {
  const { version, state } = taskOf(this);
  assert.equal(version, RECORDS.length);
  assert.deepEqual([...(state?.teams.keys() ?? [])], ['crew']);
});
