import assert from 'node:assert/strict';

import { When, Then, world } from '@cucumber/cucumber';

import type { FleetSimulation } from '../../harness/fleet-simulation.js';
import {
  findWorstWindow,
  listRetries,
  simulateRetries,
  type RetryLoad,
  type RetryResult,
} from '../support/retry-simulation.js';

interface RetryWorld {
  simulation: FleetSimulation;
  retries: RetryResult;
}

const scenario = world as unknown as RetryWorld;

const SIMULATION = { timeout: 180_000 } as const;

/** Two bursts at whose start all servers reset their runs. */
const BURSTS: RetryLoad['resets'] = [
  [11_000, 15_000],
  [21_000, 25_000],
];

const LOAD: Omit<RetryLoad, 'seed'> = {
  durationMs: 34_000,
  requestsPerSecond: 40,
  resets: BURSTS,
};

/** Time between the restarts of two VMs, in milliseconds. */
const RESTART_INTERVAL_MS = 400;

When(
  'all servers reset the runs of the simulated fleet in two bursts, with seed {int}',
  SIMULATION,
  async (seed: number) => {
    scenario.retries = await simulateRetries(scenario.simulation, { ...LOAD, seed });
  },
);

When(
  'all servers reset the runs of the simulated fleet in two bursts while its VMs restart in turn, with seed {int}',
  SIMULATION,
  async (seed: number) => {
    const { simulation } = scenario;
    const waiting = [...simulation.vms];
    const disturb = async (elapsedMs: number) => {
      if (elapsedMs < BURSTS[0]![0] || elapsedMs % RESTART_INTERVAL_MS > 0) return;
      const vm = waiting.shift();
      if (!vm) return;
      await vm.fleet.stop();
      await simulation.replace(vm);
    };
    scenario.retries = await simulateRetries(simulation, { ...LOAD, seed, disturb });
  },
);

When(
  'all servers reset the runs of the simulated fleet in two bursts while half of its VMs are cut off from the others, with seed {int}',
  SIMULATION,
  async (seed: number) => {
    const { simulation } = scenario;
    const half = simulation.vms.length / 2;
    const disturb = async (elapsedMs: number) => {
      if (elapsedMs === 10_000) simulation.split(half);
      if (elapsedMs === 22_000) simulation.split(undefined);
      return Promise.resolve();
    };
    scenario.retries = await simulateRetries(simulation, { ...LOAD, seed, disturb });
  },
);

When(
  'servers reset the runs of the first {int} VMs of the simulated fleet for {int} ms, with seed {int}',
  SIMULATION,
  async (failingVms: number, ms: number, seed: number) => {
    scenario.retries = await simulateRetries(scenario.simulation, {
      ...LOAD,
      seed,
      failingVms,
      resets: [[11_000, 11_000 + ms]],
    });
  },
);

Then('the servers see no more retries than allowed in any window', () => {
  const { fromMs, retries, allowed } = findWorstWindow(scenario.retries);
  assert.ok(retries <= allowed, `${retries} of ${allowed} from ${fromMs} ms`);
});

Then('the servers see at least half of the retries that are allowed in a window', () => {
  const { fromMs, retries, allowed } = findWorstWindow(scenario.retries);
  assert.ok(retries >= allowed / 2, `${retries} of ${allowed} from ${fromMs} ms`);
});

Then('at most {int} requests of the simulated fleet are cut', (most: number) => {
  const { cut, arrivals } = scenario.retries;
  assert.ok(listRetries(arrivals).length > 0);
  assert.ok(cut <= most, `${cut}`);
});
