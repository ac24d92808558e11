import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { callCompletion, type CallerAnswer } from '../../harness/caller-client.js';
import { daemonOf } from '../../harness/find-daemon.js';
import { MODEL } from '../../harness/plans.js';
import { startGuaranteeFleet, type GuaranteeWorld } from '../support/guarantees-fleet.js';
import {
  assertWhole,
  beginStream,
  waitForTokens,
  type RunningStream,
} from '../support/guarantees-streams.js';
import { EngineSupervisor } from '../support/guarantees-supervisor.js';

interface CrashWorld extends GuaranteeWorld {
  supervisor: EngineSupervisor;
  bystanders: RunningStream[];
  answers: CallerAnswer[];
}

const scenario = world as unknown as CrashWorld;

const DAEMON_COUNT = 3;

const BYSTANDER_COUNT = 9;

/** Number of times that the caller sends the request before it gives up. */
const SEND_COUNT = 9;

const CRASH_TEXT = 'unreadable drawing';

Given(
  'a crash-prone fleet of {int} engine(s) in each pool that crash at {}',
  async (engines: number, path: string) => {
    // As a start argument, the fault is also present in a restarted engine before its first
    // request.
    const engine = { fault: JSON.stringify({ path, kind: 'crash-on', text: CRASH_TEXT }) };
    const size = { daemons: DAEMON_COUNT, prefills: engines, decodes: engines, services: 0 };
    await startGuaranteeFleet(scenario, { ...size, engine });
    scenario.supervisor = EngineSupervisor.create(scenario.fleet);
  },
);

Given('crash-prone bystanders that run on the engines', async () => {
  scenario.bystanders = Array.from({ length: BYSTANDER_COUNT }, (_, index) =>
    beginStream(daemonOf(scenario.fleet, 1 + (index % DAEMON_COUNT)), {
      ...{ key: scenario.crewKey, prompt: `bystander ${index}`, maxTokens: 80 },
    }),
  );
  await waitForTokens(scenario.bystanders);
});

When('the crash-prone request is sent again and again through all daemons', async () => {
  scenario.answers = [];
  for (let index = 0; index < SEND_COUNT; index += 1) {
    const answer = await callCompletion(
      daemonOf(scenario.fleet, 1 + (index % DAEMON_COUNT)).callers,
      {
        ...{ model: MODEL, key: scenario.visitorKey, prompt: CRASH_TEXT, maxTokens: 20 },
      },
    );
    scenario.answers.push(answer);
  }
});

Then(
  'it is refused as quarantined after at most {int} crash-prone engine deaths',
  (max: number) => {
    const codes = scenario.answers.map(({ code }) => code);
    scenario.log(`${scenario.supervisor.deaths} deaths, answers ${codes.join(' ')}`);
    assert.ok(scenario.supervisor.deaths > 0, 'no engine died');
    assert.ok(scenario.supervisor.deaths <= max, `${scenario.supervisor.deaths} engines died`);
    assert.equal(codes.at(-1), 'quarantined');
    assert.ok(scenario.answers.every(({ status }) => status !== 200));
  },
);

Then(
  'every crash-prone bystander is answered whole, at the latest when it is sent again',
  async () => {
    const results = await Promise.all(
      scenario.bystanders.map((bystander) => resendIfFailed(bystander)),
    );
    scenario.log(
      `${results.filter((result) => result === 'again').length} bystanders were sent again`,
    );
    // The same bodies run once more, so neither they nor their team are blamed.
    await Promise.all(scenario.bystanders.map((bystander) => resend(bystander)));
  },
);

async function resendIfFailed(bystander: RunningStream): Promise<string> {
  const answer = await bystander.answer;
  assert.ok(!(answer instanceof Error), String(answer));
  if (answer.complete) {
    await assertWhole(bystander);
    return 'whole';
  }
  assert.equal(answer.code, 'server_failed');
  await resend(bystander);
  return 'again';
}

async function resend({ key, prompt, maxTokens }: RunningStream) {
  const index = Number(prompt.split(' ').at(-1)) + 1;
  await assertWhole(
    beginStream(daemonOf(scenario.fleet, 1 + (index % DAEMON_COUNT)), { key, prompt, maxTokens }),
  );
}
