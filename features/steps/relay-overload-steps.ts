import assert from 'node:assert/strict';

import { Then, When, world } from '@cucumber/cucumber';

import { PoolCosts } from '../../src/relay/pool-costs.js';
import { simulateQueueFleet, type QueueFleetResult } from '../support/queue-fleet-simulation.js';

interface OverloadWorld {
  averages: { readonly nowMs: number; readonly decodeMs: number | undefined }[];
  realDecodeMs: number;
  queues: Record<'all' | 'own', QueueFleetResult>;
}

const scenario = world as unknown as OverloadWorld;

When(
  'relay streams of {int} to {int} ms start {int} times a second for {int} s',
  (shortestMs: number, longestMs: number, perSecond: number, seconds: number) => {
    const costs = PoolCosts.create();
    const lengths = [0.1, 0.5, 0.9, 0.3, 0.7].map(
      (part) => shortestMs + part * (longestMs - shortestMs),
    );
    const intervalMs = 1000 / perSecond;
    const ends = Array.from({ length: perSecond * seconds }, (_, index) => {
      const decodeMs = lengths[index % lengths.length]!;
      return { atMs: index * intervalMs + decodeMs, decodeMs };
    }).sort((left, right) => left.atMs - right.atMs);
    scenario.averages = [];
    for (let nowMs = 0; nowMs <= seconds * 1000; nowMs += 100) {
      const ended = ends.splice(0, ends.findLastIndex(({ atMs }) => atMs <= nowMs) + 1);
      ended.forEach(({ atMs, decodeMs }) =>
        costs.add('planner', { prefillMs: 100, decodeMs, kvTokens: 1 }, atMs),
      );
      const decodeMs = costs.average('planner', nowMs)?.decodeMs;
      scenario.averages.push({ nowMs, decodeMs });
    }
    scenario.realDecodeMs = (shortestMs + longestMs) / 2;
  },
);

Then(
  "the relay's average decode time is never below {int} percent of the real one",
  (percent: number) => {
    const least = (percent / 100) * scenario.realDecodeMs;
    scenario.averages.forEach(({ nowMs, decodeMs = Infinity }) =>
      assert.ok(decodeMs >= least, `${decodeMs} ms after ${nowMs} ms`),
    );
  },
);

When(
  '{int} relay VMs with news {int} ms old queue for the slots of one pool, with seed {int}',
  (vms: number, newsMs: number, seed: number) => {
    scenario.queues = {
      all: simulateQueueFleet(vms, newsMs, 'of all VMs', seed),
      own: simulateQueueFleet(vms, newsMs, 'of its own VM', seed),
    };
  },
);

Then('VMs that know all queues serve more relay requests than VMs that know their own', () => {
  const { all, own } = scenario.queues;
  assert.ok(all.served > own.served, `${all.served} and ${own.served}`);
});

Then(
  'they hold fewer relay requests to the end, and at most {int} percent fewer start on time',
  (percent: number) => {
    const { all, own } = scenario.queues;
    assert.ok(all.held < own.held, `${all.held} and ${own.held}`);
    assert.ok(all.onTime >= own.onTime - percent / 100, `${all.onTime} and ${own.onTime}`);
  },
);

Then('the relay knows it after {int} s', (seconds: number) => {
  const known = scenario.averages.find(({ decodeMs }) => decodeMs !== undefined);
  assert.ok(known && known.nowMs <= seconds * 1000, `${known?.nowMs}`);
});
