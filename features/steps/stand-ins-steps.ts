import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { Given, Then, When, world } from '@cucumber/cucumber';
import { request } from 'undici';

import { callJson } from '../support/engine-client.js';
import type { FaultSpec } from '../../harness/admin-client.js';
import {
  launchStandIn,
  type LaunchedStandIn,
  type StandInName,
} from '../../harness/stand-in-launcher.js';

/** Time without an answer after which a call counts as `silent`. */
const SILENCE_MS = 300;

interface EndedCall {
  readonly result: string;
  readonly elapsedMs: number;
  readonly text: string;
  readonly headers: Record<string, unknown>;
}

interface StandInWorld {
  standIn: LaunchedStandIn;
  standInCalls: EndedCall[];
}

const scenario = world as unknown as StandInWorld;

interface PlainRecord {
  readonly effects: readonly { attemptId: string; method: string; path: string }[];
  readonly appends: number;
  readonly headers: readonly { name: string; values: readonly string[] }[];
}

async function sendCall(
  standIn: LaunchedStandIn,
  call: string,
  options: { headers?: Record<string, string>; body?: string; silenceMs?: number } = {},
): Promise<EndedCall> {
  const [method = 'GET', path = '/'] = call.split(' ');
  const isAppend = method === 'POST' && path.endsWith('/records');
  const { headers, body = isAppend ? '{"records":["x"]}' : undefined } = options;
  const startMs = performance.now();
  const signal = AbortSignal.timeout(options.silenceMs ?? SILENCE_MS);
  const end = (result: string, text = '', seen = {}) => ({
    ...{ result, text, headers: seen, elapsedMs: performance.now() - startMs },
  });
  try {
    const answer = await request(`${standIn.url}${path}`, {
      ...{ method: method as 'GET', headers, body, signal, reset: true },
    });
    const text = await answer.body.text();
    return end(String(answer.statusCode), text, answer.headers);
  } catch {
    return end(signal.aborted ? 'silent' : 'broken');
  }
}

function findLastCall(): EndedCall {
  const call = scenario.standInCalls.at(-1);
  assert.ok(call, 'no call has been sent to the stand-in');
  return call;
}

async function append(records: readonly string[]): Promise<void> {
  const body = JSON.stringify({ records });
  const call = 'POST /v1/streams/s/records';
  scenario.standInCalls.push(await sendCall(scenario.standIn, call, { body, silenceMs: 2000 }));
}

Given('the stand-in {string} runs with {string}', async (name: string, options: string) => {
  scenario.standIn = await launchStandIn(name as StandInName, options.split(' ').filter(Boolean));
  scenario.standInCalls = [];
});

Given('the stand-in has the fault {string}', async (fault: string) => {
  await scenario.standIn.addFault(JSON.parse(fault) as FaultSpec);
});

Then('the stand-in refuses the fault {string}', async (fault: string) => {
  await assert.rejects(scenario.standIn.addFault(JSON.parse(fault) as FaultSpec), /answered 400/);
});

When('the stand-in faults are removed', async () => {
  await scenario.standIn.clearFaults();
});

When('the stand-in gets the state {string}', async (state: string) => {
  await scenario.standIn.setState(JSON.parse(state));
});

When('the stand-in waits {int} ms', async (ms: number) => {
  await delay(ms);
});

When('the stand-in is called with {string}', async (call: string) => {
  scenario.standInCalls.push(await sendCall(scenario.standIn, call));
});

When(
  'the stand-in is called with {string} for the attempt {string}',
  async (call: string, attemptId: string) => {
    const headers = { 'x-attempt-id': attemptId };
    scenario.standInCalls.push(await sendCall(scenario.standIn, call, { headers }));
  },
);

When('the stand-in is called with {string} twice at once', async (call: string) => {
  const calls = [1, 2].map(() => sendCall(scenario.standIn, call, { silenceMs: 2000 }));
  const ended = await Promise.all(calls);
  scenario.standInCalls.push(...ended.toSorted((one, other) => one.elapsedMs - other.elapsedMs));
});

Then('the stand-in calls ended as {string}', (results: string) => {
  const seen = scenario.standInCalls.map((call) => call.result).toSorted();
  assert.equal(seen.join(', '), results);
});

Then(
  'the stand-in call ended as {string} after {int} ms or more',
  (result: string, minMs: number) => {
    const call = findLastCall();
    assert.equal(call.result, result);
    // Timers of the other process may fire up to 1 ms early when measured with this clock.
    assert.ok(call.elapsedMs >= minMs - 2, `the call took ${call.elapsedMs} ms`);
  },
);

Then('the stand-in call took less than {int} ms', (maxMs: number) => {
  const { elapsedMs } = findLastCall();
  assert.ok(elapsedMs < maxMs, `the call took ${elapsedMs} ms`);
});

Then('the stand-in answer is {string}', (text: string) => {
  assert.deepEqual(JSON.parse(findLastCall().text), JSON.parse(text));
});

Then('the stand-in answer has the header {string} with {string}', (name: string, value: string) => {
  assert.equal(findLastCall().headers[name], value);
});

Then('the stand-in has recorded {int} effects', async (count: number) => {
  const { effects, appends } = await scenario.standIn.readRecord<Partial<PlainRecord>>();
  assert.equal(effects?.length ?? appends ?? 0, count);
});

Then('the stand-in recorded the effect {string}', async (effect: string) => {
  const { effects } = await scenario.standIn.readRecord<PlainRecord>();
  const seen = effects.map(({ attemptId, method, path }) => `${attemptId} ${method} ${path}`);
  assert.deepEqual(seen, [effect]);
});

Then(
  'the stand-in has received the header {string} with {string}',
  async (name: string, value: string) => {
    const { headers } = await scenario.standIn.readRecord<PlainRecord>();
    assert.deepEqual(headers.find((header) => header.name === name)?.values, [value]);
  },
);

When('the stand-in log gets the records {string}', (list: string) => append(list.split(', ')));

When('the stand-in log gets one record of {int} bytes', (n: number) => append(['x'.repeat(n)]));

Then(
  'the stand-in log shows from {int} the records {string}, the end {int} and the earliest {int}',
  async (from: number, list: string, end: number, earliest: number) => {
    const url = `${scenario.standIn.url}/v1/streams/s/records?from=${from}`;
    const { records, ...rest } = (await callJson('GET', url)).body;
    const seen = (records as { offset: number; data: string }[]).map(
      ({ offset, data }) => `${offset} ${data}`,
    );
    assert.equal(seen.join(', '), list);
    assert.deepEqual(rest, { endOffset: end, earliestOffset: earliest });
  },
);

Then('the stand-in log replica shows the end {int}', async (end: number) => {
  const answer = await callJson('GET', `${scenario.standIn.replicaUrl}/v1/streams/s/records`);
  assert.equal(answer.body.endOffset, end);
});

When(
  'the stand-in log is read with a wait of {int} ms and gets {string} after {int} ms',
  async (waitMs: number, data: string, afterMs: number) => {
    const call = `GET /v1/streams/s/records?waitMs=${waitMs}`;
    const reading = sendCall(scenario.standIn, call, { silenceMs: 2 * waitMs });
    await delay(afterMs);
    await append([data]);
    scenario.standInCalls.push(await reading);
  },
);
