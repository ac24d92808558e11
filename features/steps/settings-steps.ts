import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { loadChanges } from '../../src/configuration/load-changes.js';
import type { Outcome } from '../../src/kernel/outcome.js';
import type { FileFailure } from '../../src/settings/file-failure.js';
import { loadSettings } from '../../src/settings/load.js';
import type { Settings } from '../../src/settings/schema.js';
import { createSettingsInput } from '../support/configuration-fixtures.js';

type Fields = Record<string, unknown>;

interface SettingsWorld {
  settingsText: string | undefined;
  settingsFolder: string | undefined;
  settings: Outcome<Settings, FileFailure>;
  changeAnswer: string;
}

function setField(text: string, path: string, value: unknown): string {
  const input = JSON.parse(text) as Fields;
  const names = path.split('.');
  const last = names.pop() ?? '';
  const parent = names.reduce<Fields>((fields, name) => {
    const inner = (fields[name] ?? {}) as Fields;
    Object.assign(fields, { [name]: inner });
    return inner;
  }, input);
  if (value === undefined) delete parent[last];
  else parent[last] = value;
  return JSON.stringify(input);
}

function createText(): string {
  return JSON.stringify(createSettingsInput());
}

function listFaults(outcome: Outcome<unknown, FileFailure>): string[] {
  assert.equal(outcome.kind, 'failed');
  return outcome.failure.faults.map(
    ({ field, found, allowed }) => `${field}: found ${found}; allowed is ${allowed}`,
  );
}

async function writeText(world: SettingsWorld): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'cuminspar-settings-'));
  Object.assign(world, { settingsFolder: folder });
  const file = join(folder, 'settings.json');
  if (world.settingsText !== undefined) await writeFile(file, world.settingsText);
  return file;
}

After(async function after(this: SettingsWorld) {
  if (this.settingsFolder) await rm(this.settingsFolder, { recursive: true });
});

Given('a settings file as it should be', function given(this: SettingsWorld) {
  this.settingsText = createText();
});

Given(
  /^a settings file with "([^"]*)" set to (.*)$/,
  function given(this: SettingsWorld, field: string, value: string) {
    this.settingsText = setField(createText(), field, JSON.parse(value));
  },
);

Given(
  /^the settings file also has "([^"]*)" set to (.*)$/,
  function given(this: SettingsWorld, field: string, value: string) {
    this.settingsText = setField(this.settingsText ?? '', field, JSON.parse(value));
  },
);

Given('a settings file without {string}', function given(this: SettingsWorld, field: string) {
  this.settingsText = setField(createText(), field, undefined);
});

Given(/^a settings file that is (missing|not JSON)$/, function given(this: SettingsWorld, state) {
  this.settingsText = state === 'missing' ? undefined : '{"vm": ';
});

Given(/^a change file with (.*)$/, function given(this: SettingsWorld, text: string) {
  this.settingsText = text;
});

When('the settings are loaded', async function when(this: SettingsWorld) {
  this.settings = await loadSettings(await writeText(this));
});

When('the settings of the change file are loaded', async function when(this: SettingsWorld) {
  const changes = await loadChanges(await writeText(this));
  this.changeAnswer =
    changes.kind === 'ok'
      ? changes.value.map((change) => change.kind).join(', ')
      : listFaults(changes).join('; ');
});

Then(/^the change file answers "(.*)"$/, function then(this: SettingsWorld, answer: string) {
  assert.equal(this.changeAnswer, answer);
});

Then(
  'the settings have {string} at {int}',
  function then(this: SettingsWorld, path: string, value: number) {
    assert.equal(this.settings.kind, 'ok');
    const found = path
      .split('.')
      .reduce<unknown>((fields, name) => (fields as Fields)[name], this.settings.value);
    assert.equal(found, value);
  },
);

Then(/^the settings faults are "(.*)"$/, function then(this: SettingsWorld, faults: string) {
  assert.deepEqual(listFaults(this.settings), [faults]);
});

Then(
  'the settings faults name the fields {string}',
  function then(this: SettingsWorld, fields: string) {
    assert.equal(this.settings.kind, 'failed');
    const { failure } = this.settings;
    assert.equal(failure.faults.map((fault) => fault.field).join(', '), fields);
    failure.message.split('\n').forEach((line) => assert.ok(line.startsWith(failure.file)));
  },
);
