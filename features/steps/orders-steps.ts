import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { Given, Then, When, world } from '@cucumber/cucumber';
import fc from 'fast-check';

import { daemonNamed } from '../../harness/find-daemon.js';
import { type Fleet, type FleetDaemon, startFleet } from '../../harness/fleet.js';
import { MODEL, planSmallFleet } from '../../harness/plans.js';
import { launchStandIn, type LaunchedStandIn } from '../../harness/stand-in-launcher.js';
import { waitFor } from '../../harness/wait-for.js';
import type { Order } from '../../src/backends/engine.js';
import { HttpConnections } from '../../src/backends/http-connections.js';
import { HttpEngine } from '../../src/backends/http-engine.js';
import {
  MAX_DELIVERY_TIMES_MS,
  orderSchedules,
  OrdersSimulation,
} from '../support/orders-simulation.js';
import { readSeed } from '../support/seed.js';

interface OrdersWorld {
  log: (text: string) => void;
  fleet: Fleet;
  weights: LaunchedStandIn;
  changedMs: number;
  healed: Promise<unknown>;
}

const scenario = world as unknown as OrdersWorld;

const CHECKING = 'prefill-1';
const IGNORING = 'decode-1';

/** Longer than the time after which a silent member is removed, in milliseconds. */
const FROZEN_MS = 12_000;

async function readOrders(name: string): Promise<readonly Order[]> {
  const record = await scenario.fleet.servers.get(name)?.readRecord<{ orders: readonly Order[] }>();
  return record?.orders ?? [];
}

async function waitForVersion(name: string, version: number, ms: number) {
  const isWanted = ({ value }: Order) => value === `${MODEL}/${version}`;
  const check = async () => (await readOrders(name)).some(isWanted);
  await waitFor(`version ${version} at ${name}`, check, { timeoutMs: ms });
}

function putVersion(version: number) {
  return { kind: 'put-model', model: { name: MODEL, version: String(version) } };
}

/** Checks the orders that took effect at each engine, oldest first. */
async function checkOrders(check: (orders: readonly Order[], name: string) => void): Promise<void> {
  for (const name of [CHECKING, IGNORING]) check(await readOrders(name), name);
}

async function findCommander(): Promise<FleetDaemon> {
  const newest = (await readOrders(IGNORING)).at(-1);
  return daemonNamed(scenario.fleet, newest?.commander ?? 'of a commander');
}

function eachEngine(act: (engine: LaunchedStandIn) => Promise<unknown>) {
  const engines = [CHECKING, IGNORING].flatMap((name) => scenario.fleet.servers.get(name) ?? []);
  return Promise.all(engines.map(act));
}

/** Each event returns the promise of its end, which is awaited before the records are checked. */
const EVENTS: Readonly<Record<string, (commander: FleetDaemon) => Promise<unknown>>> = {
  'no fault': async () => undefined,
  'the commander killed': ({ process }) => process.kill(),
  'the commander frozen and resumed': async ({ process }) => {
    process.pause();
    return { end: delay(FROZEN_MS).then(process.resume) };
  },
  'the commander cut from the log': async ({ links }) => links?.log.cut(),
  'the engines cut off for 3 s': async () => {
    const { fleet } = scenario;
    fleet.serverLinks.forEach((link) => link.cut());
    return { end: delay(3000).then(() => fleet.serverLinks.forEach((link) => link.heal())) };
  },
  "the engines' answers lost twice": () =>
    eachEngine((engine) => engine.addFault({ path: '/v1/orders', kind: 'lost-answer', count: 2 })),
  'the engines restarted': () => eachEngine((one) => one.setState({ restart: true })),
  'the weights missing for 3 s': async () => {
    await scenario.weights.addFault({ path: '/', kind: 'unavailable', forMs: 3000 });
  },
};

Then(
  'in {int} arbitrary orders schedules no older fencing number takes effect after a newer one',
  { timeout: 120_000 },
  (numRuns: number) => {
    const seed = readSeed();
    const totals = { effects: 0, successions: 0 };
    const deliveryTimes = fc.constantFrom(...MAX_DELIVERY_TIMES_MS);
    const property = fc.property(deliveryTimes, orderSchedules, (maxDeliveryMs, steps) => {
      const simulation = new OrdersSimulation(maxDeliveryMs);
      steps.forEach((step) => simulation.step(step));
      simulation.settle(30_000);
      totals.effects += simulation.effects;
      totals.successions += simulation.successions;
    });
    fc.assert(property, { seed, numRuns });
    process.stdout.write(`\nseed ${seed}, ${JSON.stringify(totals)}\n`);
    // Schedules in which the commander never changes would prove nothing.
    assert.ok(totals.successions > numRuns * 1.5);
  },
);

Then(
  'an orders engine client writes only what may be sent when its connection is open',
  async () => {
    const engine = await launchStandIn('model-engine');
    const [host = '', port] = engine.address.split(':');
    const limits = { connectMs: 1000, idleMs: 1000 };
    const connections = HttpConnections.create({ host, port: Number(port) }, limits);
    const ignore = () => undefined;
    const observer = { onLoad: ignore, onFailure: ignore, onDropped: ignore };
    const client = HttpEngine.create(connections, 1000, observer);
    const order = { kind: 'load-model', value: 'a', fencingNumber: 1, commander: 'vm-1' } as const;
    const refused = await client.order(order, () => false);
    assert.equal(refused.kind === 'failed' && refused.failure.reason, 'cancelled');
    assert.deepEqual((await engine.readRecord<{ orders: Order[] }>()).orders, []);
    assert.equal((await client.order(order, () => true)).kind, 'ok');
    await connections.destroy();
  },
);

Given('an orders fleet whose engines have version 1', { timeout: 60_000 }, async () => {
  scenario.weights = await launchStandIn('weight-store', ['--weights', `${MODEL}/1=1`]);
  const plan = planSmallFleet({ decodes: 1, services: 0, relayed: true });
  const ignores = { args: ['--role', 'decode', '--no-checks-fencing'] };
  const servers = plan.servers.map((server) =>
    server.name === IGNORING
      ? { ...server, ...ignores }
      : { ...server, fields: { ...server.fields, checksFencing: true } },
  );
  const weightStoreUrl = scenario.weights.url;
  scenario.fleet = await startFleet({ ...plan, servers, changes: [putVersion(1)], weightStoreUrl });
  await waitForVersion(CHECKING, 1, 10_000);
  await waitForVersion(IGNORING, 1, 10_000);
  await scenario.weights.setState({ [`${MODEL}/2`]: 1 });
});

When('version 2 is wanted of the orders fleet during {string}', async (event: string) => {
  const commander = await findCommander();
  const other = scenario.fleet.daemons.find((daemon) => daemon !== commander);
  const begun = (await EVENTS[event]?.(commander)) as { end?: Promise<unknown> } | undefined;
  scenario.healed = begun?.end ?? Promise.resolve();
  scenario.changedMs = Date.now();
  await scenario.fleet.apply([putVersion(2)], other);
});

Then(
  'version 2 arrives at the orders engines within {int} s and {int} s',
  { timeout: 60_000 },
  async (checking: number, ignoring: number) => {
    const bounds = Object.entries({ [CHECKING]: checking, [IGNORING]: ignoring });
    const arrivals = bounds.map(async ([name, seconds]) => {
      await waitForVersion(name, 2, seconds * 1000);
      scenario.log(`${name} after ${Date.now() - scenario.changedMs} ms`);
    });
    await Promise.all(arrivals);
    await scenario.healed;
    // A repeated or late order of the former commander would arrive within this time.
    await delay(4000);
  },
);

Then('no older orders fencing number took effect after a newer one', async () => {
  await checkOrders((orders) => {
    const numbers = orders.map(({ fencingNumber }) => fencingNumber);
    const ascending = numbers.toSorted((a, b) => a - b);
    assert.deepEqual(numbers, ascending);
  });
});

Then(
  'no order of one orders commander took effect more than {int} times',
  async (times: number) => {
    await checkOrders((orders, name) => {
      const texts = orders.map((order) => JSON.stringify(order));
      const most = Math.max(...texts.map((one) => texts.filter((each) => each === one).length));
      assert.ok(most <= times, `${name}: ${texts.join(' ')}`);
    });
  },
);
