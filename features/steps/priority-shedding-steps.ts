import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { PriorityShedding } from '../../src/relay/priority-shedding.js';

interface SheddingWorld {
  shedding: PriorityShedding;
  sheddingArrivals: ReadonlyMap<number, number>;
  sheddingNowMs: number;
  sheddingOverall: number;
}

const scenario = world as unknown as SheddingWorld;

const TOLERANCE = 0.01;

/** Parses pairs of a priority and a number. */
function parsePairs(text: string): Map<number, number> {
  return new Map(
    text.split(' ').map((pair) => pair.split(':').map(Number) as [priority: number, value: number]),
  );
}

/** Spreads the arrivals of each priority evenly over a time. */
function recordArrivals(arrivals: ReadonlyMap<number, number>, lengthMs: number): void {
  const times = [...arrivals].flatMap(([priority, count]) =>
    Array.from({ length: count }, (_, index) => ({
      priority,
      atMs: scenario.sheddingNowMs + (index * lengthMs) / count,
    })),
  );
  times.sort((left, right) => left.atMs - right.atMs);
  times.forEach(({ priority, atMs }) => scenario.shedding.record(priority, atMs));
  scenario.sheddingNowMs += lengthMs;
}

function computeRefused(priority: number): number {
  const { shedding, sheddingOverall, sheddingNowMs } = scenario;
  return shedding.computeProbability(priority, sheddingOverall, sheddingNowMs);
}

Given(/^a shedding pool that gets (.+) in a second$/, (arrivals: string) => {
  scenario.shedding = PriorityShedding.create();
  scenario.sheddingArrivals = parsePairs(arrivals);
  scenario.sheddingNowMs = 0;
  recordArrivals(scenario.sheddingArrivals, 1000);
});

When(
  /^the shedding pool gets (.+) in the (\d+) s afterwards$/,
  (arrivals: string, seconds: string) => {
    recordArrivals(parsePairs(arrivals), Number(seconds) * 1000);
  },
);

When('the shedding pool has to refuse {float} of its requests', (overall: number) => {
  scenario.sheddingOverall = overall;
});

Then(/^the shedding pool refuses (\d+:.+)$/, (refused: string) => {
  parsePairs(refused).forEach((expected, priority) => {
    const probability = computeRefused(priority);
    assert.ok(Math.abs(probability - expected) < TOLERANCE, `${priority}: ${probability}`);
  });
});

Then('the shedding pool refuses {float} of all requests', (overall: number) => {
  const counts = [...scenario.sheddingArrivals];
  const total = counts.reduce((sum, [, count]) => sum + count, 0);
  const refused = counts.reduce(
    (sum, [priority, count]) => sum + count * computeRefused(priority),
    0,
  );
  assert.ok(Math.abs(refused / total - overall) < TOLERANCE, `${refused / total}`);
});
