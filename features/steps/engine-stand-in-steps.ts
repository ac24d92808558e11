import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { BeforeStep, Given, Then, When, world } from '@cucumber/cucumber';

import { computeAnswer } from '../../stand-ins/answer-text.js';
import {
  buildAttempt,
  callJson,
  countHolds,
  prepareDecode,
  readDecode,
  type JsonResponse,
  type StreamResult,
} from '../support/engine-client.js';
import type { EngineRecord } from '../../harness/engine-record.js';
import type { FaultSpec } from '../../harness/admin-client.js';
import { launchStandIn, type LaunchedStandIn } from '../../harness/stand-in-launcher.js';
import { waitFor } from '../../harness/wait-for.js';

type EngineName = 'prefill' | 'decode';

interface Decoding {
  readonly reservationId: string;
  readonly answers: readonly JsonResponse[];
  readonly streams: StreamResult[];
}

interface EngineWorld {
  /** Options of the engines that have not been started yet. */
  engineOptions: Partial<Record<EngineName, string>> | undefined;
  engines: Record<EngineName, LaunchedStandIn>;
  engineAnswers: JsonResponse[];
  decodings: Record<string, Decoding>;
  prefillOrder: number[];
}

const scenario = world as unknown as EngineWorld;

function findEngine(name: string): LaunchedStandIn {
  return scenario.engines[name as EngineName];
}

function findDecoding(attemptId: string): Decoding {
  const decoding = scenario.decodings[attemptId];
  assert.ok(decoding, `${attemptId} has not decoded`);
  return decoding;
}

function findLastAnswer(): JsonResponse {
  const answer = scenario.engineAnswers.at(-1);
  assert.ok(answer, 'no call has been sent to an engine');
  return answer;
}

async function post(name: EngineName, path: string, body: object) {
  const answer = await callJson('POST', `${scenario.engines[name].url}/v1/${path}`, body);
  scenario.engineAnswers.push(answer);
  return answer;
}

function reserve(attemptId: string, blocks: number): Promise<JsonResponse> {
  const body = { ...buildAttempt(attemptId), model: 'm', blocks };
  return post('decode', 'reservations', body);
}

function prefill(attemptId: string, prompt: string, priority = 0): Promise<JsonResponse> {
  const body = { ...buildAttempt(attemptId), model: 'm', prompt, priority };
  return post('prefill', 'prefill', body);
}

async function decode(
  attemptId: string,
  maxTokens: number,
  prompt: string,
  options: { source?: EngineName; tokens?: number } = {},
): Promise<void> {
  const { decode: target } = scenario.engines;
  const source = scenario.engines[options.source ?? 'prefill'];
  const attempt = buildAttempt(attemptId);
  const ready = await prepareDecode(target.address, source.address, attempt, prompt);
  const decoding: Decoding = { ...ready, streams: [] };
  Object.assign(scenario.decodings, { [attemptId]: decoding });
  await readMore(attemptId, maxTokens, 0, options.tokens);
}

async function readMore(
  attemptId: string,
  maxTokens: number,
  fromIndex: number,
  tokens?: number,
): Promise<void> {
  const { reservationId, streams } = findDecoding(attemptId);
  const body = { ...buildAttempt(attemptId), reservationId, maxTokens, fromIndex };
  streams.push(await readDecode(scenario.engines.decode.address, body, { tokens }));
}

function cancel(attemptId: string): Promise<JsonResponse[]> {
  const { owner } = buildAttempt(attemptId);
  const path = `attempts/${attemptId}/cancel`;
  return Promise.all([post('decode', path, { owner }), post('prefill', path, { owner })]);
}

async function findAttempt(engine: LaunchedStandIn, attemptId: string) {
  const { attempts } = await engine.readRecord<EngineRecord>();
  return attempts.find((attempt) => attempt.attemptId === attemptId);
}

async function startEngines(): Promise<void> {
  const entries = Object.entries(scenario.engineOptions ?? {});
  scenario.engineOptions = undefined;
  const started = await Promise.all(
    entries.map(
      async ([name, options]) =>
        [name, await launchStandIn('model-engine', options.split(' '))] as const,
    ),
  );
  Object.assign(scenario, { engines: { ...scenario.engines, ...Object.fromEntries(started) } });
}

// Each start takes 0.4 s, so engines start in parallel, and only with the options given last.
BeforeStep({ tags: '@engine-stand-in' }, async ({ pickleStep }) => {
  if (!pickleStep.text.includes(' engine runs with ')) await startEngines();
});

Given('the {word} engine runs with {string}', (name: string, options: string) => {
  scenario.engineAnswers = [];
  scenario.decodings = {};
  scenario.engineOptions = { ...scenario.engineOptions, [name]: options };
});

Given('the {word} engine has the fault {string}', async (name: string, fault: string) => {
  await findEngine(name).addFault(JSON.parse(fault) as FaultSpec);
});

When('the {word} engine gets the state {string}', async (name: string, state: string) => {
  await findEngine(name).setState(JSON.parse(state));
});

When(
  'the engine attempt {string} decodes {int} tokens of {string}',
  async (attemptId: string, maxTokens: number, prompt: string) => {
    await decode(attemptId, maxTokens, prompt);
  },
);

When(
  'the engine attempt {string} decodes {int} tokens of {string} on the decode engine only',
  async (attemptId: string, maxTokens: number, prompt: string) => {
    await decode(attemptId, maxTokens, prompt, { source: 'decode' });
  },
);

When(
  'the engine attempt {string} decodes {int} tokens of {string} and disconnects after {int}',
  async (id: string, max: number, prompt: string, tokens: number) => {
    await decode(id, max, prompt, { tokens });
  },
);

When(
  'the engine attempt {string} decodes {int} tokens of {string} and the engine crashes',
  async (id: string, maxTokens: number, prompt: string) => {
    await assert.rejects(decode(id, maxTokens, prompt), /closed|ECONNRESET/);
  },
);

When(
  'the engine attempt {string} resumes {int} tokens from index {int}',
  async (attemptId: string, maxTokens: number, fromIndex: number) => {
    await readMore(attemptId, maxTokens, fromIndex);
  },
);

Then(
  'the engine answer of {string} is complete and belongs to {string} with {int} tokens',
  (attemptId: string, prompt: string, tokens: number) => {
    const events = findDecoding(attemptId).streams.flatMap((stream) => stream.events);
    const text = events.map((event) => event.text ?? '').join('');
    assert.equal(text, computeAnswer('m', prompt, tokens));
    assert.equal(events.at(-1)?.completionTokens, tokens);
  },
);

Then('the engine answer of {string} ends with {string}', (attemptId: string, end: string) => {
  assert.equal(findDecoding(attemptId).streams.at(-1)?.events.at(-1)?.end, end);
});

Then('the engine transfer of {string} moved {int} bytes', (attemptId: string, bytes: number) => {
  assert.equal(findDecoding(attemptId).answers.at(-1)?.body.bytes, bytes);
});

Then(
  'the engine transfer of {string} moved {int} bytes in {int} to {int} ms',
  (attemptId: string, bytes: number, minMs: number, maxMs: number) => {
    const transferred = findDecoding(attemptId).answers.at(-1)?.body;
    assert.equal(transferred?.bytes, bytes);
    const elapsedMs = Number(transferred?.elapsedMs);
    assert.ok(elapsedMs >= minMs && elapsedMs <= maxMs, `the transfer took ${elapsedMs} ms`);
  },
);

When('the engine attempt {string} reserves {int} blocks', reserve);

When('the engine attempt {string} prefills {string}', async (id: string, prompt: string) => {
  await prefill(id, prompt);
});

When(
  'the engine attempt {string} prefills {string} and transfers it too late',
  async (attemptId: string, prompt: string) => {
    const { reservationId } = (await reserve(attemptId, 1)).body;
    const { prefillId } = (await prefill(attemptId, prompt)).body;
    await delay(150);
    const source = scenario.engines.prefill.address;
    const body = { ...buildAttempt(attemptId), reservationId, prefillId, source };
    await post('decode', 'transfers', body);
  },
);

When('the engine attempt {string} is cancelled', cancel);

When(
  'the engine attempt {string} is cancelled while it prefills {int} tokens',
  async (attemptId: string, tokens: number) => {
    const prefilling = prefill(attemptId, 'x'.repeat(tokens * 4));
    await waitFor(
      'the prefill to begin',
      async () => (await countHolds(scenario.engines.prefill)) > 0,
    );
    await cancel(attemptId);
    // The answers to the cancel calls and to the prefill arrive in any order; the last is checked.
    scenario.engineAnswers.push(await prefilling);
  },
);

When(
  'the engine attempt {string} sends a later {word}',
  async (attemptId: string, call: string) => {
    const calls: Record<string, () => Promise<JsonResponse>> = {
      reservation: () => reserve(attemptId, 1),
      prefill: () => prefill(attemptId, 'hello'),
      transfer: () =>
        post('decode', 'transfers', {
          ...buildAttempt(attemptId),
          ...{ reservationId: 'r', prefillId: 'p', source: scenario.engines.prefill.address },
        }),
      decode: () =>
        post('decode', 'decode', {
          ...buildAttempt(attemptId),
          ...{ reservationId: 'r', maxTokens: 1, fromIndex: 0 },
        }),
    };
    await calls[call]?.();
  },
);

Then('the engine call was answered {int}', (status: number) => {
  assert.equal(findLastAnswer().status, status);
});

Then(
  'the engine load header shows {int} slots and {int} blocks at level {int}',
  (slots: number, blocks: number, level: number) => {
    const fields = String(findLastAnswer().headers['x-engine-load']).split(',');
    assert.deepEqual([fields[0], fields[1], fields[3]].map(Number), [slots, blocks, level]);
  },
);

Then('the engine load header says draining', () => {
  assert.equal(String(findLastAnswer().headers['x-engine-load']).split(',')[4], '1');
});

Then('the decode engine reports {int} free slots later', async (slots: number) => {
  await waitFor(`a report of ${slots} free slots`, async () => {
    const load = await callJson('GET', `${scenario.engines.decode.url}/v1/load`);
    return load.body.slotsFree === slots;
  });
});

Then('the {word} engine holds nothing', async (name: string) => {
  const engine = findEngine(name);
  await waitFor(`the ${name} engine to hold nothing`, async () => (await countHolds(engine)) === 0);
});

Then('the {word} engine has {int} holds', async (name: string, count: number) => {
  assert.equal(await countHolds(findEngine(name)), count);
});

Then(
  'the {word} engine records that {string} ended as {string} with {int} tokens',
  async (name: string, id: string, ended: string, tokens: number) => {
    const engine = findEngine(name);
    const attempt = await waitFor(`the end of ${id}`, async () => {
      const found = await findAttempt(engine, id);
      return found?.ended ? found : undefined;
    });
    assert.deepEqual([attempt.ended, attempt.completionTokens], [ended, tokens]);
  },
);

Then('the decode engine records that {string} was cancelled', async (attemptId: string) => {
  const attempt = await findAttempt(scenario.engines.decode, attemptId);
  assert.equal(attempt?.ended, 'cancelled');
});

Then('the engines wasted {int} prefill tokens', async (tokens: number) => {
  const record = await scenario.engines.prefill.readRecord<EngineRecord>();
  assert.equal(record.wastedPrefillTokens, tokens);
});

When(
  'the engine prefills {int} tokens each with the priorities {string}',
  async (tokens: number, priorities: string) => {
    scenario.prefillOrder = [];
    const run = async (priority: number) => {
      await prefill(`p${priority}`, `${priority}`.repeat(tokens * 4), priority);
      scenario.prefillOrder.push(priority);
    };
    const running: Promise<void>[] = [];
    for (const [index, priority] of priorities.split(', ').map(Number).entries()) {
      running.push(run(priority));
      const { prefill: engine } = scenario.engines;
      await waitFor('the prefill to arrive', async () => (await countHolds(engine)) > index);
    }
    await Promise.all(running);
  },
);

Then('the engine prefills ended in the order {string}', (order: string) => {
  assert.equal(scenario.prefillOrder.join(', '), order);
});

Then(
  'the engine prefill counted {int} tokens, {int} of them cached',
  (tokens: number, cached: number) => {
    const { promptTokens, cachedTokens } = findLastAnswer().body;
    assert.deepEqual([promptTokens, cachedTokens], [tokens, cached]);
  },
);

Then('the engine cache events are {string}', async (kinds: string) => {
  const { body } = await callJson('GET', `${scenario.engines.prefill.url}/v1/cache-events?after=0`);
  const events = body.events as { kind: string }[];
  assert.equal(events.map((event) => event.kind).join(', '), kinds);
});

When(
  'the engine is ordered to load {string} with the fencing number {int}',
  async (value: string, fencingNumber: number) => {
    const order = { kind: 'load-model', value, fencingNumber, commander: 'vm-1' };
    await post('decode', 'orders', order);
  },
);

When('the decode engine is restarted by its state', async () => {
  await scenario.engines.decode.setState({ restart: true });
});

Then('the decode engine has a new incarnation', async () => {
  const before = String(findLastAnswer().headers['x-engine-load']).split(',')[5];
  const { body } = await callJson('GET', `${scenario.engines.decode.url}/v1/holds`);
  assert.ok(before);
  assert.notEqual(body.incarnation, before);
});

Then(
  'the engine stream had the own indexes {string} and {int} foreign events',
  (indexes: string, foreign: number) => {
    const { streams } = findDecoding('a1');
    const events = streams.flatMap((stream) => stream.events);
    const own = events.filter((event) => event.attemptId === 'a1' && 'index' in event);
    assert.equal(own.map((event) => event.index).join(', '), indexes);
    assert.equal(events.filter((event) => event.attemptId !== 'a1').length, foreign);
  },
);

Then('the engine stream had its end marker', () => {
  const stream = findDecoding('a1').streams.at(-1);
  assert.equal(stream?.closed, true);
  assert.equal(stream?.events.at(-1)?.end, 'length');
});

Then('the engine stream broke off without an end marker', () => {
  const stream = findDecoding('a1').streams.at(-1);
  assert.equal(stream?.closed, false);
  assert.ok(stream?.events.every((event) => !('end' in event)));
});

Then('the {word} engine process has ended by {string}', async (name: string, signal: string) => {
  const end = await findEngine(name).process.ended;
  assert.equal(end.signal, signal);
});
