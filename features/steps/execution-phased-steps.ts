import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { createModelRequest } from '../../harness/model-fixtures.js';
import { HttpBackends } from '../../src/backends/http-backends.js';
import type { Refusal } from '../../src/domain/refusal.js';
import type { AnswerEvent, ModelAnswer } from '../../src/domain/request.js';
import { PhasedModelExecution } from '../../src/execution/phased-model-execution.js';
import type { Outcome } from '../../src/kernel/outcome.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { SubsetRouting } from '../../src/routing/subset-routing.js';
import { FakeEngine, type EngineCallRecord, type EngineFault } from '../support/fake-engine.js';
import { createFakeServices, waitUntil, type FakeServices } from '../support/fake-services.js';

interface PhasedWorld {
  phased?: {
    engines: FakeEngine[];
    faults: EngineFault[];
    fakes: FakeServices;
    execution: PhasedModelExecution;
    clock: SystemClock;
    events: AnswerEvent[];
    refusal?: Refusal;
    abort: AbortController;
    stop: () => Promise<void>;
  };
}

const scenario = world as unknown as PhasedWorld;

function worldOf(): NonNullable<PhasedWorld['phased']> {
  assert.ok(scenario.phased);
  return scenario.phased;
}

function isReservation({ path }: EngineCallRecord): boolean {
  return path === '/v1/reservations';
}

async function collect(
  phased: NonNullable<PhasedWorld['phased']>,
  outcome: Outcome<ModelAnswer, Refusal>,
): Promise<void> {
  if (outcome.kind === 'failed') {
    Object.assign(phased, { refusal: outcome.failure });
    return;
  }
  await outcome.value.events.forEach((event) => {
    phased.events.push(event);
    if (event.kind === 'error') Object.assign(phased, { refusal: event.refusal });
  });
}

async function runRequest(phased: NonNullable<PhasedWorld['phased']>, ageMs = 0): Promise<void> {
  const arrivedMs = phased.clock.monotonicMs() - ageMs;
  const request = createModelRequest({ keyId: 'key1', arrivedMs });
  await collect(phased, await phased.execution.run(request, phased.abort.signal));
}

Given('phased execution over {int} engines', async (count: number) => {
  const faults: EngineFault[] = [];
  const names = Array.from({ length: count }, (_, index) => `engine${index}`);
  const engines = await Promise.all(names.map((name) => FakeEngine.create(name, faults)));
  const fakes = createFakeServices(engines.map((engine) => engine.describe()));
  const clock = SystemClock.create();
  const { kernel, settings } = fakes;
  const backends = HttpBackends.create(kernel, settings);
  const routing = SubsetRouting.create(kernel, settings, clock);
  const execution = PhasedModelExecution.create(kernel, settings, clock);
  kernel.register('backends', backends);
  kernel.register('routing', routing);
  kernel.register('model-execution', execution);
  await kernel.start();
  const abort = new AbortController();
  const stop = async () => {
    await kernel.stop();
    await Promise.all(engines.map((engine) => engine.stop()));
  };
  scenario.phased = { engines, faults, fakes, execution, clock, events: [], abort, stop };
});

After(async () => {
  await scenario.phased?.stop();
});

Given('phased execution meets the faults {string} on {string}', (kinds: string, path: string) => {
  const { faults } = worldOf();
  const list = kinds.split(', ').filter((kind) => kind !== 'none');
  faults.push(...list.map((kind) => ({ path: `/${path}`, kind })));
});

Given('phased execution gets {int} grants that cannot be sent', (count: number) => {
  worldOf().fakes.unsendable = count;
});

Given('phased execution gets a grant that can be sent after 1 renewal', () => {
  Object.assign(worldOf().fakes, { unsendable: 1, renewals: 1 });
});

When('phased execution runs a request', async () => {
  await runRequest(worldOf());
});

When('phased execution runs a request on engines that then refuse', async () => {
  const phased = worldOf();
  const running = runRequest(phased);
  const prefilled = () =>
    phased.engines.some((engine) => engine.calls.some(({ path }) => path === '/v1/prefill'));
  await waitUntil(prefilled, 'the prefill was sent');
  await Promise.all(phased.engines.map((engine) => engine.stop()));
  await running;
});

When(
  'phased execution runs a request and {string} occurs during the answer',
  async (event: string) => {
    const phased = worldOf();
    const running = runRequest(phased);
    await waitUntil(() => phased.events.length === 2, 'two tokens arrived');
    if (event === 'client abort') phased.abort.abort();
    if (event === 'key withdrawal') phased.fakes.withdrawals.push('key1');
    if (event === 'reincarnation') phased.fakes.reincarnations.push({});
    if (event === 'engine death') {
      const engine = phased.engines.find(({ holds }) => holds.size > 0);
      await engine?.stop();
    }
    await running;
  },
);

When('phased execution runs a request that is aborted during its reservation', async () => {
  const phased = worldOf();
  const running = runRequest(phased);
  await waitUntil(
    () => phased.engines[0]?.calls.some(isReservation) === true,
    'the reservation was sent',
  );
  phased.abort.abort();
  await running;
});

Then('phased execution held memory after its first cancel call', async () => {
  const engine = worldOf().engines[0];
  const cancelled = () => engine?.calls.some(({ path }) => path.endsWith('/cancel')) ?? false;
  await waitUntil(cancelled, 'the first cancel call arrived');
  await waitUntil(() => engine?.holds.size === 1, 'the reservation took effect');
});

When('phased execution runs a request while it stops', async () => {
  const phased = worldOf();
  const running = runRequest(phased);
  await phased.execution.stop();
  await running;
});

Then('phased execution answers {string}', (text: string) => {
  const { events, refusal } = worldOf();
  assert.equal(refusal, undefined);
  const tokens = events.map((event) => (event.kind === 'token' ? event.text : ''));
  assert.equal(tokens.join('').trim(), text);
  assert.equal(events.at(-1)?.kind, 'end');
  assert.equal(events.length, 5);
});

Then(
  'phased execution ends with the error {string} and run {string}',
  (code: string, run: string) => {
    const { refusal } = worldOf();
    assert.equal(refusal?.code, code, refusal?.message);
    assert.equal(refusal?.run, run);
  },
);

Then('phased execution leaves no holds and settles each grant once', async () => {
  const { engines, fakes, execution } = worldOf();
  await waitUntil(() => engines.every(({ holds }) => holds.size === 0), 'no holds are left');
  assert.ok(fakes.grants.length > 0);
  assert.deepEqual(
    fakes.grants.map(({ settled }) => settled.length),
    fakes.grants.map(() => 1),
  );
  await waitUntil(() => execution.active() === 0, 'no request is in progress');
});

Then('phased execution counted {int} wasted prompt tokens', (tokens: number) => {
  const { metrics } = worldOf().fakes;
  assert.equal(metrics.get('execution.wasted_prefill_tokens') ?? 0, tokens);
});

Then('phased execution was admitted {int} times with the same arrival time', (times: number) => {
  const { admitted, grants } = worldOf().fakes;
  assert.equal(admitted.length, times);
  assert.equal(new Set(admitted.map(({ arrivedMs }) => arrivedMs)).size, 1);
  assert.deepEqual(
    grants.slice(0, -1).map(({ settled }) => settled[0]),
    grants.slice(0, -1).map(() => 0),
  );
});

Then('phased execution was admitted 1 time and made 1 reservation', () => {
  const { engines, fakes } = worldOf();
  assert.equal(fakes.admitted.length, 1);
  assert.equal(engines.flatMap(({ calls }) => calls.filter(isReservation)).length, 1);
});

Then('phased execution reported {int} death with the fingerprint', async (count: number) => {
  const { deaths } = worldOf().fakes;
  await waitUntil(() => deaths.length >= count, 'the death is reported');
  assert.deepEqual(
    deaths.map(({ fingerprints }) => fingerprints),
    Array.from({ length: count }, () => ['print1']),
  );
});

Then('phased execution has stopped with {int} requests in progress', (count: number) => {
  assert.equal(worldOf().execution.active(), count);
});

Then('phased execution knew of {string} deaths at its admissions', (counts: string) => {
  // Admission recognizes a suspect only if the death is reported before it admits the request again.
  assert.equal(worldOf().fakes.deathsAtAdmission.join(', '), counts);
});

Given('phased execution has tokens to extend a grant: {string}', (answer: string) => {
  worldOf().fakes.extendable = answer === 'yes';
});

When('phased execution runs a request that arrived {int} ms ago', async (ageMs: number) => {
  await runRequest(worldOf(), ageMs);
});

Then('phased execution sent no prefill', () => {
  const calls = worldOf().engines.flatMap((engine) => engine.calls);
  assert.ok(calls.every(({ path }) => path !== '/v1/prefill'));
});

Then(
  'phased execution extended its grant by {int} and settled {int} tokens',
  (extended: number, used: number) => {
    const { grants } = worldOf().fakes;
    assert.deepEqual(
      grants.map((grant) => [grant.extended, grant.settled]),
      [[[extended], [used]]],
    );
  },
);
