import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { registerFake } from '../../harness/module-fakes.js';
import type { BackendServer, EngineServer, PlainServer } from '../../src/domain/backend-server.js';
import type { ModelRequest } from '../../src/domain/request.js';
import { ManualClock } from '../../src/kernel/manual-clock.js';
import { succeed } from '../../src/kernel/outcome.js';
import { FailureBackoff } from '../../src/routing/failure-backoff.js';
import type { Assignment, EngineLoad } from '../../src/routing/routing.js';
import { selectSubset } from '../../src/routing/subset.js';
import { SubsetRouting } from '../../src/routing/subset-routing.js';
import { createFakeServices, createState, type FakeServices } from '../support/fake-services.js';
import { createEngineServer } from '../support/servers.js';

interface RoutingState {
  fakes: FakeServices;
  routing: SubsetRouting;
  clock: ManualClock;
  polls: string[];
  first?: string;
}

interface RoutingWorld {
  routing?: RoutingState;
}

const scenario = world as unknown as RoutingWorld;

const NONE: ReadonlySet<string> = new Set();
const PROMPT = 'word '.repeat(200);

function stateOf(): RoutingState {
  assert.ok(scenario.routing);
  return scenario.routing;
}

function createPlain(name: string): PlainServer {
  const address = { host: '127.0.0.1', port: 1 };
  return { kind: 'service', name, address, availabilityZone: 'a', draining: false, pool: 'yard' };
}

function createLoad(changes: Partial<EngineLoad> = {}): EngineLoad {
  const load = { slotsFree: 20, blocksFree: 256, queuedPrefillTokens: 0, level: 0 };
  return { ...load, draining: false, incarnation: 'run1', ...changes };
}

function createRequest(prompt = 'prompt'): ModelRequest {
  return {
    requestId: 'q1',
    team: 'oval',
    keyId: undefined,
    model: 'planner',
    prompt,
    promptTokens: 10,
    maxTokens: 10,
    fingerprint: 'print1',
    arrivedMs: 0,
    traceparent: undefined,
  };
}

function createAssignment(changes: Partial<Assignment>): Assignment {
  return {
    server: 'e1',
    attemptId: 'a0',
    fingerprint: 'print1',
    phase: 'decode',
    blocks: 1,
    promptTokens: 10,
    suspect: false,
    ...changes,
  };
}

async function createRouting(servers: readonly BackendServer[]): Promise<RoutingState> {
  const fakes = createFakeServices(servers);
  const clock = ManualClock.create(1000);
  const routing = SubsetRouting.create(fakes.kernel, fakes.settings, clock);
  const polls: string[] = [];
  fakes.kernel.register('routing', routing);
  registerFake(fakes.kernel, 'backends', {
    engine: ({ name }: EngineServer) => ({
      load: async () => {
        polls.push(`load ${name}`);
        return succeed(createLoad());
      },
      cacheEvents: async () => {
        polls.push(`cache ${name}`);
        return succeed([]);
      },
    }),
  });
  await fakes.kernel.start();
  await settle();
  clock.advance(1);
  return { fakes, routing, clock, polls };
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, 2);
  });
}

function collectNames(choose: () => string | undefined): string {
  const names = Array.from({ length: 200 }, choose);
  return [...new Set(names)].sort().join(' ');
}

Given('routing over the engines {string}', async (names: string) => {
  scenario.routing = await createRouting(names.split(' ').map((name) => createEngineServer(name)));
});

Given('routing over the plain servers {string}', async (names: string) => {
  scenario.routing = await createRouting(names.split(' ').map(createPlain));
});

After(async () => {
  await scenario.routing?.routing.stop();
});

async function configure(state: RoutingState, servers: readonly BackendServer[]): Promise<void> {
  Object.assign(state.fakes, { state: createState(servers, 2) });
  state.fakes.changes.push(state.fakes.state);
  await settle();
}

When('routing learns that {string} is draining by configuration', async (name: string) => {
  const state = stateOf();
  const servers = [...state.fakes.state.servers.values()];
  const drain = (server: BackendServer) => ({ ...server, draining: server.name === name });
  await configure(state, servers.map(drain));
});

When('routing learns that {string} is draining by load report', (name: string) => {
  stateOf().routing.observe(name, createLoad({ draining: true }));
});

When('routing learns that {string} is draining by vm list', async (name: string) => {
  stateOf().fakes.listings.push({ vms: [], servers: [{ name, state: 'leaving' }] });
  await settle();
});

When('routing learns that plain {string} is draining', (name: string) => {
  stateOf().routing.observeDraining(name);
});

When('routing learns that the entry of {string} changed', async (name: string) => {
  const state = stateOf();
  const servers = [...state.fakes.state.servers.values()];
  const copy = (server: BackendServer) => (server.name === name ? { ...server } : server);
  await configure(state, servers.map(copy));
});

When('routing learns that {string} failed', (name: string) => {
  stateOf().routing.observeFailure(name, false);
});

When('routing assigns {int} decodes to {string}', (count: number, server: string) => {
  const { routing } = stateOf();
  for (let index = 0; index < count; index += 1) {
    routing.assign(createAssignment({ server, attemptId: `a${index}` }));
  }
});

When('routing assigns a suspect to {string}', (server: string) => {
  stateOf().routing.assign(createAssignment({ server, suspect: true }));
});

When(
  'routing hears {int} ms later that {string} has {int} slots',
  (ms: number, server: string, slotsFree: number) => {
    const { clock, routing } = stateOf();
    clock.advance(ms);
    routing.observe(server, createLoad({ slotsFree }));
  },
);

When('routing ends a decode on {string}', (server: string) => {
  const { fakes, routing } = stateOf();
  fakes.capacityChanges = 0;
  routing.unassign('a0', server);
});

When('routing prefills a long prompt on one engine', () => {
  const state = stateOf();
  state.first = state.routing.choosePrefill(createRequest(PROMPT), NONE, false)?.name ?? '';
});

When(
  'routing hears that this engine has {int} more queued tokens',
  (queuedPrefillTokens: number) => {
    const { routing, first } = stateOf();
    routing.observe(first ?? '', createLoad({ queuedPrefillTokens }));
  },
);

When(
  'routing measures a prefill of {int} tokens in {int} ms on {string}',
  (promptTokens: number, ms: number, server: string) => {
    const { clock, routing } = stateOf();
    routing.assign(createAssignment({ server, phase: 'prefill', promptTokens }));
    clock.advance(ms);
    routing.observePrefill('a0', server, promptTokens);
    routing.unassign('a0', server);
  },
);

When(
  'routing hears that {string} has {int} queued tokens',
  (server: string, queuedPrefillTokens: number) => {
    stateOf().routing.observe(server, createLoad({ queuedPrefillTokens }));
  },
);

When(
  'routing starts and hears from {string} but not from {string} for a second',
  async (heard: string, silent: string) => {
    const { clock, routing, polls } = stateOf();
    assert.notEqual(heard, silent);
    polls.length = 0;
    for (let tick = 0; tick < 30; tick += 1) {
      clock.advance(100);
      routing.observe(heard, createLoad());
      await settle();
    }
  },
);

Then('routing decodes and prefills only on {string}', (names: string) => {
  const { routing } = stateOf();
  const request = createRequest();
  assert.equal(
    collectNames(() => routing.chooseDecode(request, 1, NONE, false)?.name),
    names,
  );
  assert.equal(
    collectNames(() => routing.choosePrefill(request, NONE, false)?.name),
    names,
  );
});

Then('routing sends plain requests only to {string}', (names: string) => {
  const { routing } = stateOf();
  assert.equal(
    collectNames(() => routing.chooseService('yard', NONE)?.name),
    names,
  );
});

Then('routing has headroom {int} for {string}', (slots: number, model: string) => {
  assert.equal(stateOf().routing.headroom(model), slots);
});

Then('routing told admission that capacity changed', () => {
  assert.equal(stateOf().fakes.capacityChanges, 1);
});

Then('routing finds no server for another suspect but one for others', () => {
  const { routing } = stateOf();
  assert.equal(routing.chooseDecode(createRequest(), 1, NONE, true), undefined);
  assert.equal(routing.choosePrefill(createRequest(), NONE, true), undefined);
  assert.equal(routing.chooseDecode(createRequest(), 1, NONE, false)?.name, 'e1');
});

Then('routing prefills the same prompt there again', () => {
  const { routing, first } = stateOf();
  const choose = () => routing.choosePrefill(createRequest(PROMPT), NONE, false)?.name;
  assert.equal(collectNames(choose), first);
});

Then('routing prefills the same prompt elsewhere', () => {
  const { routing, first } = stateOf();
  assert.notEqual(routing.choosePrefill(createRequest(PROMPT), NONE, false)?.name, first);
});

Then('routing expects a prefill wait of {int} ms', (ms: number) => {
  assert.equal(stateOf().routing.prefillWaitMs('planner'), ms);
});

Then(
  'routing polled the load of {string} more often than that of {string}',
  (polled: string, heard: string) => {
    const { polls } = stateOf();
    const count = (name: string) => polls.filter((poll) => poll === `load ${name}`).length;
    assert.ok(count(polled) >= 2, `${count(polled)} polls`);
    assert.equal(count(heard), 0);
  },
);

Then('routing polled cache events of both engines', () => {
  const { polls } = stateOf();
  assert.ok(polls.includes('cache e1') && polls.includes('cache e2'));
});

function createFleet(count: number): EngineServer[] {
  const zones = ['a', 'b', 'c'];
  return Array.from({ length: count }, (_, index) =>
    createEngineServer(`server-${index}`, 1, zones[index % 3]),
  );
}

Then(
  'the routing subset of {int} servers in 3 zones has {int} with {int} in the own zone',
  (count: number, size: number, own: number) => {
    const subset = selectSubset('planner/decode/vm1', createFleet(count), 'a');
    assert.equal(subset.length, size);
    assert.equal(new Set(subset).size, size);
    assert.equal(subset.filter(({ availabilityZone }) => availabilityZone === 'a').length, own);
  },
);

Then(
  'routing subsets of {int} VMs load each of {int} servers with at most {int} times the mean',
  (vms: number, count: number, factor: number) => {
    const uses = new Map<string, number>();
    const fleet = createFleet(count);
    for (let vm = 0; vm < vms; vm += 1) {
      const zone = ['a', 'b', 'c'][vm % 3] ?? 'a';
      selectSubset(`planner/decode/vm-${vm}`, fleet, zone).forEach(({ name }) => {
        uses.set(name, (uses.get(name) ?? 0) + 1);
      });
    }
    const mean = (vms * 16) / count;
    assert.equal(uses.size, count);
    assert.ok(Math.max(...uses.values()) <= mean * factor);
  },
);

Then(
  'routing avoids a server for {int}, {int}, {int} ms after failures in a row',
  (first: number, second: number, third: number) => {
    const backoff = FailureBackoff.create();
    let nowMs = 0;
    [first, second, third].forEach((ms) => {
      backoff.fail(nowMs);
      backoff.fail(nowMs + 1);
      assert.ok(backoff.avoided(nowMs + ms - 1) && !backoff.avoided(nowMs + ms));
      nowMs += ms;
    });
    backoff.fail(nowMs + 40_000);
    assert.ok(!backoff.avoided(nowMs + 40_250), 'an old failure is forgotten');
  },
);
