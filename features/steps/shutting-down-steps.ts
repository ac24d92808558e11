import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { fetchEntryAddresses } from '../../harness/entry-addresses.js';
import { daemonOf } from '../../harness/find-daemon.js';
import { readEffects } from '../../harness/engine-record.js';
import type { FleetDaemon } from '../../harness/fleet.js';
import { waitFor } from '../../harness/wait-for.js';
import { readReadiness } from '../support/guarantees-entry.js';
import { startGuaranteeFleet, type GuaranteeWorld } from '../support/guarantees-fleet.js';
import {
  JOBS_ROUTE,
  openKeepAliveCaller,
  ORDERS_ROUTE,
  placeOrder,
} from '../support/guarantees-services.js';
import { assertWhole, beginStream, waitForTokens } from '../support/guarantees-streams.js';

interface ShutdownWorld extends GuaranteeWorld {
  leaving: FleetDaemon;
  answers: Promise<unknown>[];
  signalledMs: number;
}

const scenario = world as unknown as ShutdownWorld;

type LoadName = 'streams' | 'orders' | 'orders in an outage' | 'keep-alive callers';

const ENTRY_VALID_MS = 1500;

const ORDER_COUNT = 10;

/** Pause between two requests of a keep-alive caller, in milliseconds. */
const CALLER_PAUSE_MS = 5;

/**
 * Duration of the log outage, in milliseconds: past the last answer, but within the shutdown
 * deadline.
 */
const OUTAGE_MS = 4000;

function listOtherDaemons(): readonly FleetDaemon[] {
  return scenario.fleet.daemons.filter((daemon) => daemon !== scenario.leaving);
}

/**
 * Sends requests to the leaving daemon for as long as the other daemon's newest entry answer that
 * names it is valid.
 */
async function callWhileNamed(other: FleetDaemon): Promise<number> {
  const { leaving, crewKey } = scenario;
  const caller = openKeepAliveCaller(leaving.callers);
  let validUntilMs = performance.now() + ENTRY_VALID_MS;
  let count = 0;
  while (performance.now() < validUntilMs) {
    const askedMs = performance.now();
    const entry = await fetchEntryAddresses(other, crewKey);
    if (entry.addresses.some(({ vm }) => vm === leaving.name)) {
      validUntilMs = askedMs + entry.validForMs;
    }
    if (performance.now() >= validUntilMs) break;
    const { status, text } = await caller.ask(`${JOBS_ROUTE}/${count}`, crewKey);
    assert.equal(status, 200, text);
    count += 1;
    await delay(CALLER_PAUSE_MS);
  }
  await caller.close();
  return count;
}

async function assertAnswered(answer: ReturnType<typeof placeOrder>): Promise<void> {
  const { status, text } = await answer;
  assert.equal(status, 200, text);
}

async function beginOrders(): Promise<void> {
  const orders = Array.from({ length: ORDER_COUNT }, () =>
    placeOrder(scenario.leaving, scenario.crewKey),
  );
  scenario.answers = orders.map(assertAnswered);
  await waitFor('every order to reach a server', async () => {
    const effects = await readEffects(scenario.fleet);
    return effects.filter(({ path }) => path === ORDERS_ROUTE).length === ORDER_COUNT;
  });
}

const LOADS: Readonly<Record<LoadName, () => Promise<void>>> = {
  streams: async () => {
    const streams = Array.from({ length: 16 }, (_, index) =>
      beginStream(scenario.leaving, {
        ...{ key: scenario.crewKey, prompt: `long ${index}`, maxTokens: 150 },
      }),
    );
    await waitForTokens(streams);
    scenario.answers = streams.map(assertWhole);
  },
  orders: beginOrders,
  'orders in an outage': async () => {
    await beginOrders();
    await scenario.fleet.log.addFault({ path: '/v1', kind: 'unavailable', forMs: OUTAGE_MS });
  },
  'keep-alive callers': async () => {
    const answers = listOtherDaemons().map((other) => callWhileNamed(other));
    scenario.answers = answers;
  },
};

Given('a shutting-down fleet of {int} daemons', async (daemons: number) => {
  const settings = {
    entryAddresses: { validForMs: ENTRY_VALID_MS, count: daemons },
    timeouts: { shutdownMs: 10_000 },
  };
  await startGuaranteeFleet(scenario, { daemons, settings, serviceArgs: ['--service-ms', '1000'] });
  const leaving = daemonOf(scenario.fleet, 1);
  scenario.leaving = leaving;
  await waitFor('every entry answer to name the daemon that will leave', async () => {
    const entries = await Promise.all(
      listOtherDaemons().map((each) => fetchEntryAddresses(each, scenario.crewKey)),
    );
    return entries.every(({ addresses }) => addresses.some(({ vm }) => vm === leaving.name));
  });
});

Given('shutting-down load of {}', async (load: LoadName) => {
  await LOADS[load]();
  // Failures are reported by the step that awaits the answers.
  scenario.answers.forEach((answer) => answer.catch(() => undefined));
});

When('the shutting-down daemon gets SIGTERM', () => {
  scenario.signalledMs = performance.now();
  scenario.leaving.process.signal('SIGTERM');
});

When('the shutting-down daemon gets SIGTERM again', async () => {
  // The operating system merges equal pending signals, so the first one must be handled before.
  const isDraining = async () => (await readReadiness(scenario.leaving)) === 'draining';
  await waitFor('the first signal to be handled', isDraining);
  scenario.signalledMs = performance.now();
  scenario.leaving.process.signal('SIGTERM');
});

Then('no shutting-down entry answer names it after {int} s', async (seconds: number) => {
  const timeoutMs = seconds * 1000;
  const isNamed = async () => {
    const entries = await Promise.all(
      listOtherDaemons().map((each) => fetchEntryAddresses(each, scenario.crewKey)),
    );
    return entries.some(({ addresses }) =>
      addresses.some(({ vm }) => vm === scenario.leaving.name),
    );
  };
  await waitFor('no entry answer to name the leaving daemon', async () => !(await isNamed()), {
    timeoutMs,
  });
  scenario.log(`no longer named after ${Math.round(performance.now() - scenario.signalledMs)} ms`);
  await scenario.leaving.process.ended;
  assert.equal(await isNamed(), false, 'an entry answer names the leaving daemon again');
});

Then('every shutting-down request is answered whole', async () => {
  await Promise.all(scenario.answers);
  const effects = (await readEffects(scenario.fleet)).filter(({ path }) => path === ORDERS_ROUTE);
  assert.equal(new Set(effects.map(({ requestId }) => requestId)).size, effects.length);
});

Then(
  /^the shutting-down daemon exits with code (\d)(?: within (\d+) s)?$/,
  async (code: string, seconds: string | undefined) => {
    const end = await scenario.leaving.process.ended;
    const elapsedMs = Math.round(performance.now() - scenario.signalledMs);
    scenario.log(`ended after ${elapsedMs} ms`);
    assert.equal(end.code, Number(code));
    if (seconds)
      assert.ok(elapsedMs <= Number(seconds) * 1000, `the daemon exited after ${elapsedMs} ms`);
  },
);

Then('the shutting-down membership stream shows that it left', async () => {
  const { streams } = await scenario.fleet.log.readRecord<{
    streams: Record<string, { data: string }[]>;
  }>();
  const records = (streams.membership ?? []).map(
    ({ data }) => JSON.parse(data) as Record<string, unknown>,
  );
  const removed = records.filter(
    ({ kind, vm }) => kind === 'removed' && vm === scenario.leaving.name,
  );
  assert.deepEqual(
    removed.map(({ evidence }) => evidence),
    ['left'],
  );
});
