import assert from 'node:assert/strict';

import { Then, When, world } from '@cucumber/cucumber';
import fc from 'fast-check';
import { request } from 'undici';

import { registerFake } from '../../harness/module-fakes.js';
import { ownHost } from '../../harness/own-host.js';
import { PLATFORM_HOST, PLATFORM_KEY } from '../../harness/platform-fixtures.js';
import {
  boundedNumber,
  DURATION_RANGE_MS,
  readNumber,
  TOKEN_RANGE,
} from '../../src/domain/number-ranges.js';
import {
  decodeMessage,
  encodeMessage,
  type Digest,
  type FleetWork,
} from '../../src/fleet/digest.js';
import { MessageReader } from '../../src/fleet/message-reader.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { ManualClock } from '../../src/kernel/manual-clock.js';
import type { LogFields } from '../../src/observability/logs.js';
import { ServerLoads } from '../../src/relay/server-loads.js';
import { createDigest } from '../support/relay-fixtures.js';
import { readSeed } from '../support/seed.js';

interface NumberWorld {
  /** Ports of the router's listeners; the first is that of the callers. */
  ports: number[];
  numberStatuses: number[];
  /** Names of the metrics that were incremented, and the facts of the warnings. */
  readerMetrics: string[];
  readerLines: LogFields[];
}

const scenario = world as unknown as NumberWorld;

const STEP = { timeout: 30_000 } as const;

const ROUTES = ['/order/a', '/plan/a'];

/** Sends a request to a router of the platform's path and returns the status of its answer. */
async function callWith(path: string, id: string, name: string, value: string): Promise<number> {
  const headers = {
    host: PLATFORM_HOST,
    'attempt-id': id,
    'deadline-ms': '4000',
    authorization: `Bearer ${PLATFORM_KEY}`,
    model: 'm',
    'token-count': '100,50',
    [name.toLowerCase()]: value,
  };
  const url = `http://${ownHost()}:${scenario.ports[0]}${path}`;
  const { statusCode, body } = await request(url, { headers });
  await body.dump();
  return statusCode;
}

When(
  /^requests with the header "([\w-]+): (.*)" are sent to all routes of the router$/,
  STEP,
  async (name: string, value: string) => {
    const text = value.replace('9{400}', '9'.repeat(400));
    scenario.numberStatuses = await Promise.all(
      ROUTES.map((path, index) => callWith(path, `n-${index}`, name, text)),
    );
  },
);

Then('all of them are answered with {int}', (status: number) => {
  assert.deepEqual(
    scenario.numberStatuses,
    ROUTES.map(() => status),
  );
});

Then('{int} streams in a row are served afterwards', STEP, async (count: number) => {
  const statuses: number[] = [];
  for (let index = 0; index < count; index += 1) {
    statuses.push(await callWith('/plan/a', `after-${index}`, 'Token-Count', '100,50'));
  }
  assert.deepEqual(statuses, Array<number>(count).fill(200));
});

Then('{int} texts are read as numbers within their range or not at all', (numRuns: number) => {
  const digits = fc.stringMatching(/^[-+]?[0-9]{0,400}(\.[0-9]{0,20})?(e[0-9]{1,4})?$/);
  const text = fc.oneof(digits, fc.string(), fc.double().map(String));
  const property = fc.property(
    text,
    fc.constantFrom(TOKEN_RANGE, DURATION_RANGE_MS),
    (value, range) => {
      const read = readNumber(value, range);
      if (typeof read === 'number') assert.ok(read >= range.min && read <= range.max, `${read}`);
      else assert.ok(!(Number(value) <= range.max && Number(value) > range.min), value);
    },
  );
  fc.assert(property, { numRuns, seed: readSeed() });
});

/** Work with two entries in each list and record, so that the loss of one can be told. */
const WORK: FleetWork = {
  punctual: 3,
  waiting: 5,
  startsPerSecond: 2.5,
  spent: { t1: [900, 800], t2: [70, 60] },
  retries: { p1: [10, 1], p2: [20, 2] },
  costs: { p1: [1, 2, 3, 4], p2: [5, 6, 7, 8] },
  loads: [
    ['s1', 1, 200, 300],
    ['s2', 2, 400, 500],
  ],
  avoided: [
    ['s1', 100],
    ['s2', 200],
  ],
  leavers: [
    ['s1', 100],
    ['s2', 200],
  ],
  crashes: [
    ['c1', 10, ['f1'], []],
    ['c2', 20, ['f2'], ['f3']],
  ],
  sound: [
    ['part a', 100],
    ['part b', 200],
  ],
  limits: [
    ['s1', 1, 5, 10],
    ['s2', 2, -1, 20],
  ],
  cold: [
    ['s1', 100],
    ['s2', 200],
  ],
  capacities: [
    ['s1', 1, 0, 1, 2, 3, 4, 5],
    ['s2', 2, 1, 1, 2, 3, 4, 5],
  ],
};

type Json = string | number | boolean | null | Json[] | { [name: string]: Json };

/** Replaces the value at a place of a JSON tree; the digits of `path` choose a branch at each level. */
function replaceAt(tree: Json, path: readonly number[], value: Json): Json {
  const [step = 0, ...rest] = path;
  if (path.length === 0 || typeof tree !== 'object' || tree === null) return value;
  const names = Object.keys(tree);
  if (names.length === 0) return value;
  const chosen = names[step % names.length]!;
  if (Array.isArray(tree))
    return tree.map((item, index) =>
      String(index) === chosen ? replaceAt(item, rest, value) : item,
    );
  return { ...tree, [chosen]: replaceAt(tree[chosen]!, rest, value) };
}

function entriesOf(section: unknown): string[] {
  const entries = typeof section === 'object' && section !== null ? Object.entries(section) : [];
  return entries.map(([name, entry]) =>
    Array.isArray(section) ? JSON.stringify(entry) : `${name} ${JSON.stringify(entry)}`,
  );
}

Then(
  '{int} digests with a foreign value in their work are read, and lose no other entry',
  (numRuns: number) => {
    const digest = createDigest({ vm: 'vm-2', ...WORK });
    const path = fc.array(fc.nat(20), { minLength: 1, maxLength: 4 });
    const foreign = fc.oneof(
      fc.jsonValue().map((value) => value as Json),
      fc.constantFrom<Json>('LARGE', 1e308, -1, null),
    );
    const property = fc.property(path, foreign, (places, value) => {
      const work = replaceAt(WORK, places, value);
      const text = JSON.stringify({ ...digest, ...(work as object) });
      const decoded = decodeMessage(Buffer.from(text.replaceAll('"LARGE"', '1e999')));
      const read = decoded?.message;
      assert.ok(read?.kind === 'digest');
      assert.equal(read.vm, 'vm-2');
      const sections = Object.keys(WORK) as (keyof FleetWork)[];
      const lost = sections.map((name) => {
        const kept = new Set(entriesOf(read[name]));
        return entriesOf(WORK[name]).filter((entry) => !kept.has(entry)).length;
      });
      const whole = places.length === 1 ? 2 : 1;
      assert.ok(lost.reduce((sum, count) => sum + count, 0) <= whole, text);
      sections.forEach((name) => checkNumbers(read[name]));
    });
    fc.assert(property, { numRuns, seed: readSeed() });
    assert.deepEqual(decodeMessage(encodeMessage(digest)), { message: digest, removed: [] });
  },
);

/** Bytes of a digest with one fault. */
const FAULTY_MESSAGES: Readonly<Record<string, (digest: Digest) => string>> = {
  'a load without end': ({ loads, ...digest }) =>
    JSON.stringify({ ...digest, loads: [loads[0], ['s2', 1e308, 1, 1]] }),
  'a number of requests that is text': (digest) => JSON.stringify({ ...digest, waiting: 'many' }),
  'spending below all ranges': (digest) =>
    JSON.stringify({ ...digest, spent: { ...digest.spent, t1: [-1e300, 0] } }),
  'a VM without a name': ({ vm: _, ...digest }) => JSON.stringify(digest),
  'half of its bytes': (digest) => JSON.stringify(digest).slice(0, 400),
};

When(
  /^(\d+) messages with (.*) are read within 9 s, and 1 later$/,
  async (count: string, fault: string) => {
    const metrics: string[] = [];
    const lines: LogFields[] = [];
    const kernel = Kernel.create();
    registerFake(kernel, 'metrics', { increment: (name: string) => metrics.push(name) });
    registerFake(kernel, 'logs', { warn: (_: string, facts: LogFields) => lines.push(facts) });
    const clock = ManualClock.create(0);
    const reader = MessageReader.create(kernel, clock);
    const compose = FAULTY_MESSAGES[fault] ?? assert.fail(fault);
    const datagram = Buffer.from(compose(createDigest({ vm: 'vm-2', ...WORK })));
    for (let index = 0; index < Number(count); index += 1) {
      reader.read(datagram);
      await clock.advance(9000 / Number(count));
    }
    await clock.advance(2000);
    reader.read(datagram);
    Object.assign(scenario, { readerMetrics: metrics, readerLines: lines });
  },
);

Then(
  'they are counted as {string}, and {int} log lines name {string} and count {int} messages',
  (metric: string, lines: number, entries: string, messages: number) => {
    assert.deepEqual(scenario.readerMetrics, Array<string>(messages).fill(metric));
    assert.equal(scenario.readerLines.length, lines);
    const counts = scenario.readerLines.map((line) => Number(line.messages));
    assert.equal(
      counts.reduce((sum, count) => sum + count, 0),
      messages,
    );
    scenario.readerLines.forEach((line) => assert.equal(line.entries ?? '', entries));
  },
);

function checkNumbers(value: unknown): void {
  if (typeof value === 'number') assert.ok(boundedNumber.safeParse(value).success, `${value}`);
  else if (typeof value === 'object' && value !== null) Object.values(value).forEach(checkNumbers);
}

Then('{int} series of loads within the ranges leave no load', (numRuns: number) => {
  const tokens = fc.integer({ min: TOKEN_RANGE.min, max: TOKEN_RANGE.max });
  const load = fc.record({ running: fc.constant(1), kvTokens: tokens, prefillTokens: tokens });
  const order = fc.array(fc.tuple(load, fc.nat()), { minLength: 1, maxLength: 60 });
  const property = fc.property(order, (series) => {
    const loads = ServerLoads.create();
    const releases = series.map(([added, rank]) => ({ rank, release: loads.add('s1', added) }));
    releases.sort((left, right) => left.rank - right.rank).forEach(({ release }) => release());
    assert.deepEqual(loads.totalAt('s1'), { running: 0, kvTokens: 0, prefillTokens: 0 });
  });
  fc.assert(property, { numRuns, seed: readSeed() });
});
