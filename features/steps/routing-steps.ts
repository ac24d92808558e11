import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';

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
  silent: Set<string>;
  first?: string;
}

interface RoutingWorld {
  routing?: RoutingState;
}

const NONE: ReadonlySet<string> = new Set();
const PROMPT = 'word '.repeat(200);

function stateOf(world: RoutingWorld): RoutingState {
  assert.ok(world.routing);
  return world.routing;
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
  const silent = new Set<string>();
  fakes.kernel.register('routing', routing);
  registerFake(fakes.kernel, 'backends', {
    engine: ({ name }: EngineServer) => ({
      load: async () => {
        polls.push(`load ${name}`);
        if (silent.has(name)) await new Promise(() => {});
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
  return { fakes, routing, clock, polls, silent };
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

Given('routing over the engines {string}', async function given(this: RoutingWorld, names: string) {
  this.routing = await createRouting(names.split(' ').map((name) => createEngineServer(name)));
});

Given(
  'routing over the plain servers {string}',
  async function given(this: RoutingWorld, names: string) {
    this.routing = await createRouting(names.split(' ').map(createPlain));
  },
);

After(async function after(this: RoutingWorld) {
  await this.routing?.routing.stop();
});

async function configure(state: RoutingState, servers: readonly BackendServer[]): Promise<void> {
  Object.assign(state.fakes, { state: createState(servers, 2) });
  state.fakes.changes.push(state.fakes.state);
  await settle();
}

When(
  'routing learns that {string} is draining by configuration',
  async function when(this: RoutingWorld, name: string) {
    const state = stateOf(this);
    const servers = [...state.fakes.state.servers.values()];
    const drain = (server: BackendServer) => ({ ...server, draining: server.name === name });
    await configure(state, servers.map(drain));
  },
);

When(
  'routing learns that {string} is draining by load report',
  function when(this: RoutingWorld, name: string) {
    stateOf(this).routing.observe(name, createLoad({ draining: true }));
  },
);

When(
  'routing learns that {string} is draining by vm list',
  async function when(this: RoutingWorld, name: string) {
    stateOf(this).fakes.listings.push({ vms: [], servers: [{ name, state: 'leaving' }] });
    await settle();
  },
);

When(
  'routing learns that plain {string} is draining',
  function when(this: RoutingWorld, name: string) {
    stateOf(this).routing.observeDraining(name);
  },
);

When(
  'routing learns that the entry of {string} changed',
  async function when(this: RoutingWorld, name: string) {
    const state = stateOf(this);
    const servers = [...state.fakes.state.servers.values()];
    const copy = (server: BackendServer) => (server.name === name ? { ...server } : server);
    await configure(state, servers.map(copy));
  },
);

When('routing learns that {string} failed', function when(this: RoutingWorld, name: string) {
  stateOf(this).routing.observeFailure(name, false);
});

When(
  'routing assigns {int} decodes to {string}',
  function when(this: RoutingWorld, count: number, server: string) {
    const { routing } = stateOf(this);
    for (let index = 0; index < count; index += 1) {
      routing.assign(createAssignment({ server, attemptId: `a${index}` }));
    }
  },
);

When('routing assigns a suspect to {string}', function when(this: RoutingWorld, server: string) {
  stateOf(this).routing.assign(createAssignment({ server, suspect: true }));
});

When(
  'routing hears {int} ms later that {string} has {int} slots',
  function when(this: RoutingWorld, ms: number, server: string, slotsFree: number) {
    const { clock, routing } = stateOf(this);
    clock.advance(ms);
    routing.observe(server, createLoad({ slotsFree }));
  },
);

When('routing ends a decode on {string}', function when(this: RoutingWorld, server: string) {
  const { fakes, routing } = stateOf(this);
  fakes.capacityChanges = 0;
  routing.unassign('a0', server);
});

When('routing prefills a long prompt on one engine', function when(this: RoutingWorld) {
  const state = stateOf(this);
  state.first = state.routing.choosePrefill(createRequest(PROMPT), NONE, false)?.name ?? '';
});

When(
  'routing hears that this engine has {int} more queued tokens',
  function when(this: RoutingWorld, queuedPrefillTokens: number) {
    const { routing, first } = stateOf(this);
    routing.observe(first ?? '', createLoad({ queuedPrefillTokens }));
  },
);

When(
  'routing measures a prefill of {int} tokens in {int} ms on {string}',
  function when(this: RoutingWorld, promptTokens: number, ms: number, server: string) {
    const { clock, routing } = stateOf(this);
    routing.assign(createAssignment({ server, phase: 'prefill', promptTokens }));
    clock.advance(ms);
    routing.observePrefill('a0', server, promptTokens);
    routing.unassign('a0', server);
  },
);

When(
  'routing hears that {string} has {int} queued tokens',
  function when(this: RoutingWorld, server: string, queuedPrefillTokens: number) {
    stateOf(this).routing.observe(server, createLoad({ queuedPrefillTokens }));
  },
);

When(
  'routing starts and hears from {string} but not from {string} for a second',
  async function when(this: RoutingWorld, heard: string, silent: string) {
    const { clock, routing, polls } = stateOf(this);
    assert.notEqual(heard, silent);
    polls.length = 0;
    for (let tick = 0; tick < 30; tick += 1) {
      clock.advance(100);
      routing.observe(heard, createLoad());
      await settle();
    }
  },
);

When(
  /^no answer comes from "(.*)" for two seconds (with|without) requests$/,
  async function when(this: RoutingWorld, names: string, requests: string) {
    const { clock, polls, routing, silent } = stateOf(this);
    names.split(' ').forEach((name) => silent.add(name));
    polls.length = 0;
    for (let tick = 0; tick < 40; tick += 1) {
      if (requests === 'with') routing.headroom(createRequest().model);
      clock.advance(50);
      await settle();
    }
  },
);

Then(
  'routing polled the load of {string} {int} to {int} times, and of the others at most twice',
  function then(this: RoutingWorld, polled: string, least: number, most: number) {
    const loads = stateOf(this).polls.filter((poll) => poll.startsWith('load'));
    const own = loads.filter((poll) => poll === `load ${polled}`).length;
    assert.ok(own >= least && own <= most, `${own} polls`);
    assert.ok(loads.length - own <= 4, `${loads.length - own} polls without an answer`);
  },
);

Then(
  'routing decodes and prefills only on {string}',
  function then(this: RoutingWorld, names: string) {
    const { routing } = stateOf(this);
    const request = createRequest();
    assert.equal(
      collectNames(() => routing.chooseDecode(request, 1, NONE, false)?.name),
      names,
    );
    assert.equal(
      collectNames(() => routing.choosePrefill(request, NONE, false)?.name),
      names,
    );
  },
);

Then(
  'routing sends plain requests only to {string}',
  function then(this: RoutingWorld, names: string) {
    const { routing } = stateOf(this);
    assert.equal(
      collectNames(() => routing.chooseService('yard', NONE)?.name),
      names,
    );
  },
);

Then(
  'routing has headroom {int} for {string}',
  function then(this: RoutingWorld, slots: number, model: string) {
    assert.equal(stateOf(this).routing.headroom(model), slots);
  },
);

Then('routing told admission that capacity changed', function then(this: RoutingWorld) {
  assert.equal(stateOf(this).fakes.capacityChanges, 1);
});

Then(
  'routing finds no server for another suspect but one for others',
  function then(this: RoutingWorld) {
    const { routing } = stateOf(this);
    assert.equal(routing.chooseDecode(createRequest(), 1, NONE, true), undefined);
    assert.equal(routing.choosePrefill(createRequest(), NONE, true), undefined);
    assert.equal(routing.chooseDecode(createRequest(), 1, NONE, false)?.name, 'e1');
  },
);

Then('routing prefills the same prompt there again', function then(this: RoutingWorld) {
  const { routing, first } = stateOf(this);
  const choose = () => routing.choosePrefill(createRequest(PROMPT), NONE, false)?.name;
  assert.equal(collectNames(choose), first);
});

Then('routing prefills the same prompt elsewhere', function then(this: RoutingWorld) {
  const { routing, first } = stateOf(this);
  assert.notEqual(routing.choosePrefill(createRequest(PROMPT), NONE, false)?.name, first);
});

Then('routing expects a prefill wait of {int} ms', function then(this: RoutingWorld, ms: number) {
  assert.equal(stateOf(this).routing.prefillWaitMs('planner'), ms);
});

Then(
  'routing polled the load of {string} more often than that of {string}',
  function then(this: RoutingWorld, polled: string, heard: string) {
    const { polls } = stateOf(this);
    const count = (name: string) => polls.filter((poll) => poll === `load ${name}`).length;
    assert.ok(count(polled) >= 2, `${count(polled)} polls`);
    assert.equal(count(heard), 0);
  },
);

Then('routing polled cache events of both engines', function then(this: RoutingWorld) {
  const { polls } = stateOf(this);
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
