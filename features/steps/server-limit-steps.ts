import assert from 'node:assert/strict';

import { Then, When, world } from '@cucumber/cucumber';

import type { FleetSimulation } from '../../harness/fleet-simulation.js';
import {
  simulateColdServers,
  type ColdFailure,
  type ColdResult,
} from '../support/cold-simulation.js';
import {
  computeLimitUse,
  findWorstLimitWindow,
  simulateLimits,
  type LimitedKind,
  type LimitLoad,
  type LimitResult,
} from '../support/limit-simulation.js';

interface LimitWorld {
  cold: ColdResult;
  simulation: FleetSimulation;
  limited: LimitResult;
  log(text: string): void;
}

const scenario = world as unknown as LimitWorld;

const SIMULATION = { timeout: 180_000 } as const;

const LIFT_MS = 16_000;

const LOAD: Omit<LimitLoad, 'seed' | 'kind'> = {
  limits: [0, 0.2, 1, 1.8, 4.3, 20],
  load: 4,
  liftMs: LIFT_MS,
  durationMs: 24_000,
};

async function sendRequests(load: Partial<LimitLoad> & Pick<LimitLoad, 'seed' | 'kind'>) {
  scenario.limited = await simulateLimits(scenario.simulation, { ...LOAD, ...load });
}

When(
  /^servers of kind (plain|engine) that name limits get four times as many requests through the simulated fleet, with seed (\d+)$/,
  SIMULATION,
  async (kind: LimitedKind, seed: string) => sendRequests({ kind, seed: Number(seed) }),
);

When(
  /^servers of kind (plain|engine) that name limits get four times as many requests through the simulated fleet while a VM joins it, with seed (\d+)$/,
  SIMULATION,
  async (kind: LimitedKind, seed: string) =>
    sendRequests({ kind, seed: Number(seed), joinMs: 6000 }),
);

When(
  /^servers of kind (plain|engine) that name limits get four times as many requests through one VM of the simulated fleet, with seed (\d+)$/,
  SIMULATION,
  async (kind: LimitedKind, seed: string) =>
    sendRequests({ kind, seed: Number(seed), vmsWithDemand: 1 }),
);

When(
  /^cold servers of kind (plain|engine) that take (\d+) requests a second get many through the simulated fleet with (.*), with seed (\d+)$/,
  SIMULATION,
  async (kind: LimitedKind, perSecond: string, failure: ColdFailure, seed: string) => {
    const load = { kind, perSecond: Number(perSecond), failure, seed: Number(seed) };
    scenario.cold = await simulateColdServers(scenario.simulation, load);
  },
);

Then('no cold server gets more requests than it tolerates in any second', () => {
  const { worst, allowed } = scenario.cold;
  scenario.log(`at most ${worst} requests, ${allowed} allowed`);
  assert.ok(worst > 0 && worst <= allowed, `${worst} requests, ${allowed} allowed`);
});

Then('the cold servers get at least {int}% of what they take', (percent: number) => {
  const use = Math.round(100 * scenario.cold.use);
  scenario.log(`${use}% of what cold servers take`);
  assert.ok(use >= percent, `${use}%`);
});

Then('no server gets more requests than its limit allows in any window', () => {
  const { perSecond, fromMs, requests, allowed } = findWorstLimitWindow(scenario.limited);
  const counted = `${requests} requests, ${allowed} allowed`;
  scenario.log(`at most ${counted} at ${perSecond}/s`);
  assert.ok(requests <= allowed, `${counted} from ${fromMs} ms at ${perSecond}/s`);
});

Then('the servers with limits get at least {int}% of what they take', (percent: number) => {
  const use = 100 * computeLimitUse(scenario.limited, LIFT_MS);
  scenario.log(`${Math.round(use)}% of the limits used`);
  assert.ok(use >= percent, `${use}%`);
});

Then(
  'all VMs of the simulated fleet use the servers without limits within {int} ms of their end',
  (ms: number) => {
    const { liftKnownMs } = scenario.limited;
    scenario.log(`known after ${liftKnownMs} ms`);
    assert.ok(liftKnownMs <= ms, `known after ${liftKnownMs} ms`);
  },
);
