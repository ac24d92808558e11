import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { authenticateKey } from '../../src/configuration/authenticate.js';
import type { ChangeVerdict } from '../../src/configuration/configuration.js';
import { createFold, type Fold, foldRecords } from '../../src/configuration/fold.js';
import { serializeFold } from '../../src/configuration/fold-json.js';
import { encodeChange, encodeSnapshot } from '../../src/configuration/record.js';
import { findNewestSnapshot } from '../../src/configuration/snapshot-assembly.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import type { LogRecord } from '../../src/infrastructure/log-service.js';
import { waitFor } from '../../harness/wait-for.js';
import { ConfigurationFleet, type ConfigurationNode } from '../support/configuration-fleet.js';
import { FOLD_PROPERTIES } from '../support/configuration-properties.js';
import {
  createChange,
  createRecord,
  createRecords,
  SECRET,
} from '../support/configuration-records.js';

interface ConfigurationWorld {
  fold: Fold;
  fleet: ConfigurationFleet | undefined;
  verdicts: ChangeVerdict[];
}

const scenario = world as unknown as ConfigurationWorld;

const clock = SystemClock.create();

function getFleet(): ConfigurationFleet {
  assert.ok(scenario.fleet);
  return scenario.fleet;
}

function authenticateAt(node: ConfigurationNode, credential: string | undefined): string {
  const answer = node.configuration.authenticate(credential);
  return answer.kind === 'ok' ? answer.value.team : answer.failure.code;
}

async function startFleet(names: string, everyMs: number) {
  const fleet = ConfigurationFleet.create();
  Object.assign(scenario, { fleet, verdicts: [] });
  for (const vm of names.split(', ').filter(Boolean)) {
    const node = await fleet.add(vm, everyMs);
    await waitFor('the first read', () => node.configuration.current() !== undefined);
  }
}

async function putTeam(team: string, vm: string, base?: number) {
  const { configuration } = getFleet().find(vm);
  scenario.verdicts.push(await configuration.change(createChange('team', team), base, 'test'));
}

After(async () => {
  await scenario.fleet?.stop();
});

Given(/^a configuration fold of the records "(.*)"$/, (text: string) => {
  scenario.fold = foldRecords(createFold(), createRecords(text));
});

Then(
  'the last configuration verdict is {string} because {string}',
  (verdict: string, reason: string) => {
    const last = [...scenario.fold.verdicts.values()].at(-1);
    assert.equal(last?.verdict, verdict);
    assert.ok(last.reason.startsWith(reason), last.reason);
  },
);

Then(
  'the configuration fold is at version {int} with the teams {string}',
  (version: number, teams: string) => {
    assert.equal(scenario.fold.state.version, version);
    assert.equal([...scenario.fold.state.teams.keys()].join(', '), teams);
  },
);

Then(
  'the configuration verdict of change {string} is {string}',
  (changeId: string, verdict: string) => {
    assert.equal(scenario.fold.verdicts.get(changeId)?.verdict, verdict);
  },
);

Then('the configuration preset {string} is in force', (name: string) => {
  assert.equal(scenario.fold.state.presetInForce, name);
  assert.ok(scenario.fold.state.presets.has(name));
});

Then(
  'the configuration fold refuses the key {string} with {string}',
  (keyId: string, code: string) => {
    const { state } = scenario.fold;
    const answer = authenticateKey(state, state.withdrawnKeyIds, `Bearer ck_${keyId}_${SECRET}`);
    assert.equal(answer.kind === 'failed' && answer.failure.code, code);
  },
);

Given('a configuration fold of {int} teams', (count: number) => {
  const lines = Array.from({ length: count }, (_, index) => `team team-${index} 0`);
  scenario.fold = foldRecords(createFold(), createRecords(lines.join('; ')));
});

function createSnapshotRecords({ state }: Fold, chunks: readonly string[]): LogRecord[] {
  return chunks.map((data, index) => createRecord(state.version + 1 + index, data));
}

Then('the configuration snapshot has several records of at most {int} bytes', (bytes: number) => {
  const chunks = encodeSnapshot(scenario.fold.state.version, serializeFold(scenario.fold));
  assert.ok(chunks.length > 1);
  chunks.forEach((chunk) => assert.ok(Buffer.byteLength(chunk) <= bytes));
});

Then('the configuration fold is the same after reading the snapshot back', () => {
  const chunks = encodeSnapshot(scenario.fold.state.version, serializeFold(scenario.fold));
  const records = createSnapshotRecords(scenario.fold, chunks);
  assert.deepEqual(findNewestSnapshot(records), scenario.fold);
});

Then('without one of its records the configuration snapshot is not used', () => {
  const chunks = encodeSnapshot(scenario.fold.state.version, serializeFold(scenario.fold));
  chunks.forEach((_, missing) => {
    const rest = chunks.filter((_chunk, index) => index !== missing);
    assert.equal(findNewestSnapshot(createSnapshotRecords(scenario.fold, rest)), undefined);
  });
});

Then(/^over arbitrary configuration records (.*)$/, (property: string) => {
  const check = FOLD_PROPERTIES[property];
  assert.ok(check, `no property "${property}"`);
  check();
});

Given('configuration daemons {string}', async (names: string) => {
  await startFleet(names, 600_000);
});

Given(
  'configuration daemons {string} with a snapshot every {int} ms',
  async (names: string, everyMs: number) => {
    await startFleet(names, everyMs);
  },
);

When('configuration daemon {string} starts', async (vm) => {
  await getFleet().add(vm as string);
});

When(
  'the team {string} is put through configuration daemon {string}',
  { timeout: 10_000 },
  async (team: string, vm: string) => {
    await putTeam(team, vm);
  },
);

When(
  'the team {string} is put on base {int} through the configuration daemons {string} at once',
  async (team: string, base: number, names: string) => {
    await Promise.all(names.split(', ').map((vm) => putTeam(team, vm, base)));
  },
);

When('the configuration log has the fault {string}', async (fault: string) => {
  const { log } = getFleet();
  if (fault.startsWith('answer lost')) log.lostAnswers = 1;
  if (fault.endsWith('lagging')) {
    log.olderEnd = 0;
    void clock.sleep(1500).then(() => log.showAll());
  }
  if (fault.startsWith('outage')) log.setOut(true);
  if (fault === 'outage for 600 ms') void clock.sleep(600).then(() => log.setOut(false));
  if (fault === 'malformed record') await log.append('configuration', ['{"format":9}']);
});

When('the configuration log is back', () => {
  getFleet().log.setOut(false);
});

When('the configuration log shows only {int} record to readers', (end: number) => {
  getFleet().log.olderEnd = end;
});

When('the configuration log drops the records before the newest snapshot', () => {
  const { log } = getFleet();
  const newest = log.stored.findLast((record) => record.data.includes('"snapshot"'));
  assert.ok(newest);
  const { snapshot } = JSON.parse(newest.data) as { snapshot: { upTo: number } };
  log.earliest = snapshot.upTo + 1;
  assert.ok(log.earliest > 1);
});

When('every configuration daemon is unreachable', () => {
  const { nodes, unreachable } = getFleet();
  nodes.forEach((node) => unreachable.add(node.vm));
});

When('every configuration daemon is reachable', () => {
  getFleet().unreachable.clear();
});

When('{int} ms pass in which configuration daemons give up sending', (ms: number) =>
  clock.sleep(ms),
);

When(/^the configuration members are (known|known from the VM list)$/, (how: string) => {
  getFleet().membersKnown = how === 'known';
});

When(
  'the configuration log gets a team record {string} that only daemon {string} has read',
  async (team: string, vm: string) => {
    const { log } = getFleet();
    const node = getFleet().find(vm);
    const data = encodeChange('shown-once', 0, 'test', createChange('team', team));
    node.view.lagging = false;
    await log.append('configuration', [data]);
    await waitFor('the record at one daemon', () => node.configuration.current()?.version === 1);
  },
);

When(
  'configuration daemon {string} observes the offset of {string}',
  (vm: string, peer: string) => {
    const offset = getFleet().find(peer).configuration.current()?.version ?? 0;
    getFleet().find(vm).configuration.observePeerOffset(offset, peer);
  },
);

When(
  'configuration daemon {string} observes the digest of {string}',
  (vm: string, peer: string) => {
    const digest = getFleet().find(peer).configuration.withdrawnDigest();
    getFleet().find(vm).configuration.observePeerDigest(digest, peer);
  },
);

Given(
  'the configuration key {string} of the team {string}',
  async (keyId: string, team: string) => {
    const [first, ...others] = getFleet().nodes;
    assert.ok(first);
    await putTeam(team, first.vm);
    const verdict = await first.configuration.change(
      createChange('key', keyId, team),
      undefined,
      'test',
    );
    assert.equal(verdict.verdict, 'accepted');
    await waitFor('the key everywhere', () =>
      others.every((node) => node.configuration.current()?.keys.has(keyId)),
    );
  },
);

When(
  'the key {string} is withdrawn through configuration daemon {string}',
  (keyId: string, vm: string) => {
    assert.deepEqual(getFleet().find(vm).configuration.withdraw([keyId]), [keyId]);
  },
);

Then(
  'configuration daemon {string} refuses the key {string} at once with {string}',
  (vm: string, keyId: string, code: string) => {
    assert.equal(authenticateAt(getFleet().find(vm), `Bearer ck_${keyId}_${SECRET}`), code);
  },
);

Then(
  'the configuration daemons {string} refuse the key {string} with {string}',
  async (names: string, keyId: string, code: string) => {
    const nodes = names.split(', ').map((vm) => getFleet().find(vm));
    await waitFor(`${code} at ${names}`, () =>
      nodes.every((node) => authenticateAt(node, `Bearer ck_${keyId}_${SECRET}`) === code),
    );
  },
);

Then(
  'the configuration log holds the withdrawal of {string}',
  { timeout: 12_000 },
  async (keyId: string) => {
    const { log } = getFleet();
    const text = `{"kind":"withdraw-key","keyId":"${keyId}"}`;
    const isLogged = () => log.stored.some((record) => record.data.includes(text));
    await waitFor('the withdrawal in the log', isLogged, { timeoutMs: 10_000 });
  },
);

Then('the configuration verdict is {string}', (verdict) => {
  assert.equal(scenario.verdicts.at(-1)?.verdict, verdict);
});

Then('the configuration verdicts are {string}', (verdicts) => {
  const found = scenario.verdicts.map((verdict) => verdict.verdict).sort();
  assert.equal(found.join(', '), verdicts);
});

Then('the configuration log holds {int} records', (count: number) => {
  assert.equal(getFleet().log.stored.length, count);
});

Then('the configuration log holds a snapshot', async () => {
  const { log } = getFleet();
  await waitFor('a snapshot record', () =>
    log.stored.some((record) => record.data.includes('"snapshot"')),
  );
});

Then(
  'the configuration daemons {string} know the team {string}',
  async (names: string, team: string) => {
    const nodes = names.split(', ').map((vm) => getFleet().find(vm));
    await waitFor(`team ${team} at ${names}`, () =>
      nodes.every((node) => node.configuration.current()?.teams.has(team)),
    );
  },
);

Then(
  'configuration daemon {string} stays at version {int} for {int} ms',
  async (vm: string, version: number, ms: number) => {
    await clock.sleep(ms);
    assert.equal(getFleet().find(vm).configuration.current()?.version, version);
  },
);

Then(
  'configuration daemon {string} has no configuration after {int} ms',
  async (vm: string, ms: number) => {
    await clock.sleep(ms);
    assert.equal(getFleet().find(vm).configuration.current(), undefined);
  },
);

Then('configuration daemon {string} is at version {int}', async (vm: string, version: number) => {
  const { configuration } = getFleet().find(vm);
  await waitFor(`version ${version}`, () => configuration.current()?.version === version);
});

Then(
  'configuration daemon {string} answers the credential {string} with {string}',
  (vm: string, credential: string, answer: string) => {
    assert.equal(authenticateAt(getFleet().find(vm), credential || undefined), answer);
  },
);
