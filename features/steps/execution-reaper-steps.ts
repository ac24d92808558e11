import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { createEngineServer } from '../../harness/model-fixtures.js';
import { registerFake } from '../../harness/module-fakes.js';
import type { HoldFilter } from '../../src/backends/engine.js';
import type { BackendServer } from '../../src/domain/backend-server.js';
import type { Incarnation } from '../../src/domain/vm.js';
import { ObservingHoldReaper } from '../../src/execution/observing-hold-reaper.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { ManualClock } from '../../src/kernel/manual-clock.js';
import { succeed } from '../../src/kernel/outcome.js';
import type { PeerHandlers } from '../../src/peers/peers.js';
import { createState, waitUntil } from '../support/fake-services.js';

interface ReaperState {
  reaper: ObservingHoldReaper;
  kernel: Kernel;
  clock: ManualClock;
  holds: object[];
  listed: number;
  filters: (HoldFilter | undefined)[];
  gone: readonly Incarnation[] | undefined;
  cancelled: string[];
  handlers: PeerHandlers;
  /** Description of the owner of the hold, from which the fakes derive their answers. */
  owner: string;
}

interface ReaperWorld {
  reaper?: ReaperState;
}

const scenario = world as unknown as ReaperWorld;

function stateOf(): ReaperState {
  assert.ok(scenario.reaper);
  return scenario.reaper;
}

function createReaper(self: string, vms: readonly string[], servers: BackendServer[]): ReaperState {
  const kernel = Kernel.create();
  const clock = ManualClock.create();
  const reaper = ObservingHoldReaper.create(kernel, clock);
  const rest = {
    holds: [],
    listed: 0,
    filters: [],
    gone: [],
    cancelled: [],
    handlers: {},
    owner: '',
  };
  const state: ReaperState = { reaper, kernel, clock, ...rest };
  registerFake(kernel, 'configuration', { current: () => createState(servers) });
  registerFake(kernel, 'metrics', { increment: () => {} });
  registerFake(kernel, 'membership', {
    self: () => ({ vm: self, incarnation: 'i1' }),
    current: () => ({ epoch: 1, members: vms.map((vm) => ({ vm, incarnation: 'i1' })) }),
    recentlyRemoved: () => state.gone,
    hasEnded: async () => state.owner.endsWith('fenced'),
  });
  registerDependencies(kernel, state);
  kernel.register('holds', reaper);
  return state;
}

function registerDependencies(kernel: Kernel, state: ReaperState): void {
  const isUnknown = () => !state.owner.endsWith(', known');
  registerFake(kernel, 'model-execution', {
    unknownAttempts: (attemptIds: readonly string[]) => (isUnknown() ? attemptIds : []),
  });
  registerFake(kernel, 'peers', {
    handle: (handlers: PeerHandlers) => Object.assign(state.handlers, handlers),
    client: () => ({
      unknownAttempts: async ({ attemptIds }: { attemptIds: string[] }) => {
        if (state.owner.endsWith('unreachable')) throw new Error('unreachable');
        const incarnation = state.owner.endsWith('other incarnation') ? 'i2' : 'i1';
        return { incarnation, unknownAttemptIds: isUnknown() ? attemptIds : [] };
      },
    }),
  });
  registerFake(kernel, 'backends', {
    engine: () => ({
      holds: async (filter?: HoldFilter) => {
        Object.assign(state, { listed: state.listed + 1 });
        state.filters.push(filter);
        return succeed({ incarnation: 'run1', holds: state.holds });
      },
      cancel: async (attemptId: string) => {
        state.cancelled.push(attemptId);
        return succeed(undefined);
      },
    }),
  });
}

function ownerOf(description: string): Incarnation {
  if (description.startsWith('a VM')) return { vm: 'vm9', incarnation: 'i1' };
  if (description.startsWith('a peer')) return { vm: 'vm2', incarnation: 'i1' };
  return { vm: 'vm1', incarnation: description.endsWith('old incarnation') ? 'i0' : 'i1' };
}

Given('a hold reaper that observes an engine alone', async () => {
  // Among 20 engines, vm1 observes at least one, whatever the hash is.
  const names = Array.from({ length: 20 }, (_, index) => `engine${index}`);
  const probe = createReaper(
    'vm1',
    ['vm1', 'vm2'],
    names.map((name) => createEngineServer(name)),
  );
  const [name] = probe.reaper.observed();
  assert.ok(name);
  scenario.reaper = createReaper('vm1', ['vm1', 'vm2'], [createEngineServer(name)]);
  await scenario.reaper.kernel.start();
});

After(async () => {
  await scenario.reaper?.reaper.stop();
});

When(
  'the hold reaper finds a hold of {string} that is {int} ms old',
  async (owner: string, ageMs: number) => {
    const state = stateOf();
    const ids = { requestId: 'q1', attemptId: 'attempt1', owner: ownerOf(owner) };
    await waitUntil(() => state.listed > 0, 'the first scan has started');
    Object.assign(state, { owner, holds: [{ ...ids, kind: 'decode', blocks: 1, ageMs }] });
    const before = state.listed;
    await waitUntil(() => {
      state.clock.advance(1000);
      return state.listed > before + 2;
    }, 'the hold was seen');
  },
);

async function runForMinute(state: ReaperState, gone: readonly Incarnation[] | undefined) {
  await waitUntil(() => state.listed > 0, 'the first scan has started');
  Object.assign(state, { gone });
  for (let scan = 1; scan < 60; scan += 1) {
    state.clock.advance(1000);
    await waitUntil(() => state.listed > scan, `scan ${scan} has started`);
  }
}

When(
  /^the hold reaper runs for a minute (with a log|during log outage)$/,
  async (circumstances: string) => {
    await runForMinute(stateOf(), circumstances === 'with a log' ? [] : undefined);
  },
);

When(
  '{string} no longer runs and the hold reaper runs for a minute with a log',
  async (name: string) => {
    const [vm = '', incarnation = ''] = name.split('/');
    await runForMinute(stateOf(), [{ vm, incarnation }]);
  },
);

Then('the hold reaper has asked for all holds {int} times', (times: number) => {
  const { filters } = stateOf();
  assert.equal(filters.filter((filter) => !filter).length, times);
});

Then(
  'the hold reaper has otherwise asked for holds without a call for {int} ms',
  (idleMs: number) => {
    const filters = stateOf().filters.filter((filter) => filter !== undefined);
    assert.ok(filters.length > 0);
    assert.ok(filters.every((filter) => filter.idleMs === idleMs));
  },
);

Then(
  'the hold reaper has asked for the holds of {string} {int} times',
  (name: string, times: number) => {
    const named = stateOf().filters.flatMap((filter) => filter?.gone ?? []);
    const names = named.map(({ vm, incarnation }) => `${vm}/${incarnation}`);
    assert.deepEqual([...new Set(names)], [name]);
    assert.equal(names.length, times);
  },
);

Then('the hold reaper has {string} it', (result: string) => {
  const { cancelled } = stateOf();
  assert.equal(cancelled.length > 0 ? 'released' : 'kept', result);
  assert.ok(cancelled.every((attemptId) => attemptId === 'attempt1'));
});

Then(
  'hold reapers of {int} VMs observe each of {int} engines exactly once',
  (vmCount: number, engineCount: number) => {
    const vms = Array.from({ length: vmCount }, (_, index) => `vm${index}`);
    const names = Array.from({ length: engineCount }, (_, index) => `engine${index}`);
    const servers = names.map((name) => createEngineServer(name));
    const observed = vms.flatMap((vm) => createReaper(vm, vms, servers).reaper.observed());
    assert.deepEqual([...observed].sort(), [...names].sort());
  },
);

Then(
  'a hold reaper of {int} VMs selects its part of {int} engines again within {int} ms',
  (vmCount: number, engineCount: number, mostMs: number) => {
    const vms = Array.from({ length: vmCount }, (_, index) => `vm${index}`);
    const names = Array.from({ length: engineCount }, (_, index) => `engine${index}`);
    const servers = names.map((name) => createEngineServer(name));
    const { reaper, kernel } = createReaper('vm1', vms, servers);
    const state = createState(servers);
    Object.assign(kernel.find('configuration'), { current: () => state });
    const first = reaper.observed();
    const startMs = performance.now();
    assert.deepEqual(reaper.observed(), first);
    const takenMs = performance.now() - startMs;
    assert.ok(takenMs <= mostMs, `${takenMs} ms`);
  },
);

Then(
  'the hold reaper answers a peer that attempt {string} is unknown',
  async (attemptId: string) => {
    const { handlers } = stateOf();
    const handler = handlers.unknownAttempts as unknown as (request: object) => object;
    const answer = await handler({ attemptIds: [attemptId] });
    assert.deepEqual(answer, { incarnation: 'i1', unknownAttemptIds: [attemptId] });
  },
);
