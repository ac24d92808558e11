import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { loadChanges } from '../../src/configuration/load-changes.js';
import type { Outcome } from '../../src/kernel/outcome.js';
import type { FileFailure } from '../../src/settings/file-failure.js';
import { loadSettings } from '../../src/settings/load.js';
import type { Settings } from '../../src/settings/schema.js';
import { createSettingsInput } from '../support/configuration-fixtures.js';

type Fields = Record<string, unknown>;

interface SettingsWorld {
  fileText: string | undefined;
  temporaryFolder: string | undefined;
  settings: Outcome<Settings, FileFailure>;
  changeFileResult: string;
}

const scenario = world as unknown as SettingsWorld;

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

function createSettingsText(): string {
  return JSON.stringify(createSettingsInput());
}

function listFaults(outcome: Outcome<unknown, FileFailure>): string[] {
  assert.equal(outcome.kind, 'failed');
  return outcome.failure.faults.map(
    ({ field, found, allowed }) => `${field}: found ${found}; allowed is ${allowed}`,
  );
}

async function writeTemporaryFile(): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'cuminspar-settings-'));
  scenario.temporaryFolder = folder;
  const file = join(folder, 'settings.json');
  if (scenario.fileText !== undefined) await writeFile(file, scenario.fileText);
  return file;
}

After(async () => {
  if (scenario.temporaryFolder) await rm(scenario.temporaryFolder, { recursive: true });
});

Given('a valid settings file', () => {
  scenario.fileText = createSettingsText();
});

Given(/^a settings file with "([^"]*)" set to (.*)$/, (field: string, value: string) => {
  scenario.fileText = setField(createSettingsText(), field, JSON.parse(value));
});

Given(/^the settings file also has "([^"]*)" set to (.*)$/, (field: string, value: string) => {
  scenario.fileText = setField(scenario.fileText ?? '', field, JSON.parse(value));
});

Given('a settings file without {string}', (field: string) => {
  scenario.fileText = setField(createSettingsText(), field, undefined);
});

Given(/^a settings file that is (missing|not JSON)$/, (state) => {
  scenario.fileText = state === 'missing' ? undefined : '{"vm": ';
});

Given(/^a change file with (.*)$/, (text: string) => {
  scenario.fileText = text;
});

When('the settings are loaded', async () => {
  scenario.settings = await loadSettings(await writeTemporaryFile());
});

When('the change file is loaded', async () => {
  const changes = await loadChanges(await writeTemporaryFile());
  scenario.changeFileResult =
    changes.kind === 'ok'
      ? changes.value.map((change) => change.kind).join(', ')
      : listFaults(changes).join('; ');
});

Then(/^loading the change file gives "(.*)"$/, (result: string) => {
  assert.equal(scenario.changeFileResult, result);
});

Then('the settings have {string} at {int}', (path: string, value: number) => {
  assert.equal(scenario.settings.kind, 'ok');
  const found = path
    .split('.')
    .reduce<unknown>((fields, name) => (fields as Fields)[name], scenario.settings.value);
  assert.equal(found, value);
});

Then(/^the settings faults are "(.*)"$/, (faults: string) => {
  assert.deepEqual(listFaults(scenario.settings), [faults]);
});

Then('the settings faults name the fields {string}', (fields: string) => {
  assert.equal(scenario.settings.kind, 'failed');
  const { failure } = scenario.settings;
  assert.equal(failure.faults.map((fault) => fault.field).join(', '), fields);
  failure.message.split('\n').forEach((line) => assert.ok(line.startsWith(failure.file)));
});
