import assert from 'node:assert/strict';

import { setTimeout } from 'node:timers/promises';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { SystemClock } from '../../src/kernel/system-clock.js';
import type { Relay } from '../../src/relay/relay.js';
import type { CatalogServer } from '../../src/relay/server-catalog.js';
import type { FakeUpstream } from '../support/fake-upstream.js';
import { createRelayConfiguration, createRelayRoute } from '../support/relay-fixtures.js';
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
  relay: Relay;
  upstream: FakeUpstream;
  cold: ColdResult;
  simulation: FleetSimulation;
  limited: LimitResult;
  log(text: string): void;
}

const scenario = world as unknown as LimitWorld;

const ENGINE = {
  slots: 4,
  kvTokens: 70_000,
  reservationMs: 2000,
  prefillLifeMs: 500,
  roleChangeMs: 6000,
};

const SIMULATION = { timeout: 180_000 } as const;

const QUIET_MS = 1500;

const LIFT_MS = 16_000;

const LOAD: Omit<LimitLoad, 'seed' | 'kind'> = {
  limits: [0, 0.2, 1, 1.8, 4.3, 20],
  load: 4,
  liftMs: LIFT_MS,
  durationMs: 24_000,
};

/** What a server may say that holds for some seconds. */
const NOTICES: Readonly<Record<string, (server: CatalogServer) => void>> = {
  'asks for quiet': (server) =>
    scenario.relay.recordNotice(server, {
      ...{ leaving: false, requestsPerSecond: undefined, quietMs: QUIET_MS },
    }),
  'turns cold': (server) =>
    scenario.relay.recordEntries([{ id: server.id, server: { ...server, coldForMs: QUIET_MS } }]),
  'starts again': ({ id, startedAtMs }) => {
    const server = { ...scenario.relay.catalog.find(id)!, startedAtMs: startedAtMs + 1 };
    scenario.relay.catalog.replace([server], 0);
  },
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

Given(
  /^the limits of the relay's servers are those of cold ones, (\d+) requests a second$/,
  (perSecond: string) => {
    const pool = { name: 'pool', mostConnections: 0, engine: undefined };
    const cold = { coldMs: QUIET_MS, perSecond: Number(perSecond) };
    // The requests of these scenarios bring a configuration of their own, which is not newer than this one.
    const { engines } = scenario as unknown as { engines: boolean };
    const engine = engines ? ENGINE : undefined;
    const routes = [createRelayRoute({ kind: engines ? 'stream' : 'once', timeoutMs: 6000 })];
    const pools = [{ ...pool, engine, cold }];
    scenario.relay.configure(createRelayConfiguration({ routes, pools }));
  },
);

When(
  /^the limits of the relay learn that (\w+) (asks for quiet|turns cold|starts again)$/,
  (id: string, notice: string) => NOTICES[notice]!(scenario.relay.catalog.find(id)!),
);

When(
  /^the limits of the relay will learn while a prompt is read that (\w+) (asks for quiet|turns cold)$/,
  (id: string, notice: string) => {
    scenario.upstream.duringPrefill = () => NOTICES[notice]!(scenario.relay.catalog.find(id)!);
  },
);

Then(
  /^the limits of the relay let (\d+) of (\d+) requests through to (\w+)$/,
  (most: string, count: string, id: string) => {
    const { limits, catalog } = scenario.relay;
    const nowMs = SystemClock.create().monotonicMs();
    const charges = Array.from({ length: Number(count) }, () => {
      const charge = limits.tryAcquire(catalog.find(id)!, nowMs);
      charge?.begin(nowMs);
      return charge;
    });
    assert.equal(charges.filter(Boolean).length, Number(most));
  },
);

Then('the limits of the relay are as before after {int} ms', async (ms: number) => {
  const { limits, catalog } = scenario.relay;
  const nowMs = SystemClock.create().monotonicMs();
  assert.ok(limits.estimateWaitMs(catalog.all, 1, nowMs) <= ms);
  await setTimeout(ms);
  const laterMs = SystemClock.create().monotonicMs();
  assert.equal(limits.select(catalog.all, laterMs).length, catalog.all.length);
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
