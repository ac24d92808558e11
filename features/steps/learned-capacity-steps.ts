import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import {
  createReports,
  createWorkKey,
  mergeCapacityReports,
  readReports,
  type CapacityReport,
} from '../../src/capacity/capacity-report.js';
import { ServerCapacities, type CapacityChange } from '../../src/capacity/server-capacities.js';
import type { WorkSums } from '../../src/capacity/work-sums.js';
import type { CatalogServer, Stage } from '../../src/relay/server-catalog.js';
import { ServerHealth } from '../../src/relay/server-health.js';
import { ServerLoads } from '../../src/relay/server-loads.js';
import {
  pickDecodeServer,
  pickPlainServer,
  pickPrefillServer,
} from '../../src/relay/server-picker.js';
import { PLAIN_PACES, type PlainPaceName } from '../support/plain-paces.js';
import { simulatePlain, type PlainLoad, type PlainResult } from '../support/plain-simulation.js';
import { createCatalogServer } from '../support/relay-fixtures.js';

interface CapacityWorld {
  load: PlainLoad;
  learned: PlainResult;
  servers: CatalogServer[];
  capacities: ServerCapacities;
  changes: CapacityChange[];
  chosen: CatalogServer[];
  reports: CapacityReport[][];
  capacityReports: CapacityReport[];
  log(text: string): void;
}

const scenario = world as unknown as CapacityWorld;

const SIMULATION = { timeout: 180_000 } as const;

/** Time at which the servers of a pool have been known for long, in milliseconds. */
const NOW_MS = 10_000;

const LATER_MS = 15_100;

function createPool(count: number, stage?: Stage): void {
  scenario.servers = Array.from({ length: count }, (_, index) =>
    createCatalogServer({ id: `s${index + 1}`, slots: stage ? 12 : 6, stage }),
  );
  scenario.changes = [];
  scenario.capacities = ServerCapacities.create(
    { list: () => scenario.servers, isDown: () => false },
    (change) => scenario.changes.push(change),
  );
  scenario.capacities.adjust(scenario.servers, 0);
}

function shareOnTime({ onTime, arrivedBySecond }: PlainResult): number {
  return (100 * onTime) / arrivedBySecond.reduce((sum, each) => sum + each, 0);
}

/** Percentage of an equal share that a server got in some seconds. */
function shareSent(server: number, fromS: number, toS: number): number {
  const { sentBySecond } = scenario.learned;
  const sums = sentBySecond.map((sent) => sent.slice(fromS, toS).reduce((a, b) => a + b, 0));
  return (100 * sums[server]! * sums.length) / sums.reduce((a, b) => a + b, 0);
}

function answer(server: CatalogServer, requests: number, tookMs: number): void {
  for (let index = 0; index < requests; index += 1)
    scenario.capacities.recordAnswer(server, 2, tookMs, NOW_MS);
}

When(
  /^capacity VMs send load ([\d.]+) to plain servers of (.+), (\d+) VMs with news (\d+) ms old and seed (\d+)$/,
  SIMULATION,
  (load: string, pace: PlainPaceName, vms: string, newsMs: string, seed: string) => {
    const size = { vms: Number(vms), loadAgeMs: Number(newsMs), seed: Number(seed) };
    scenario.load = { ...size, load: Number(load), pace: PLAIN_PACES[pace] };
    scenario.learned = simulatePlain('relay with learned capacities', scenario.load);
  },
);

Then('at least {float}% of the capacity requests are answered on time', (percent: number) => {
  const share = shareOnTime(scenario.learned);
  scenario.log(`${share.toFixed(1)}% on time`);
  assert.ok(share >= percent, `${share}% on time`);
});

Then(
  'the capacity picker answers at least {float} points more on time than the one without learning',
  SIMULATION,
  (points: number) => {
    const learned = shareOnTime(scenario.learned);
    const fixed = shareOnTime(simulatePlain('relay', scenario.load));
    scenario.log(`${learned.toFixed(1)}% and ${fixed.toFixed(1)}% on time`);
    assert.ok(learned - fixed >= points, `${learned}% and ${fixed}% on time`);
  },
);

Then(
  'no capacity server gets less than {int}% of an equal share in any second after the first {int}',
  (least: number, first: number) => {
    const shares = scenario.learned.sentBySecond.flatMap((sent, server) =>
      sent.slice(first).map((_, index) => shareSent(server, first + index, first + index + 1)),
    );
    scenario.log(`at least ${Math.min(...shares).toFixed(0)}% of an equal share`);
    assert.ok(Math.min(...shares) >= least, `${Math.min(...shares)}%`);
  },
);

Then(
  /^capacity server (\d+) gets (fewer than|at least) (\d+)% of an equal share from (\d+) s to (\d+) s$/,
  (server: string, bound: string, percent: string, fromS: string, toS: string) => {
    const share = shareSent(Number(server) - 1, Number(fromS), Number(toS));
    const holds = bound === 'at least' ? share >= Number(percent) : share < Number(percent);
    assert.ok(holds, `${share}%`);
  },
);

Given(
  'a capacity pool of {int} servers that each answered {int} requests in {int} ms',
  (count: number, requests: number, tookMs: number) => {
    createPool(count);
    scenario.servers.forEach((server) => answer(server, requests, tookMs));
  },
);

Then('the capacities change neither the slots nor a single choice of {int}', (choices: number) => {
  const { servers, capacities } = scenario;
  assert.equal(capacities.adjust(servers, NOW_MS), servers);
  const loads = ServerLoads.create();
  servers.forEach(({ id }, index) => loads.add(id, { running: index }));
  const facts = { loads, health: ServerHealth.create(), availabilityZone: 'a', nowMs: NOW_MS };
  for (let index = 0; index < choices; index += 1) {
    const draw = () => index / choices;
    const plain = pickPlainServer(servers, new Set(), facts, draw);
    assert.equal(pickPlainServer(servers, new Set(), { ...facts, capacities }, draw), plain);
  }
});

When('capacity servers {int} to {int} are restarted', (first: number, last: number) => {
  scenario.servers = scenario.servers.map((server, index) =>
    index + 1 < first || index + 1 > last
      ? server
      : { ...server, startedAtMs: server.startedAtMs + 1 },
  );
});

Then(
  'the capacity share of server {int} is at most {int} percent, and {int} percent {int} s later',
  (server: number, most: number, later: number, seconds: number) => {
    assert.equal(seconds, 5);
    const { capacities, servers } = scenario;
    assert.ok(100 * capacities.shareOf(servers[server - 1]!, NOW_MS) <= most);
    assert.equal(100 * capacities.shareOf(servers[server - 1]!, LATER_MS), later);
  },
);

Then(
  'the capacity share of server {int} is at least {int} percent',
  (server: number, least: number) => {
    const { capacities, servers } = scenario;
    assert.ok(100 * capacities.shareOf(servers[server - 1]!, LATER_MS + 200) >= least);
  },
);

When(
  'capacity server {int} answers {int} requests in {int} ms',
  (server: number, requests: number, tookMs: number) =>
    answer(scenario.servers[server - 1]!, requests, tookMs),
);

Then(
  'the capacity share of server {int} is between {int} and {int} percent',
  (server: number, least: number, most: number) => {
    const share = 100 * scenario.capacities.shareOf(scenario.servers[server - 1]!, NOW_MS);
    assert.ok(share >= least && share <= most, `${share}%`);
  },
);

Then(
  'its capacity slots are at least {int}, and those of the others are the announced ones',
  (least: number) => {
    const [first, ...others] = scenario.capacities.adjust(scenario.servers, NOW_MS);
    assert.ok(first!.slots >= least && first!.slots < 6, `${first!.slots}`);
    assert.deepEqual(others, scenario.servers.slice(1));
  },
);

Then('one line tells of the capacity change', () => {
  assert.deepEqual(
    scenario.changes.map(({ server }) => server.id),
    ['s1'],
  );
});

Given(
  'a capacity pool of prefill engines that read {int}, {int} and {int} tokens a ms',
  (slow: number, fast: number, other: number) => {
    createPool(3, 'prefill');
    const speeds = [slow, fast, other];
    scenario.servers.forEach((server, index) => {
      for (let prompt = 0; prompt < 50; prompt += 1)
        scenario.capacities.recordPrefill(server, 4000, 4000 / speeds[index]!, NOW_MS);
    });
  },
);

When(
  '{int} capacity prompts of {int} tokens are queued there',
  (prompts: number, tokens: number) => {
    const { servers, capacities } = scenario;
    const loads = ServerLoads.create();
    const health = ServerHealth.create();
    const facts = { loads, health, capacities, availabilityZone: 'a', nowMs: NOW_MS };
    scenario.chosen = Array.from({ length: prompts }, () => {
      const { server } = pickPrefillServer(servers, new Set(), tokens, facts)!;
      loads.add(server.id, { prefillTokens: tokens });
      return server;
    });
  },
);

Then('the slow capacity engine gets {int} to {int} of them', (least: number, most: number) => {
  const count = scenario.chosen.filter(({ id }) => id === 's1').length;
  assert.ok(count >= least && count <= most, `${count}`);
});

Then(
  'its capacity prefill speed is between {int} and {int} tokens a ms',
  (least: number, most: number) => {
    const speed = scenario.capacities.prefillSpeed(scenario.servers[0]!, NOW_MS)!;
    assert.ok(speed >= least && speed <= most, `${speed}`);
  },
);

Given(
  'a capacity pool of {int} decode engines with a pause goal of {int} ms',
  (count: number, goalMs: number) => {
    createPool(count, 'decode');
    scenario.capacities.configure(new Map([['pool', goalMs]]));
  },
);

When(
  'capacity engine {int} sends events every {int} ms at {int} streams and every {int} ms at {int}, the others every {int} ms',
  (
    engine: number,
    lightMs: number,
    light: number,
    fullMs: number,
    full: number,
    othersMs: number,
  ) => {
    scenario.servers.forEach((server, index) => {
      const [atLight, atFull] = index + 1 === engine ? [lightMs, fullMs] : [othersMs, othersMs];
      for (let part = 0; part < 30; part += 1) {
        scenario.capacities.recordEvents(server, light, 16, 16 * atLight, NOW_MS);
        scenario.capacities.recordEvents(server, full, 16, 16 * atFull, NOW_MS);
      }
    });
  },
);

Then(
  'capacity engine {int} takes {int} to {int} streams and the others take {int}',
  (engine: number, least: number, most: number, others: number) => {
    const slots = scenario.capacities
      .adjust(scenario.servers, NOW_MS)
      .map((server) => server.slots);
    const [own] = slots.splice(engine - 1, 1);
    assert.ok(own! >= least && own! <= most, `${own}`);
    assert.deepEqual([...new Set(slots)], [others]);
  },
);

Then('a capacity stream goes to another engine than {int} at equal load', (engine: number) => {
  const { servers, capacities } = scenario;
  const loads = ServerLoads.create();
  servers.forEach(({ id }) => loads.add(id, { running: 2 }));
  const health = ServerHealth.create();
  const facts = { loads, health, capacities, availabilityZone: 'sando', nowMs: NOW_MS };
  const size = { slots: 12, kvTokens: 73_000 };
  for (let index = 0; index < 50; index += 1) {
    const { id } = pickDecodeServer(servers, new Set(), 100, size, facts)!;
    assert.notEqual(id, `s${engine}`);
  }
});

Given('capacity reports of {int} VMs on {int} servers', (vms: number, servers: number) => {
  scenario.reports = Array.from({ length: vms }, (_, vm) =>
    Array.from({ length: 24 }, (_each, index): CapacityReport => {
      const server = (vm * 24 + index) % servers;
      return [`i-${1e9 + server}`, 1.7e12, 0, 1 + vm, 4000 * (1 + vm), 2 * (1 + index), 900, 0];
    }),
  );
});

Then('merged capacity reports are the same in any order, and in parts', () => {
  const some = scenario.reports.slice(0, 6);
  const sort = (reports: CapacityReport[]) => reports.map((each) => each.join(' ')).sort();
  const merged = sort(mergeCapacityReports(some));
  assert.deepEqual(sort(mergeCapacityReports([...some].reverse())), merged);
  const parts = [some.slice(0, 2), some.slice(2)].map(mergeCapacityReports);
  assert.deepEqual(sort(mergeCapacityReports(parts)), merged);
});

Then(
  'one VM sends at most {int} and a hub at most {int} of them, in at most {int} KB',
  (own: number, hub: number, kilobytes: number) => {
    const merged = mergeCapacityReports(scenario.reports);
    const works = merged.map(
      ([id, started, task, ...sums]) => [`${id} ${started} ${task}`, sums] as const,
    );
    assert.equal(createReports(new Map(works)).length, own);
    assert.equal(merged.length, hub);
    const bytes = JSON.stringify(merged).length;
    scenario.log(`${bytes} bytes`);
    assert.ok(bytes <= 1024 * kilobytes, `${bytes} bytes`);
  },
);

Then('a capacity report loses half of its weight in 3 s, and all when its source has gone', () => {
  createPool(2);
  const [first, second] = scenario.servers as [CatalogServer, CatalogServer];
  answer(first, 100, 100);
  const reportOf = (nowMs: number) => scenario.capacities.reports(nowMs)[0]!;
  assert.equal(reportOf(NOW_MS + 3000)[3], reportOf(NOW_MS)[3] / 2);
  scenario.capacities.update('hub', [[second.id, 1, 0, 100, 100_000, 0, 0, 0]], NOW_MS);
  assert.ok(scenario.capacities.shareOf(second, NOW_MS + 200) < 0.3);
  scenario.capacities.removeSource('hub');
  assert.equal(scenario.capacities.shareOf(second, NOW_MS + 400), 1);
});

const SAMPLE_WORK: WorkSums = [3, 120, 2, 90, 1];

Given(
  'capacity work at the server {string} that was started at {float}',
  (id: string, startedAtMs: number) => {
    const key = createWorkKey(id, startedAtMs, 'plain');
    scenario.capacityReports = createReports(new Map([[key, SAMPLE_WORK]]));
  },
);

Then(
  'its capacity report names {string} started at {float}, and reads back',
  (id: string, startedAtMs: number) => {
    const [report] = scenario.capacityReports;
    assert.deepEqual(report, [id, startedAtMs, 0, ...SAMPLE_WORK]);
    const works = readReports(scenario.capacityReports);
    assert.deepEqual(works.get(createWorkKey(id, startedAtMs, 'plain')), SAMPLE_WORK);
  },
);
