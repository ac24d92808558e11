import assert from 'node:assert/strict';

import { Given, Then, When, world, type DataTable } from '@cucumber/cucumber';

import { PeerTable } from '../../src/fleet/peer-table.js';
import { LineWriter } from '../../src/observability/line-writer.js';
import { EventSplitter } from '../../src/relay/event-splitter.js';
import { DecodeQueue, type DecodeQueueEntry } from '../../src/relay/decode-queue.js';
import { RetryBudget } from '../../src/relay/retry-budget.js';
import { RouteTable } from '../../src/relay/route-table.js';
import { ServerCatalog } from '../../src/relay/server-catalog.js';
import { ServerHealth, type HealthEvidence } from '../../src/relay/server-health.js';
import { ServerLoads } from '../../src/relay/server-loads.js';
import { OUTPUT_RESERVATION_FACTOR } from '../../src/relay/reservation-size.js';
import { pickDecodeServer } from '../../src/relay/server-picker.js';
import { computePrefillEngines } from '../../src/relay/stage-balance.js';
import {
  simulatePlain,
  type PlainLoad,
  type PlainPolicy,
  type PlainResult,
} from '../support/plain-simulation.js';
import { simulatePreemption, type PreemptionResult } from '../support/preemption-simulation.js';
import { simulateDecodeQueue, type QueuePolicy } from '../support/decode-queue-simulation.js';
import {
  createCatalogServer,
  createDigest,
  createRelayConfiguration,
  createRelayRoute,
} from '../support/relay-fixtures.js';

interface RelayWorld {
  table: RouteTable;
  budgets: RetryBudget[];
  retryTimesMs: number[];
  catalog: ServerCatalog;
  splitter: EventSplitter;
  passed: string[];
  health: ServerHealth;
  peerTable: PeerTable;
  results: Record<'relay' | 'other', { onTime: number; worstTeam: number }>;
  queue: DecodeQueue<DecodeQueueEntry>;
  retryAfterMs: number;
  writer: LineWriter;
  plainLoad: PlainLoad;
  plain: PlainResult;
  preemption: Record<'relay' | 'whole', PreemptionResult>;
  chosen: string[];
  tookMs: number;
}

const scenario = world as unknown as RelayWorld;

const HOST = 'plans.example';
const LINES = 20_000;
const LINE = `${'x'.repeat(99)}\n`;

function unescape(text: string): string {
  return text.replaceAll('\\n', '\n');
}

function createEntry(startByMs: number, giveUpMs: number): DecodeQueueEntry {
  return { team: 'a', kvTokens: 10_000, priority: 1, insideRate: true, startByMs, giveUpMs };
}

Given(
  'relay routes for {string}, {string}, {string} and {string} of one host',
  (first: string, second: string, third: string, fourth: string) => {
    const routes = [first, second, third, fourth].map((pathPrefix) =>
      createRelayRoute({ name: pathPrefix, host: HOST, pathPrefix }),
    );
    scenario.table = RouteTable.create(createRelayConfiguration({ routes }));
  },
);

Then('the relay routes resolve as follows', (rows: DataTable) => {
  rows.hashes().forEach(({ path, route }) => {
    assert.equal(scenario.table.route(HOST, path!.split('?')[0]!)?.name, route, path);
  });
  assert.equal(scenario.table.route('other.example', '/a/'), undefined);
});

Given(
  '{int} relay VMs that share {int} retries plus {float} per request in {int} s',
  (vms: number, slack: number, ratio: number, seconds: number) => {
    const limits = { slack, ratio, windowMs: seconds * 1000 };
    scenario.budgets = Array.from({ length: vms }, () =>
      RetryBudget.create(limits, -limits.windowMs),
    );
    scenario.retryTimesMs = [];
  },
);

When(
  'every relay VM tries to retry each of its {int} requests a second for {int} s',
  (perSecond: number, seconds: number) => {
    const { budgets, retryTimesMs } = scenario;
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 1000 / perSecond) {
      budgets.forEach((budget) => {
        budget.recordRequest(nowMs);
        const alone = { size: budgets.length, reachable: 1, reportedMs: nowMs };
        if (budget.tryAcquire(1, alone, nowMs)) retryTimesMs.push(nowMs);
      });
    }
  },
);

Then(
  'no relay window of {int} s holds more retries than allowed, and at least half of the allowed ones are used',
  (seconds: number) => {
    const allowed = 0.2 * 20 * 6 * seconds + 52;
    const counts = scenario.retryTimesMs.map(
      (fromMs) =>
        scenario.retryTimesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + seconds * 1000)
          .length,
    );
    assert.ok(Math.max(...counts) <= allowed, `${Math.max(...counts)} of ${allowed}`);
    assert.ok(Math.max(...counts) >= allowed / 2, `${Math.max(...counts)} of ${allowed}`);
  },
);

Given('a relay catalog with server {string} that started at {int}', (id: string, at: number) => {
  scenario.catalog = ServerCatalog.create();
  scenario.catalog.replace([createCatalogServer({ id, startedAtMs: at })], 0);
});

When(
  'the relay store recovers at {int} ms and the entry of {string} is removed at {int} ms',
  (returnMs: number, id: string, nowMs: number) => {
    scenario.catalog.recordStoreRecovery(returnMs);
    scenario.catalog.apply({ id, server: undefined }, nowMs);
  },
);

When('the entry of relay server {string} is removed at {int} ms', (id: string, nowMs: number) => {
  scenario.catalog.apply({ id, server: undefined }, nowMs);
});

Given(
  '{int} relay servers that are known to leave, and {int} that have left',
  (present: number, gone: number) => {
    const ids = Array.from({ length: present }, (_, index) => `leaving-${index}`);
    scenario.catalog = ServerCatalog.create();
    scenario.catalog.replace(
      ids.map((id) => createCatalogServer({ id })),
      0,
    );
    ids.forEach((id) => scenario.catalog.recordLeaving(id, 1));
    for (let index = 0; index < gone; index += 1)
      scenario.catalog.recordLeaving(`gone-${index}`, 1);
  },
);

Then('none of the relay servers that leave is usable', () => {
  assert.deepEqual(scenario.catalog.usable('pool', 0), []);
});

Then('a digest names at most {int} of the relay servers that leave', (most: number) => {
  assert.ok(scenario.catalog.leavers.size <= most, `${scenario.catalog.leavers.size} named`);
});

When(
  'another VM reports that relay server {string} that started at {int} is leaving',
  (id: string, startedAtMs: number) => scenario.catalog.recordLeaving(id, startedAtMs),
);

When(
  'relay server {string} announces itself again with start {int}',
  (id: string, startedAtMs: number) => {
    scenario.catalog.apply({ id, server: createCatalogServer({ id, startedAtMs }) }, 0);
  },
);

function isUsable(id: string, nowMs: number): boolean {
  return scenario.catalog.usable('pool', nowMs).some((server) => server.id === id);
}

Then(
  'relay server {string} is usable at {int} ms and not at {int} ms',
  (id: string, before: number, after: number) => {
    assert.equal(isUsable(id, before), true);
    assert.equal(isUsable(id, after), false);
  },
);

Then('relay server {string} is usable at {int} ms', (id: string, nowMs: number) => {
  assert.equal(isUsable(id, nowMs), true);
});

Then('relay server {string} is not usable at {int} ms', (id: string, nowMs: number) => {
  assert.equal(isUsable(id, nowMs), false);
});

When('the relay splits {string} and {string}', (first: string, second: string) => {
  scenario.splitter = EventSplitter.create();
  scenario.passed = [first, second].map((piece) =>
    scenario.splitter.push(Buffer.from(unescape(piece))).toString(),
  );
});

Then('the relay forwards {string} and {string}', (first: string, second: string) => {
  assert.deepEqual(scenario.passed, [unescape(first), unescape(second)]);
});

Then('the relay would resume after {string}', (id: string) => {
  assert.equal(scenario.splitter.lastEventId, id);
});

Then(
  'of {int} relay engines {int} prefill ones become {int} at {int} ms prefill, {int} ms decode and {int} places',
  (
    engines: number,
    now: number,
    wanted: number,
    prefillMs: number,
    decodeMs: number,
    places: number,
  ) => {
    const cost = { prefillMs, decodeMs, kvTokens: 1000 };
    const room = { slots: 100, kvTokens: places * 1000 };
    assert.equal(computePrefillEngines(engines, now, cost, room), wanted);
  },
);

When(
  'relay server {string} is recorded as {word} at {int} ms',
  (id: string, evidence: string, nowMs: number) => {
    scenario.health ??= ServerHealth.create();
    scenario.health.record(id, evidence as HealthEvidence, nowMs);
  },
);

When('another VM avoids relay server {string} at {int} ms', (id: string, nowMs: number) => {
  scenario.health.recordAvoided(id, 400, nowMs);
});

Then(
  'connections to relay server {string} are trusted from {int} ms on',
  (id: string, fromMs: number) => {
    assert.equal(scenario.health.brokenMs(id), fromMs);
  },
);

Then('relay server {string} is avoided at {int} ms', (id: string, nowMs: number) => {
  assert.equal(scenario.health.isAvoided(id, nowMs), true);
});

Then('relay server {string} is not avoided at {int} ms', (id: string, nowMs: number) => {
  assert.equal(scenario.health.isAvoided(id, nowMs), false);
});

Given(
  'a relay peer table with digests of {string} and {string} received at {int} ms',
  (first: string, second: string, nowMs: number) => {
    scenario.peerTable = PeerTable.create('a');
    [first, second].forEach((vm) =>
      scenario.peerTable.recordDigest(createDigest({ vm, sequence: 1 }), nowMs),
    );
  },
);

When(
  'the relay peer table receives a digest of {string} at {int} ms',
  (vm: string, nowMs: number) => {
    assert.equal(scenario.peerTable.recordDigest(createDigest({ vm, sequence: 2 }), nowMs), true);
  },
);

Then(
  'the relay peer table can reach {string} at {int} ms and counts {int} VMs',
  (vm: string, nowMs: number, size: number) => {
    const reachable = scenario.peerTable.reachable(nowMs).map(({ vm: name }) => name);
    assert.deepEqual(reachable, [vm]);
    assert.equal(scenario.peerTable.size(nowMs), size);
  },
);

Then('the relay peer table counts {int} VMs at {int} ms', (size: number, nowMs: number) => {
  assert.equal(scenario.peerTable.size(nowMs), size);
});

Then('the relay peer table refuses digest {int} of {string}', (sequence: number, vm: string) => {
  assert.equal(scenario.peerTable.recordDigest(createDigest({ vm, sequence }), 10), false);
});

When(
  /^(first come|least slack|fair by team only) serves the relay burst with seed (\d+)$/,
  (policy: string, seed: string) => {
    scenario.results = {
      relay: simulateDecodeQueue('relay', Number(seed)),
      other: simulateDecodeQueue(policy as QueuePolicy, Number(seed)),
    };
  },
);

Then(
  /^the relay queue serves as many on time and the worst team no worse than (?:first come|least slack|fair by team only)$/,
  () => {
    const { relay, other } = scenario.results;
    const seen = JSON.stringify(scenario.results);
    assert.ok(relay.onTime >= other.onTime, seen);
    assert.ok(relay.worstTeam >= other.worstTeam, seen);
  },
);

Given(
  'a relay queue with {int} waiting requests and {int} starts a second',
  (waiting: number, perSecond: number) => {
    scenario.queue = DecodeQueue.create<DecodeQueueEntry>();
    for (let index = 0; index < 4 * perSecond; index += 1) {
      const entry = createEntry(100_000, 100_000);
      scenario.queue.add(entry, 0);
      scenario.queue.dequeue(entry, index * 100);
    }
    for (let index = 0; index < waiting; index += 1) {
      scenario.queue.add(createEntry(100_000, 100_000), 4000);
    }
  },
);

Given('a relay queue with a request that is late already', () => {
  scenario.queue = DecodeQueue.create<DecodeQueueEntry>();
  scenario.queue.add(createEntry(100, 5000), 200);
});

Then(
  'the relay queue serves it only while no other VM has a request that can still meet its target',
  () => {
    assert.equal(scenario.queue.punctualSize, 0);
    assert.equal(scenario.queue.next(300, true), undefined);
    assert.notEqual(scenario.queue.next(300, false), undefined);
  },
);

When('a relay request arrives whose caller gives up after {int} ms', (patienceMs: number) => {
  scenario.retryAfterMs = scenario.queue.add(createEntry(4700, 4000 + patienceMs), 4000);
});

Then('it is refused at once, to be retried after {int} to {int} s', (min: number, max: number) => {
  const seconds = scenario.retryAfterMs / 1000;
  assert.ok(seconds >= min && seconds <= max, `${seconds} s`);
});

Given('a relay log whose reader has stopped', () => {
  const full = Object.assign(new Error('full'), { code: 'EAGAIN' });
  scenario.writer = LineWriter.create((chunk, done) => {
    setTimeout(() => done(full, 0), 1000).unref();
  });
});

When('the relay log gets {int} lines of {int} bytes', (lines: number, bytes: number) => {
  assert.equal(lines, LINES);
  assert.equal(LINE.length, bytes);
  const startMs = performance.now();
  for (let index = 0; index < lines; index += 1) scenario.writer.write(LINE);
  scenario.tookMs = performance.now() - startMs;
});

Then(
  'the relay log took less than {int} ms, holds at most {int} bytes and counts the rest as dropped',
  (mostMs: number, mostBytes: number) => {
    assert.ok(scenario.tookMs < mostMs, `${scenario.tookMs} ms`);
    const kept = LINES - scenario.writer.dropped;
    assert.ok(kept > 0 && kept * LINE.length <= mostBytes, `${kept} lines kept`);
  },
);

When(
  'relay VMs run the plain load {float} with {int} VMs, load data {int} ms old and seed {int}',
  (load: number, vms: number, loadAgeMs: number, seed: number) => {
    scenario.plainLoad = { load, vms, loadAgeMs, seed };
    scenario.plain = simulatePlain('relay', scenario.plainLoad);
  },
);

When(
  'relay VMs run the plain load {float} with {int} VMs and {int} failing servers, load data {int} ms old and seed {int}',
  (load: number, vms: number, failing: number, loadAgeMs: number, seed: number) => {
    scenario.plainLoad = { load, vms, failing, loadAgeMs, seed };
    scenario.plain = simulatePlain('relay', scenario.plainLoad);
  },
);

Then('the relay fails no more plain requests than {string}', (policy: string) => {
  const other = simulatePlain(policy as PlainPolicy, scenario.plainLoad);
  const { failed } = scenario.plain;
  assert.ok(failed <= other.failed, `${failed} to ${other.failed} failed`);
});

Then(
  'no more requests of the relay are rejected by full servers than with {string}, and as many are answered on time',
  (policy: string) => {
    const other = simulatePlain(policy as PlainPolicy, scenario.plainLoad);
    const { onTime, shed } = scenario.plain;
    assert.ok(shed <= other.shed, `${shed} to ${other.shed} rejected`);
    assert.ok(onTime >= other.onTime, `${onTime} to ${other.onTime} on time`);
  },
);

Then(
  'the relay answers at least {float} times as many on time as {string}',
  (times: number, policy: string) => {
    const other = simulatePlain(policy as PlainPolicy, scenario.plainLoad);
    const { onTime } = scenario.plain;
    assert.ok(onTime >= times * other.onTime, `${onTime} to ${other.onTime} on time`);
  },
);

When(
  'a decode engine runs requests with estimated answer lengths, with seed {int}',
  (seed: number) => {
    scenario.preemption = {
      relay: simulatePreemption(OUTPUT_RESERVATION_FACTOR, seed),
      whole: simulatePreemption(Infinity, seed),
    };
  },
);

Then('it recomputes at most {int} percent of the prompt tokens', (percent: number) => {
  const { recomputed } = scenario.preemption.relay;
  assert.ok(100 * recomputed <= percent, `${100 * recomputed} percent`);
});

Then(
  'it completes at least {float} times as many requests as with memory reserved for the longest answers',
  (times: number) => {
    const { relay, whole } = scenario.preemption;
    assert.ok(relay.finished >= times * whole.finished, `${relay.finished} to ${whole.finished}`);
  },
);

Then('the relay refuses no plain request', () => {
  assert.equal(scenario.plain.refused, 0);
});

When(
  /^(\d+) relay VMs choose among (\d+) decode engines from the same (old|fresh) load data$/,
  (vms: string, engines: string, news: string) => {
    const loads = ServerLoads.create();
    const servers = Array.from({ length: Number(engines) }, (_, index) =>
      createCatalogServer({ id: `e${index}`, slots: 12, stage: 'decode' }),
    );
    servers.forEach(({ id }, index) => loads.add(id, { running: 1 + (index % 5) }));
    loads.add('e7', { running: -1 });
    const facts = { loads, health: ServerHealth.create(), availabilityZone: 'sando', nowMs: 0 };
    const capacity = { slots: 12, kvTokens: 73_000 };
    scenario.chosen = Array.from({ length: Number(vms) }, () => {
      const choice = { ...facts, newsIsOld: news === 'old' };
      return pickDecodeServer(servers, new Set(), 5000, capacity, choice)!.id;
    });
  },
);

Then('at most {int} of the relay VMs choose the same engine', (most: number) => {
  const counts = new Map<string, number>();
  scenario.chosen.forEach((id) => counts.set(id, (counts.get(id) ?? 0) + 1));
  assert.ok(Math.max(...counts.values()) <= most, JSON.stringify([...counts]));
});
