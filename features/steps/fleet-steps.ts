import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import {
  FleetSimulation,
  FLEET_TEAM,
  OVERLOADING_TEAM,
  type SimulatedVm,
} from '../../harness/fleet-simulation.js';

interface FleetWorld {
  simulation?: FleetSimulation;
  /** Tokens that VMs have spent while alive. */
  spent: number;
  /** Level of the team's bucket at each VM before that spending. */
  levels: number[];
  /** Tokens admitted for the overloading team, and the duration of its overload. */
  overload?: { admitted: number; ms: number };
}

const scenario = world as unknown as FleetWorld;

/** A simulation of a few hundred VMs takes longer than real time on a busy machine. */
const SIMULATION = { timeout: 180_000 } as const;

/** Tokens of one request of the overloading team. */
const OVERLOADING_REQUEST_TOKENS = 5000;

/** Duration of a traffic measurement, in milliseconds. */
const MEASURED_MS = 4000;

function simulationOf(): FleetSimulation {
  assert.ok(scenario.simulation);
  return scenario.simulation;
}

function findWrongCounts(server: string, each: number): string[] {
  const { liveVms } = simulationOf();
  const expected = each * liveVms.length;
  return liveVms
    .map(({ name, loads }) => ({ name, running: loads.totalAt(server).running }))
    .filter(({ running }) => running !== expected)
    .map(({ name, running }) => `${name} counts ${running} of ${expected}`);
}

function findIncompleteViews(): string[] {
  const { liveVms } = simulationOf();
  const names = liveVms.map(({ name }) => name).sort();
  return liveVms
    .filter(({ name, fleet }) => {
      const reachable = [name, ...fleet.peers.map(({ vm }) => vm)].sort();
      return reachable.join() !== names.join();
    })
    .map(({ name, fleet }) => `${name} reaches ${fleet.peers.length} VMs`);
}

/** Reads the level of the bucket by asking for more tokens than it holds, which charges nothing. */
function readLevel({ rateLimiter }: SimulatedVm): number {
  const nowMs = simulationOf().clock.monotonicMs();
  const metering = rateLimiter.admit(FLEET_TEAM.name, FLEET_TEAM, FLEET_TEAM.burstTokens, nowMs);
  assert.ok(metering.kind === 'exceeded');
  return metering.level;
}

After(async () => {
  await Promise.all((scenario.simulation?.vms ?? []).map(({ fleet }) => fleet.stop()));
});

Given('a simulated fleet of {int} VMs', SIMULATION, async (count: number) => {
  scenario.simulation = await FleetSimulation.create(count);
});

Given('datagrams of the simulated fleet that take {int} ms', (ms: number) => {
  simulationOf().delayMs = ms;
});

Given('a simulated fleet of {int} VMs that restart at once', SIMULATION, async (count: number) => {
  scenario.simulation = await FleetSimulation.restart(count);
});

When(
  'a team sends {int} times its rate through all VMs of the simulated fleet for {int} ms',
  SIMULATION,
  async (times: number, ms: number) => {
    const simulation = simulationOf();
    const { name, tokensPerSecond } = OVERLOADING_TEAM;
    const pauseMs = (1000 * OVERLOADING_REQUEST_TOKENS) / (times * tokensPerSecond);
    scenario.overload = { admitted: 0, ms };
    let nextMs = 0;
    for (let passed = 0; passed < ms; passed += 20) {
      for (; nextMs <= passed; nextMs += pauseMs) {
        const { rateLimiter } =
          simulation.vms[Math.round(nextMs / pauseMs) % simulation.vms.length]!;
        const nowMs = simulation.clock.monotonicMs();
        const { kind } = rateLimiter.admit(
          name,
          OVERLOADING_TEAM,
          OVERLOADING_REQUEST_TOKENS,
          nowMs,
        );
        if (kind === 'admitted') scenario.overload.admitted += OVERLOADING_REQUEST_TOKENS;
      }
      await simulation.advance(20);
    }
  },
);

Then('the simulated fleet has admitted at most burst + rate × time of the team', () => {
  const { admitted, ms } = scenario.overload!;
  const maximum = OVERLOADING_TEAM.burstTokens + (OVERLOADING_TEAM.tokensPerSecond * ms) / 1000;
  assert.ok(admitted <= maximum, `admitted ${admitted} tokens, at most ${maximum} expected`);
});

Then('the simulated fleet has admitted at least half of rate × time of the team', () => {
  const { admitted, ms } = scenario.overload!;
  const minimum = (0.5 * OVERLOADING_TEAM.tokensPerSecond * ms) / 1000;
  assert.ok(admitted >= minimum, `admitted ${admitted} tokens, at least ${minimum} expected`);
});

When('{int} ms pass in the simulated fleet', SIMULATION, async (ms: number) => {
  await simulationOf().advance(ms);
});

When(
  'each VM of the simulated fleet takes {int} requests to the server {string}',
  (running: number, server: string) => {
    simulationOf().liveVms.forEach(({ loads }) => loads.add(server, { running }));
  },
);

When('the first {int} VMs of the simulated fleet die', (count: number) => {
  simulationOf()
    .vms.slice(0, count)
    .forEach((vm) => Object.assign(vm, { alive: false }));
});

When(
  'each VM of the simulated fleet spends {int} tokens a second for {int} s while the first {int} VMs die',
  SIMULATION,
  async (perSecond: number, seconds: number, dead: number) => {
    const simulation = simulationOf();
    scenario.spent = 0;
    scenario.levels = simulation.vms.map(readLevel);
    for (let tenth = 0; tenth < 10 * seconds; tenth += 1) {
      if (tenth === 30) {
        simulation.vms.slice(0, dead).forEach((vm) => Object.assign(vm, { alive: false }));
      }
      simulation.liveVms.forEach(({ rateLimiter }) => {
        const nowMs = simulation.clock.monotonicMs();
        rateLimiter.admit(FLEET_TEAM.name, FLEET_TEAM, perSecond / 10, nowMs);
        scenario.spent += perSecond / 10;
      });
      await simulation.advance(100);
    }
    await simulation.advance(2000);
  },
);

When('VM {int} of the simulated fleet begins to stop', (index: number) => {
  simulationOf().vms[index]!.fleet.drain();
});

When(
  'VM {int} of the simulated fleet observes that the server {string} is leaving',
  (index: number, server: string) => {
    simulationOf().vms[index]!.catalog.recordLeaving(server, 5);
  },
);

/** Cost of a stream in milliseconds and tokens. */
const STREAM_COST = { prefillMs: 100, decodeMs: 3000, kvTokens: 8000 };

When(
  'each VM of the simulated fleet ends a stream of 100 ms prefill, 3000 ms decode and 8000 tokens each second for {int} s',
  SIMULATION,
  async (seconds: number) => {
    const { liveVms, clock } = simulationOf();
    for (let second = 0; second < seconds; second += 1) {
      liveVms.forEach(({ costs }) => {
        costs.add('planner', STREAM_COST, clock.monotonicMs());
        costs.average('planner', clock.monotonicMs());
      });
      await simulationOf().advance(1000);
    }
  },
);

Then('each VM of the simulated fleet knows this cost of a stream', () => {
  const { liveVms, clock } = simulationOf();
  liveVms.forEach(({ name, costs }) => {
    const average = costs.average('planner', clock.monotonicMs());
    assert.ok(average, `${name} knows no cost`);
    assert.ok(Math.abs(average.prefillMs - STREAM_COST.prefillMs) < 2, `${average.prefillMs}`);
    assert.ok(Math.abs(average.decodeMs - STREAM_COST.decodeMs) < 60, `${average.decodeMs}`);
    assert.ok(Math.abs(average.kvTokens - STREAM_COST.kvTokens) < 160, `${average.kvTokens}`);
  });
});

Then('each VM of the simulated fleet reaches all others', () => {
  assert.deepEqual(findIncompleteViews(), []);
});

Then(
  'each VM of the simulated fleet counts {int} requests of each at the server {string}',
  (each: number, server: string) => {
    assert.deepEqual(findWrongCounts(server, each), []);
  },
);

Then('the simulated fleet stays in this state for {int} ms', SIMULATION, async (ms: number) => {
  for (let passed = 0; passed < ms; passed += 200) {
    await simulationOf().advance(200);
    assert.deepEqual(
      [...findIncompleteViews(), ...findWrongCounts('s', 2)],
      [],
      `after ${passed} ms`,
    );
  }
});

Then(
  'half of the VMs of the simulated fleet carry at most {int} bytes a second',
  SIMULATION,
  async (most: number) => {
    const simulation = simulationOf();
    simulation.vms.forEach((vm) => Object.assign(vm, { bytes: 0 }));
    await simulation.advance(MEASURED_MS);
    const rates = simulation.vms.map(({ bytes }) => (1000 * bytes) / MEASURED_MS);
    rates.sort((left, right) => left - right);
    const median = rates[Math.floor(rates.length / 2)]!;
    assert.ok(median <= most, `median ${median} bytes a second, maximum ${rates.at(-1)}`);
  },
);

Then(
  'each VM of the simulated fleet has counted {int} to {int} percent of what was spent',
  (least: number, most: number) => {
    const simulation = simulationOf();
    const counted = simulation.liveVms.map((vm) => {
      const used = scenario.levels[simulation.vms.indexOf(vm)]! - readLevel(vm);
      return { name: vm.name, percent: (100 * used) / scenario.spent };
    });
    assert.deepEqual(
      counted.filter(({ percent }) => percent < least || percent > most),
      [],
    );
  },
);

Then('each other VM of the simulated fleet knows that VM {int} stops', (index: number) => {
  const { vms } = simulationOf();
  const stopping = vms[index]!.name;
  const unaware = vms.filter(
    ({ name, fleet }) =>
      name !== stopping && fleet.peers.some(({ vm, draining }) => vm === stopping && !draining),
  );
  assert.deepEqual(
    unaware.map(({ name }) => name),
    [],
  );
});

Then(
  'each VM of the simulated fleet knows that the server {string} is leaving',
  (server: string) => {
    const unaware = simulationOf().vms.filter(({ catalog }) => !catalog.leavers.has(server));
    assert.deepEqual(
      unaware.map(({ name }) => name),
      [],
    );
  },
);
