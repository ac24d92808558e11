import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { daemonOf } from '../../harness/find-daemon.js';
import { readEngines, type RecordedEffect } from '../../harness/engine-record.js';
import { waitFor } from '../../harness/wait-for.js';
import { startGuaranteeFleet, type GuaranteeWorld } from '../support/guarantees-fleet.js';
import { lookUpJob } from '../support/guarantees-services.js';
import {
  assertWhole,
  beginStream,
  waitForTokens,
  type RunningStream,
} from '../support/guarantees-streams.js';

type LeavingTrigger = 'the operator' | 'the VM list' | 'its own word';

interface LeavingWorld extends GuaranteeWorld {
  streams: RunningStream[];
  stopped: boolean;
  load: Promise<void>;
  answers: Promise<unknown>[];
  changedMs: number;
}

const scenario = world as unknown as LeavingWorld;

/** The servers that leave and return, one of each kind. */
const LEAVING_SERVERS = ['prefill-1', 'decode-1', 'yard-1'];

/** Interval between two rounds of requests, in milliseconds. */
const ROUND_MS = 50;

/** Time for which requests are still sent after the bound, in milliseconds. */
const AFTER_BOUND_MS = 1000;

/** Lists the start times of the group's work by server, in milliseconds since the Unix epoch. */
async function listWorkTimes(): Promise<Map<string, number[]>> {
  const engines = [...(await readEngines(scenario.fleet))].map(([name, { attempts }]) => ({
    name,
    times: attempts.map(({ startedMs }) => startedMs),
  }));
  const yard = await scenario.fleet.servers
    .get('yard-1')
    ?.readRecord<{ effects: readonly RecordedEffect[] }>();
  const effects = { name: 'yard-1', times: (yard?.effects ?? []).map(({ atMs }) => atMs) };
  const listed = [...engines, effects].filter(({ name }) => LEAVING_SERVERS.includes(name));
  return new Map(listed.map(({ name, times }) => [name, times]));
}

async function waitForWork(sinceMs: number, timeoutMs: number) {
  await waitFor(
    'work at every server of the group',
    async () => {
      const work = await listWorkTimes();
      return LEAVING_SERVERS.every((name) => work.get(name)?.some((atMs) => atMs >= sinceMs));
    },
    { timeoutMs },
  );
}

function sendRound(): void {
  scenario.fleet.daemons.forEach((daemon) => {
    const plan = {
      key: scenario.crewKey,
      prompt: `short ${scenario.answers.length}`,
      maxTokens: 2,
    };
    const lookup = lookUpJob(daemon, scenario.crewKey).then(({ status }) =>
      assert.equal(status, 200),
    );
    const answers = [assertWhole(beginStream(daemon, plan)), lookup];
    // Failures are reported by the step that awaits the answers.
    answers.forEach((answer) => answer.catch(() => undefined));
    scenario.answers.push(...answers);
  });
}

async function sendRounds(): Promise<void> {
  while (!scenario.stopped) {
    sendRound();
    await delay(ROUND_MS);
  }
}

const TRIGGERS: Readonly<Record<LeavingTrigger, (leaves: boolean) => Promise<unknown>>> = {
  'the operator': (leaves) =>
    scenario.fleet.apply(
      LEAVING_SERVERS.map((name) => ({ kind: leaves ? 'drain-server' : 'return-server', name })),
    ),
  'the VM list': (leaves) =>
    scenario.fleet.vmList.setState({
      servers: LEAVING_SERVERS.map((name) => ({ name, state: leaves ? 'leaving' : 'live' })),
    }),
  'its own word': async (draining) => {
    await Promise.all(
      LEAVING_SERVERS.map((name) => scenario.fleet.servers.get(name)?.setState({ draining })),
    );
    // A plain server can announce that it leaves, but only the operator can return it.
    if (!draining) await scenario.fleet.apply([{ kind: 'return-server', name: 'yard-1' }]);
  },
};

After(async () => {
  scenario.stopped = true;
  await scenario.load;
  await Promise.allSettled(scenario.answers ?? []);
});

Given('a leaving-server fleet', async () => {
  await startGuaranteeFleet(scenario, { daemons: 2, prefills: 2 });
});

Given('leaving-server requests that go on through both daemons', async () => {
  Object.assign(scenario, { stopped: false, answers: [] });
  scenario.load = sendRounds();
  await waitForWork(0, 5000);
});

Given(
  'leaving-server streams of {int} tokens that run on the servers',
  async (maxTokens: number) => {
    scenario.streams = Array.from({ length: 8 }, (_, index) =>
      beginStream(daemonOf(scenario.fleet, 1 + (index % 2)), {
        ...{ key: scenario.crewKey, prompt: `long ${index}`, maxTokens },
      }),
    );
    await waitForTokens(scenario.streams);
  },
);

When(
  /^the leaving-server group (leaves|returns) by (.*)$/,
  async (change: string, trigger: LeavingTrigger) => {
    scenario.changedMs = Date.now();
    await TRIGGERS[trigger](change === 'leaves');
  },
);

Then('no leaving-server request reaches the group after {int} s', async (seconds: number) => {
  await delay(seconds * 1000 + AFTER_BOUND_MS);
  const times = [...(await listWorkTimes()).values()].flat();
  const lastMs = Math.max(...times) - scenario.changedMs;
  scenario.log(`last new work after ${lastMs} ms`);
  assert.ok(lastMs <= seconds * 1000, `the group got work ${lastMs} ms after it left`);
});

Then('every leaving-server request so far is answered whole', async () => {
  await Promise.all([...scenario.streams.map(assertWhole), ...scenario.answers]);
});

Then('leaving-server requests reach the group again within {int} s', async (seconds: number) => {
  await waitForWork(scenario.changedMs, seconds * 1000);
  scenario.stopped = true;
  await scenario.load;
  await Promise.all(scenario.answers);
});
