import assert from 'node:assert/strict';

import { After, type DataTable, Given, Then, When, World, world } from '@cucumber/cucumber';

import { daemonNamed, daemonOf } from '../../harness/find-daemon.js';
import { callService } from '../../harness/caller-client.js';
import { runCtl } from '../../harness/ctl.js';
import { type Fleet, startFleet } from '../../harness/fleet.js';
import { publishVms } from '../../harness/list-vms.js';
import type { SmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import {
  FAULT_SCRIPTS,
  type ChangeUnderFault,
} from '../support/guarantees-configuration-faults.js';
import {
  IN_FORCE_BOUND_MS,
  planConfiguredFleet,
  readAllConfigurations,
  readBaseVersion,
  readLoggedRecords,
  sendChange,
  waitUntilShown,
} from '../support/guarantees-configuration-fleet.js';
import { COMMAND_STATES, fillVersions } from '../support/guarantees-configuration-commands.js';
import { RACES, runRace } from '../support/guarantees-configuration-races.js';
import { ConfigurationWatch } from '../../harness/configuration-watch.js';

/** State of one scenario on P10. */
export interface ConfigurationWorld extends World {
  configured: { fleet: Fleet; watch: ConfigurationWatch; key: string } | undefined;
  configuredChange: ChangeUnderFault;
  /** Version of the preset in force before the fleet was brought to the command's state. */
  configuredStale: number;
}

const scenario = world as unknown as ConfigurationWorld;

/**
 * Short enough for records to be deleted during a scenario; snapshots are written three times as
 * often.
 */
const SHORT_RETENTION = {
  logArgs: ['--retention-ms', '3000'],
  settings: { snapshots: { everyMs: 1000 } },
};

async function startWatched(size: SmallFleet): Promise<void> {
  const plan = planConfiguredFleet(size);
  const fleet = await startFleet(plan);
  await publishVms(fleet, plan);
  const { text } = await fleet.giveKey('oval-crew');
  Object.assign(scenario, {
    configured: { fleet, key: text, watch: ConfigurationWatch.create(fleet) },
  });
}

function getConfiguredFleet() {
  assert.ok(scenario.configured, 'the fleet has not been started');
  return scenario.configured;
}

async function runRaces(name: string, rounds: number): Promise<void> {
  const plan = RACES[name];
  assert.ok(plan, `unknown race "${name}"`);
  const { fleet, watch } = getConfiguredFleet();
  for (let round = 1; round <= rounds; round += 1) {
    const { answers, logged } = await runRace(fleet, plan, round);
    const verdicts = answers.map(({ verdict }) => verdict).sort();
    assert.deepEqual(verdicts, ['accepted', 'stale']);
    assert.equal(logged, 2, 'number of edits in the log');
    const accepted = answers.find(({ verdict }) => verdict === 'accepted');
    assert.ok(accepted);
    Object.assign(scenario, { configuredChange: { answer: accepted, fromMs: accepted.atMs } });
    const newest = Math.max(...answers.map(({ version }) => version));
    await waitUntilShown(fleet, watch, newest, 0);
  }
}

Given('a configured fleet of {int} daemons', async (daemons: number) => {
  await startWatched({ daemons });
});

Given('a configured fleet of {int} daemons with short retention', async (daemons: number) => {
  await startWatched({ daemons, ...SHORT_RETENTION });
});

When('the configured preset is switched with {string}', async (fault: string) => {
  const script = FAULT_SCRIPTS[fault];
  assert.ok(script, `unknown fault "${fault}"`);
  const { fleet, watch } = getConfiguredFleet();
  scenario.configuredChange = await script(fleet, watch);
});

When(
  'two operators race {int} times on each configured subject',
  async (rounds: number, subjects: DataTable) => {
    for (const [name = ''] of subjects.raw()) await runRaces(name, rounds);
  },
);

When('the configured preset is switched to {string} by cuminsparctl', async (preset: string) => {
  const { fleet } = getConfiguredFleet();
  const run = await runCtl(daemonOf(fleet, 1).operators, ['preset', 'switch', preset]);
  assert.equal(run.code, 0, run.stderr || run.stdout);
});

When(
  'the configured preset is switched to {string} in an outage of the log longer than the verdict takes',
  async (preset: string) => {
    const { fleet } = getConfiguredFleet();
    await fleet.log.addFault({ kind: 'unavailable' });
    const answer = await sendChange(fleet, 1, { kind: 'switch-preset', name: preset });
    await fleet.log.clearFaults();
    scenario.configuredChange = { answer, fromMs: answer.atMs };
  },
);

Then('the configured change is unknown, and the log and all daemons stay without it', async () => {
  const { fleet, watch } = getConfiguredFleet();
  const { verdict, reason } = scenario.configuredChange.answer;
  assert.equal(verdict, 'unknown');
  assert.match(reason, /^not appended/);
  const { answer, fromMs } = scenario.configuredChange;
  const later = await sendChange(fleet, 2, { kind: 'put-preset', preset: { name: 'later' } });
  assert.equal(
    later.verdict,
    'accepted',
    `${later.reason}, after the earlier answer: ${answer.reason}`,
  );
  await waitUntilShown(fleet, watch, later.version, fromMs);
  const records = await readLoggedRecords(fleet);
  assert.ok(records.every(({ data }) => !data.includes('"switch-preset"')));
  const presets = fleet.daemons.map(
    ({ name }) => watch.listObservations(name).at(-1)?.presetInForce,
  );
  assert.deepEqual(new Set(presets), new Set(['ordinary']));
});

When('the configured fleet is brought to the state {string}', async (state: string) => {
  const { fleet } = getConfiguredFleet();
  const run = COMMAND_STATES[state];
  assert.ok(run, `unknown state "${state}"`);
  const stale = await readBaseVersion(fleet, 'preset-in-force');
  const answer = await run(fleet);
  scenario.configuredChange = { answer, fromMs: answer.atMs };
  scenario.configuredStale = stale;
});

Then('each configured command at daemon 1 ends with its code', async (commands: DataTable) => {
  const { fleet } = getConfiguredFleet();
  const newest = scenario.configuredChange.answer.version;
  for (const { command = '', code, prints = '' } of commands.hashes()) {
    const args = fillVersions(command, { newest, stale: scenario.configuredStale });
    const run = await runCtl(daemonNamed(fleet, 'vm-1').operators, args);
    assert.equal(run.code, Number(code), `${command}: ${run.stderr || run.stdout}`);
    assert.ok(run.stdout.includes(prints), run.stdout);
  }
});

Then('the configured change is accepted and shown by every daemon within 4 s', async () => {
  const { fleet, watch } = getConfiguredFleet();
  const { answer, fromMs } = scenario.configuredChange;
  assert.equal(answer.verdict, 'accepted', answer.reason);
  const shownMs = await waitUntilShown(fleet, watch, answer.version, fromMs);
  const tookMs = Math.max(0, Math.round(shownMs - fromMs));
  scenario.log(`in force on every daemon after ${tookMs} ms`);
  assert.ok(tookMs <= IN_FORCE_BOUND_MS, `in force after ${tookMs} ms`);
});

Then('the configured fleet agrees and no daemon ever reverted to an older version', async () => {
  const { fleet, watch } = getConfiguredFleet();
  const states = await waitFor('the same configuration on every daemon', async () => {
    const all = await readAllConfigurations(fleet);
    return new Set(all).size === 1 && all;
  });
  assert.equal(states.length, fleet.daemons.length);
  assert.deepEqual(watch.listViolations(), []);
  assert.deepEqual(watch.listDisagreements(), []);
});

Then('the configured fleet answers callers by the preset {string}', async (preset: string) => {
  const { fleet, key } = getConfiguredFleet();
  const path = '/services/yard/jobs/1';
  await waitFor(`the preset ${preset} at every daemon`, async () => {
    const answers = await Promise.all(
      fleet.daemons.map(({ callers }) => callService(callers, { method: 'GET', path, key })),
    );
    const codes = answers.map(({ status, code }) => code ?? String(status));
    if (codes.every((code) => code === (preset === 'maintenance' ? preset : '200'))) return true;
    throw new Error(codes.join(', '));
  });
});

After(async () => {
  if (!scenario.configured) return;
  await scenario.configured.watch.stop();
  await scenario.configured.fleet.stop();
});
