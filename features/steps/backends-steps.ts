import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { registerFake } from '../../harness/module-fakes.js';
import type { DecodeEvent, Engine, EngineCall } from '../../src/backends/engine.js';
import type { EngineFailure } from '../../src/backends/engine-failure.js';
import { HttpBackends } from '../../src/backends/http-backends.js';
import { parseLoadHeader } from '../../src/backends/load-header.js';
import type { PlainFailure } from '../../src/backends/plain-failure.js';
import type { PlainResponse } from '../../src/backends/plain-service.js';
import type { Outcome } from '../../src/kernel/outcome.js';
import type { EngineLoad } from '../../src/routing/routing.js';
import { FakeEngine, type EngineFault } from '../support/fake-engine.js';
import { FakePlainService } from '../support/fake-plain-service.js';
import { createFakeServices, waitUntil, type FakeServices } from '../support/fake-services.js';

interface BackendsState {
  fakes: FakeServices;
  backends: HttpBackends;
  engine?: FakeEngine;
  plain?: FakePlainService;
  faults: EngineFault[];
  loads: EngineLoad[];
  outcome?: Outcome<unknown, EngineFailure>;
  response?: Outcome<PlainResponse, PlainFailure>;
  events: DecodeEvent[];
}

interface BackendsWorld {
  backends?: BackendsState;
}

const scenario = world as unknown as BackendsWorld;

function stateOf(): BackendsState {
  assert.ok(scenario.backends);
  return scenario.backends;
}

async function createBackendsState(): Promise<BackendsState> {
  const fakes = createFakeServices([]);
  const loads: EngineLoad[] = [];
  registerFake(fakes.kernel, 'routing', {
    observeLoad: (_server: string, load: EngineLoad) => loads.push(load),
    observeFailure: () => {},
    observeDraining: () => {},
  });
  const backends = HttpBackends.create(fakes.kernel, fakes.settings);
  await backends.start();
  return { fakes, backends, faults: [], loads, events: [] };
}

function createCall(signal: AbortSignal = new AbortController().signal): EngineCall {
  return {
    requestId: 'q1',
    attemptId: 'attempt1',
    owner: { vm: 'vm1', incarnation: 'i1' },
    team: 'oval',
    traceparent: undefined,
    signal,
    progressMs: 100,
  };
}

function callEngine(
  engine: Engine,
  call: string,
  signal?: AbortSignal,
): Promise<Outcome<unknown, EngineFailure>> {
  const engineCall = createCall(signal);
  if (call === 'reservations') return engine.reserve(engineCall, 'planner', 1);
  if (call === 'prefill') return engine.prefill(engineCall, 'planner', 'prompt', 0);
  if (call === 'transfers') return engine.transfer(engineCall, 'r1', 'p1', '127.0.0.1:1');
  if (call === 'load') return engine.load();
  if (call === 'holds') return engine.holds({ idleMs: 3000, gone: [engineCall.owner] });
  return engine.cancel(engineCall.attemptId, engineCall.owner);
}

function clientOf({ backends, engine }: BackendsState): Engine {
  assert.ok(engine);
  return backends.engine(engine.describe());
}

Given(
  'a backends engine with the fault {string} on {string}',
  async (kind: string, path: string) => {
    const state = await createBackendsState();
    if (kind !== 'none') state.faults.push({ path: `/${path}`, kind });
    state.engine = await FakeEngine.create('engine1', state.faults);
    scenario.backends = state;
  },
);

Given('a backends plain service with the fault {string}', async (fault: string) => {
  scenario.backends = await createBackendsState();
  scenario.backends.plain = await FakePlainService.create(fault);
});

After(async () => {
  await scenario.backends?.backends.stop();
  await scenario.backends?.engine?.stop();
  await scenario.backends?.plain?.stop();
});

When('backends call {string} on the engine', async (call: string) => {
  const state = stateOf();
  state.outcome = await callEngine(clientOf(state), call);
});

When('backends call {string} with an aborted signal', async (call: string) => {
  const state = stateOf();
  state.outcome = await callEngine(clientOf(state), call, AbortSignal.abort());
});

When('the backends engine stops and backends call {string}', async (call: string) => {
  const state = stateOf();
  await state.engine?.stop();
  state.outcome = await callEngine(clientOf(state), call);
});

When(
  'the backends engine reports {string} and backends call {string}',
  async (load: string, call: string) => {
    const state = stateOf();
    assert.ok(state.engine);
    state.engine.load = load;
    await callEngine(clientOf(state), call);
  },
);

When(
  'backends make {int} calls, then one that stays silent, then {int} calls',
  async (before: number, after: number) => {
    const state = stateOf();
    for (let count = 0; count < before; count += 1) await callEngine(clientOf(state), 'load');
    state.faults.push({ path: '/reservations', kind: 'silent' });
    await callEngine(clientOf(state), 'reservations');
    for (let count = 0; count < after; count += 1) await callEngine(clientOf(state), 'load');
  },
);

When('backends decode on the engine', async () => {
  const state = stateOf();
  const stream = clientOf(state).decode(createCall(), 'r1', 10, 0);
  await stream.forEach((event) => state.events.push(event));
});

When('backends send a plain request', async () => {
  const state = stateOf();
  assert.ok(state.plain);
  state.response = await state.backends.service(state.plain.describe()).send({
    method: 'POST',
    target: '/orders?x=1',
    headers: { Authorization: 'Bearer ck_key_secret', 'x-team': 'oval' },
    body: Buffer.from('order'),
    timeoutMs: 150,
    signal: new AbortController().signal,
  });
});

Then('the backends call fails with {string}', (reason: string) => {
  const { outcome } = stateOf();
  assert.equal(outcome?.kind === 'failed' ? outcome.failure.reason : 'ok', reason);
});

Then('the next backends call {string} succeeds', async (call: string) => {
  const outcome = await callEngine(clientOf(stateOf()), call);
  assert.equal(outcome.kind, 'ok');
});

Then('the backends stream was {string}', (expected: string) => {
  const seen = stateOf().events.map((event) => {
    if (event.kind === 'token') return event.text.trim();
    return event.kind === 'end' ? 'end' : `failed:${event.failure.reason}`;
  });
  assert.equal(seen.join(' '), expected);
});

Then('backends dropped {int} events', (count: number) => {
  assert.equal(stateOf().fakes.metrics.get('backends.dropped') ?? 0, count);
});

Then(
  'the backends engine saw the silent connection closed and at most {int} connections',
  async (most: number) => {
    // undici may open one extra connection when a call follows another without a pause.
    const { engine } = stateOf();
    assert.ok(engine && engine.connections <= most, `${engine?.connections} connections`);
    const silent = engine.calls.findIndex(({ path }) => path === '/v1/reservations');
    const socket = engine.calls[silent]?.socket;
    await waitUntil(() => socket?.destroyed === true, 'the silent connection is closed');
    const later = engine.calls.slice(silent + 1);
    assert.equal(later.length, 20);
    assert.ok(later.every((call) => call.socket !== socket));
  },
);

Then(
  'backends told routing {int} slots, {int} blocks, {int} tokens, draining and {string}',
  (slotsFree: number, blocksFree: number, queuedPrefillTokens: number, incarnation: string) => {
    const load = { slotsFree, blocksFree, queuedPrefillTokens, incarnation };
    assert.deepEqual(stateOf().loads, [{ ...load, level: 2, draining: true }]);
  },
);

Then('the backends load header {string} is malformed', (header: string) => {
  assert.equal(parseLoadHeader(header), undefined);
});

Then(
  'the backends plain call fails with {string} and sent {string}',
  (reason: string, sent: string) => {
    const { response } = stateOf();
    assert.ok(response?.kind === 'failed', 'the call must fail');
    assert.equal(response.failure.reason, reason);
    assert.equal(String(response.failure.sent), sent);
  },
);

Then('the backends plain service got {int} requests', (count: number) => {
  assert.equal(stateOf().plain?.requests.length, count);
});

Then(
  'the backends plain response is {int} {string} and draining',
  (status: number, body: string) => {
    const { response } = stateOf();
    assert.ok(response?.kind === 'ok');
    assert.equal(response.value.status, status);
    assert.equal(response.value.body.toString(), body);
    assert.equal(response.value.draining, true);
  },
);

Then('the backends plain service saw no authorization header', () => {
  const request = stateOf().plain?.requests[0];
  assert.equal(request?.headers['x-team'], 'oval');
  assert.equal(request?.headers.authorization, undefined);
});
