import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { createPlatformConfiguration } from '../../harness/platform-fixtures.js';
import { LogStore } from '../../platform/log-store.js';
import type { StorePosition } from '../../src/domain/store-position.js';
import { JsonLogs } from '../../src/observability/json-logs.js';
import { computeFence } from '../../src/relay/command-tenure.js';
import { PlatformLog, type LogCopy } from '../../stand-ins/platform/platform-log.js';

interface RollbackWorld {
  rollbackLog: PlatformLog;
  /** Copies of the log before each record, and before the claims. */
  rollbackCopies: LogCopy[];
  rollbackClients: LogStore[];
  rollbackPosition: StorePosition;
  rollbackFences: number[];
}

const scenario = world as unknown as RollbackWorld;

const ENTRY = { service: 'yard', address: '127.0.0.1:1', zone: 'sando', slots: 4, state: 'ready' };

function writeRecords(count: number): void {
  for (let index = 0; index < count; index += 1) {
    scenario.rollbackCopies.push(scenario.rollbackLog.takeCopy());
    scenario.rollbackLog.put('keyed.servers', `s-${scenario.rollbackCopies.length}`, ENTRY);
  }
}

function createClient(name: string): LogStore {
  const [host, port] = scenario.rollbackLog.address.split(':');
  const logs = JsonLogs.create('error', 'test');
  return LogStore.create({ host: host!, port: Number(port) }, { name, host: host! }, logs);
}

After(async () => {
  await Promise.all((scenario.rollbackClients ?? []).map((client) => client.stop()));
  scenario.rollbackLog?.close();
  Object.assign(scenario, { rollbackClients: [], rollbackLog: undefined });
});

Given('a platform log with {int} records of servers', async (count: number) => {
  scenario.rollbackLog = await PlatformLog.create();
  scenario.rollbackCopies = [];
  scenario.rollbackFences = [];
  writeRecords(count);
  scenario.rollbackClients = ['vm-1', 'vm-2'].map(createClient);
});

When('a client reads the platform log to its end', async () => {
  const outcome = await scenario.rollbackClients[0]!.allServers();
  assert.equal(outcome.kind, 'ok');
  if (outcome.kind === 'ok') scenario.rollbackPosition = outcome.value;
});

When('the platform log goes back by {int} records', (count: number) => {
  scenario.rollbackLog.rollBack(scenario.rollbackCopies.at(-count)!);
});

When('the platform log goes back to before the claims', () => {
  scenario.rollbackLog.rollBack(scenario.rollbackCopies.at(-1)!);
});

When('{int} records of servers are written to the platform log', writeRecords);

When('two clients claim the command in turn {int} times each', async (times: number) => {
  for (let index = 0; index < 2 * times; index += 1) {
    const client = scenario.rollbackClients[index % 2]!;
    const vm = `vm-${index % 2}`;
    const known = await client.claimCommand(vm);
    // The other client has claimed since, which the refusal tells.
    const outcome = known.kind === 'failed' ? await client.claimCommand(vm) : known;
    if (known.kind === 'failed') assert.equal(known.failure.reason, 'conflict');
    assert.ok(index === 0 || known.kind === 'failed', `claim ${index}`);
    assert.equal(outcome.kind, 'ok', `claim ${index}`);
    if (outcome.kind === 'ok') scenario.rollbackFences.push(computeFence(outcome.value));
  }
});

Then('the next read of the platform log fails as {string}', async (reason: string) => {
  const outcome = await scenario.rollbackClients[0]!.serverChanges(scenario.rollbackPosition);
  assert.equal(outcome.kind === 'failed' && outcome.failure.reason, reason);
});

Then('the next read of the platform log has {int} change', async (count: number) => {
  const outcome = await scenario.rollbackClients[0]!.serverChanges(scenario.rollbackPosition);
  assert.equal(outcome.kind === 'ok' && outcome.value.changes.length, count);
});

Then('a new read of the platform log has the servers of {int} records', async (count: number) => {
  const outcome = await scenario.rollbackClients[0]!.allServers();
  assert.equal(outcome.kind === 'ok' && outcome.value.servers.length, count);
});

Then('each claim has a higher fencing number than the one before it', () => {
  const { rollbackFences: fences } = scenario;
  assert.ok(
    fences.every((fence, index) => index === 0 || fence > fences[index - 1]!),
    fences.join(' '),
  );
});

When('the operator evacuates the zone {string} in the platform log', (zone: string) => {
  scenario.rollbackLog.put('keyed.op', `evacuate/${zone}`, {});
});

When('the operator takes back the evacuation of {string} in the platform log', (zone: string) => {
  scenario.rollbackLog.put('keyed.op', `evacuate/${zone}`, undefined);
});

Then('a client of the platform log knows that {string} is evacuated', async (zone: string) => {
  const outcome = await scenario.rollbackClients[0]!.newestConfiguration();
  assert.ok(outcome.kind === 'ok');
  assert.deepEqual(outcome.value.zones, [{ zone, evacuated: true, era: 0, offset: 0 }]);
  scenario.rollbackPosition = outcome.value.position;
});

Then('the client of the platform log reads that {string} is in use', async (zone: string) => {
  const outcome = await scenario.rollbackClients[0]!.nextConfiguration(
    scenario.rollbackPosition,
    1000,
  );
  assert.ok(outcome.kind === 'ok');
  assert.deepEqual(outcome.value.zones, [{ zone, evacuated: false, era: 0, offset: 1 }]);
});

Then(
  'a read of the platform log that waits is repeated within {int} ms when another call gets no answer',
  async (ms: number) => {
    const { rollbackLog } = scenario;
    const client = scenario.rollbackClients[0]!;
    const waiting = client.nextConfiguration({ era: 0, offset: 0 }, 5000);
    await setTimeout(100);
    rollbackLog.setLostShare(1);
    const lost = await client.serverChanges(scenario.rollbackPosition);
    const failedMs = performance.now();
    rollbackLog.setLostShare(0);
    assert.equal(lost.kind === 'failed' && lost.failure.reason, 'unavailable');
    const outcome = await waiting;
    assert.equal(outcome.kind === 'failed' && outcome.failure.reason, 'interrupted');
    const tookMs = performance.now() - failedMs;
    assert.ok(tookMs <= ms, `${tookMs} ms`);
  },
);

Then(
  'a call to the platform log is completed {int} ms after another one has got no answer',
  { timeout: 15_000 },
  async (ms: number) => {
    const { rollbackLog } = scenario;
    const client = scenario.rollbackClients[0]!;
    rollbackLog.setLostShare(1);
    await client.serverChanges(scenario.rollbackPosition);
    rollbackLog.setLostShare(0);
    const waiting = client.nextConfiguration({ era: 0, offset: 0 }, 5000);
    await setTimeout(ms);
    rollbackLog.put('keyed.op', 'config', createPlatformConfiguration());
    const outcome = await waiting;
    assert.equal(outcome.kind === 'ok' && outcome.value.configuration?.version, 3);
  },
);
