import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';

import { readEffects } from '../../harness/engine-record.js';
import type { FleetDaemon } from '../../harness/fleet.js';
import { waitFor } from '../../harness/wait-for.js';
import { readReadiness } from '../support/guarantees-entry.js';
import { daemonAt, startGuaranteeFleet, type GuaranteeWorld } from '../support/guarantees-fleet.js';
import { JOBS, openKeepAliveCaller, ORDERS, placeOrder } from '../support/guarantees-services.js';
import { assertWhole, beginStream, waitForTokens } from '../support/guarantees-streams.js';

interface ShutdownWorld extends GuaranteeWorld {
  leaving: FleetDaemon;
  answers: Promise<unknown>[];
  signalledMs: number;
}

type LoadName = 'streams' | 'orders' | 'orders in an outage' | 'keep-alive callers';

interface EntryAnswer {
  readonly addresses: readonly { readonly vm: string }[];
  readonly validForMs: number;
}

const VALID_FOR_MS = 1500;

const ORDER_COUNT = 10;

/** Time between two requests of a caller that keeps its connection, in milliseconds. */
const CALLER_PAUSE_MS = 5;

/** How long the log is out, in milliseconds: beyond the last answer, within the deadline. */
const OUTAGE_MS = 4000;

async function askEntry(daemon: FleetDaemon, key: string): Promise<EntryAnswer> {
  const { host, port } = daemon.callers;
  const headers = { authorization: `Bearer ${key}` };
  const url = `http://${host}:${port}/v1/entry-addresses`;
  const answer = await request(url, { headers, reset: true });
  return (await answer.body.json()) as EntryAnswer;
}

function others(world: ShutdownWorld): readonly FleetDaemon[] {
  return world.fleet.daemons.filter((daemon) => daemon !== world.leaving);
}

/** Uses the address for as long as some other daemon's newest answer that names it is valid. */
async function callWhileNamed(world: ShutdownWorld, adviser: FleetDaemon): Promise<number> {
  const { leaving, crewKey } = world;
  const caller = openKeepAliveCaller(leaving.callers);
  let validUntilMs = performance.now() + VALID_FOR_MS;
  let count = 0;
  while (performance.now() < validUntilMs) {
    const askedMs = performance.now();
    const entry = await askEntry(adviser, crewKey);
    if (entry.addresses.some(({ vm }) => vm === leaving.name)) {
      validUntilMs = askedMs + entry.validForMs;
    }
    if (performance.now() >= validUntilMs) break;
    const { status, text } = await caller.ask(`${JOBS}/${count}`, crewKey);
    assert.equal(status, 200, text);
    count += 1;
    await delay(CALLER_PAUSE_MS);
  }
  await caller.close();
  return count;
}

async function assertOrder(answer: ReturnType<typeof placeOrder>): Promise<void> {
  const { status, text } = await answer;
  assert.equal(status, 200, text);
}

async function beginOrders(world: ShutdownWorld): Promise<void> {
  const orders = Array.from({ length: ORDER_COUNT }, () =>
    placeOrder(world.leaving, world.crewKey),
  );
  Object.assign(world, { answers: orders.map(assertOrder) });
  await waitFor('every order to be at a server', async () => {
    const effects = await readEffects(world.fleet);
    return effects.filter(({ path }) => path === ORDERS).length === ORDER_COUNT;
  });
}

const LOADS: Readonly<Record<LoadName, (world: ShutdownWorld) => Promise<void>>> = {
  streams: async (world) => {
    const streams = Array.from({ length: 16 }, (_, index) =>
      beginStream(world.leaving, {
        ...{ key: world.crewKey, prompt: `long ${index}`, maxTokens: 150 },
      }),
    );
    await waitForTokens(streams);
    Object.assign(world, { answers: streams.map(assertWhole) });
  },
  orders: beginOrders,
  'orders in an outage': async (world) => {
    await beginOrders(world);
    await world.fleet.log.addFault({ path: '/v1', kind: 'unavailable', forMs: OUTAGE_MS });
  },
  'keep-alive callers': async (world) => {
    const answers = others(world).map((adviser) => callWhileNamed(world, adviser));
    Object.assign(world, { answers });
  },
};

Given(
  'a shutting-down fleet of {int} daemons',
  async function given(this: ShutdownWorld, daemons: number) {
    const settings = {
      entryAddresses: { validForMs: VALID_FOR_MS, count: daemons },
      timeouts: { shutdownMs: 10_000 },
    };
    await startGuaranteeFleet(this, { daemons, settings, serviceArgs: ['--service-ms', '1000'] });
    const leaving = daemonAt(this.fleet, 0);
    Object.assign(this, { leaving });
    await waitFor('every daemon to name the one that will leave', async () => {
      const entries = await Promise.all(others(this).map((each) => askEntry(each, this.crewKey)));
      return entries.every(({ addresses }) => addresses.some(({ vm }) => vm === leaving.name));
    });
  },
);

Given('shutting-down load of {}', async function given(this: ShutdownWorld, load: LoadName) {
  await LOADS[load](this);
  // A failure is reported by the step that waits for the answers.
  this.answers.forEach((answer) => answer.catch(() => undefined));
});

When('the shutting-down daemon gets SIGTERM', function when(this: ShutdownWorld) {
  this.signalledMs = performance.now();
  this.leaving.process.signal('SIGTERM');
});

When('the shutting-down daemon gets SIGTERM again', async function when(this: ShutdownWorld) {
  // The kernel merges equal signals that are pending, so the first one must have been handled.
  const isDraining = async () => (await readReadiness(this.leaving)) === 'draining';
  await waitFor('the first signal to be handled', isDraining);
  this.signalledMs = performance.now();
  this.leaving.process.signal('SIGTERM');
});

Then(
  'no shutting-down entry answer names it after {int} s',
  async function then(this: ShutdownWorld, seconds: number) {
    const deadlineMs = seconds * 1000;
    const isNamed = async () => {
      const entries = await Promise.all(others(this).map((each) => askEntry(each, this.crewKey)));
      return entries.some(({ addresses }) => addresses.some(({ vm }) => vm === this.leaving.name));
    };
    await waitFor('no entry answer to name it', async () => !(await isNamed()), { deadlineMs });
    this.log(`unnamed after ${Math.round(performance.now() - this.signalledMs)} ms`);
    await this.leaving.process.ended;
    assert.equal(await isNamed(), false, 'an entry answer names it again');
  },
);

Then('every shutting-down request is answered whole', async function then(this: ShutdownWorld) {
  await Promise.all(this.answers);
  const effects = (await readEffects(this.fleet)).filter(({ path }) => path === ORDERS);
  assert.equal(new Set(effects.map(({ requestId }) => requestId)).size, effects.length);
});

Then(
  /^the shutting-down daemon exits with code (\d)(?: within (\d+) s)?$/,
  async function then(this: ShutdownWorld, code: string, seconds: string | undefined) {
    const end = await this.leaving.process.ended;
    const elapsedMs = Math.round(performance.now() - this.signalledMs);
    this.log(`ended after ${elapsedMs} ms`);
    assert.equal(end.code, Number(code));
    if (seconds) assert.ok(elapsedMs <= Number(seconds) * 1000, `it took ${elapsedMs} ms`);
  },
);

Then(
  'the shutting-down membership stream shows that it left',
  async function then(this: ShutdownWorld) {
    const { streams } = await this.fleet.log.readRecord<{
      streams: Record<string, { data: string }[]>;
    }>();
    const records = (streams.membership ?? []).map(
      ({ data }) => JSON.parse(data) as Record<string, unknown>,
    );
    const removed = records.filter(
      ({ kind, vm }) => kind === 'removed' && vm === this.leaving.name,
    );
    assert.deepEqual(
      removed.map(({ evidence }) => evidence),
      ['left'],
    );
  },
);
