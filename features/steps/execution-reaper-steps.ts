import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { registerFake } from '../../harness/module-fakes.js';
import type { BackendServer } from '../../src/domain/backend-server.js';
import type { Incarnation } from '../../src/domain/vm.js';
import { ObservingHoldReaper } from '../../src/execution/observing-hold-reaper.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { ManualClock } from '../../src/kernel/manual-clock.js';
import { succeed } from '../../src/kernel/outcome.js';
import type { PeerHandlers } from '../../src/peers/peers.js';
import { createState, waitUntil } from '../support/fake-services.js';
import { createEngineServer } from '../support/servers.js';

interface ReaperState {
  reaper: ObservingHoldReaper;
  kernel: Kernel;
  clock: ManualClock;
  holds: object[];
  listed: number;
  cancelled: string[];
  handlers: PeerHandlers;
  /** What the fakes say of the owner of the hold. */
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
  const rest = { holds: [], listed: 0, cancelled: [], handlers: {}, owner: '' };
  const state: ReaperState = { reaper, kernel, clock, ...rest };
  registerFake(kernel, 'configuration', { current: () => createState(servers) });
  registerFake(kernel, 'metrics', { increment: () => {} });
  registerFake(kernel, 'membership', {
    self: () => ({ vm: self, incarnation: 'i1' }),
    current: () => ({ epoch: 1, members: vms.map((vm) => ({ vm, incarnation: 'i1' })) }),
    isGone: async () => state.owner.endsWith('fenced'),
  });
  registerNeighbours(kernel, state);
  kernel.register('holds', reaper);
  return state;
}

function registerNeighbours(kernel: Kernel, state: ReaperState): void {
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
      holds: async () => {
        Object.assign(state, { listed: state.listed + 1 });
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
  // One of the first names is an engine that vm1 observes, whatever the hash.
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
    await waitUntil(() => state.listed > 0, 'the first round has begun');
    Object.assign(state, { owner, holds: [{ ...ids, kind: 'decode', blocks: 1, ageMs }] });
    const before = state.listed;
    await waitUntil(() => {
      state.clock.advance(1000);
      return state.listed > before + 2;
    }, 'the hold was seen');
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
  'the hold reaper answers a peer that attempt {string} is unknown',
  async (attemptId: string) => {
    const { handlers } = stateOf();
    const handler = handlers.unknownAttempts as unknown as (request: object) => object;
    const answer = await handler({ attemptIds: [attemptId] });
    assert.deepEqual(answer, { incarnation: 'i1', unknownAttemptIds: [attemptId] });
  },
);
