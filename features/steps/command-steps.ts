import assert from 'node:assert/strict';

import { Then, When, world } from '@cucumber/cucumber';

import {
  CommandSimulation,
  LEASE_MS,
  type LeaderView,
  type ReceivedOrder,
  type StoreTrouble,
} from '../support/command-simulation.js';
import { createRandom, readSeed } from '../support/seed.js';

interface CommandWorld {
  commandRuns: readonly (readonly ReceivedOrder[])[];
  commandSeed: number;
}

const scenario = world as unknown as CommandWorld;

const STEP = { timeout: 120_000 } as const;

/** Simulated time of a run, in milliseconds. */
const RUN_MS = 120_000;

/** Time for which the same VM is the first, in milliseconds. */
const TERM_MS = 15_000;

/** Longest time after which a VM learns who is the first, in milliseconds. */
const MOST_LATE_MS = 5000;

/** Time after which a VM's view of the others may change, in milliseconds. */
const VIEW_MS = 2000;

const CALM: StoreTrouble = { mostMs: 40, lostShare: 0, rollbackEveryMs: Infinity };

const TROUBLES: Readonly<Record<string, StoreTrouble>> = {
  'in order': CALM,
  slow: { ...CALM, mostMs: 1500 },
  'losing answers': { ...CALM, lostShare: 0.2 },
  'coming back older': { ...CALM, rollbackEveryMs: 20_000 },
};

/** Views by what happens to the digests. */
const VIEWS: Readonly<Record<string, (count: number, random: () => number) => LeaderView>> = {
  'all digests arrive': () => (vm) => vm === 0,
  'all digests are lost': () => () => true,
  'digests are lost at times': (_, random) => {
    const seen = new Map<string, boolean>();
    return (vm, nowMs) => {
      const key = `${vm} ${Math.floor(nowMs / VIEW_MS)}`;
      const isFirst = seen.get(key) ?? random() < 0.5;
      seen.set(key, isFirst);
      return isFirst;
    };
  },
  'digests are late': (count, random) => {
    const delays = Array.from({ length: count }, () => random() * MOST_LATE_MS);
    return (vm, nowMs) => Math.floor((nowMs - delays[vm]!) / TERM_MS) % count === vm;
  },
  'the digests of one VM are refused': () => (vm) => vm <= 1,
};

When(
  /^(\d+) VMs command (\d+) times while (.*), and the store is (.*)$/,
  STEP,
  async (count: string, runs: string, digests: string, store: string) => {
    scenario.commandSeed = readSeed();
    const random = createRandom(scenario.commandSeed);
    const createView = VIEWS[digests] ?? assert.fail(digests);
    const trouble = TROUBLES[store] ?? assert.fail(store);
    const results: (readonly ReceivedOrder[])[] = [];
    for (let run = 0; run < Number(runs); run += 1) {
      const view = createView(Number(count), random);
      const simulation = await CommandSimulation.create(Number(count), view, trouble, random);
      await simulation.advance(RUN_MS);
      await simulation.stop();
      results.push(simulation.orders);
    }
    scenario.commandRuns = results;
  },
);

/** Orders that come too soon after one of another VM. */
function findTurns(orders: readonly ReceivedOrder[]): ReceivedOrder[] {
  return orders.filter((order) =>
    orders.some(
      (other) =>
        other.vm !== order.vm && other.atMs <= order.atMs && order.atMs - other.atMs < LEASE_MS,
    ),
  );
}

Then('no order comes within a lease of an order of another VM', () => {
  const turns = scenario.commandRuns.map((orders) => findTurns(orders).length);
  assert.ok(
    turns.every((count) => count === 0),
    `seed ${scenario.commandSeed}: ${turns.join(' ')} orders of ${scenario.commandRuns
      .map((orders) => orders.length)
      .join(' ')}`,
  );
});

Then('no two VMs use the same fencing number, and no number is lower than an earlier one', () => {
  scenario.commandRuns.forEach((orders) =>
    orders.slice(1).forEach((order, index) => {
      const before = orders[index]!;
      const rises = order.fence > before.fence;
      assert.ok(
        rises || (order.fence === before.fence && order.vm === before.vm),
        `seed ${scenario.commandSeed}: ${order.fence} after ${before.fence}`,
      );
    }),
  );
});

Then('each run has at least {int} orders', (least: number) => {
  const counts = scenario.commandRuns.map((orders) => orders.length);
  assert.ok(Math.min(...counts) >= least, `seed ${scenario.commandSeed}: ${counts.join(' ')}`);
});
