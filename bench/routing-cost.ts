import { createHash } from 'node:crypto';

import { build, type Histogram } from 'hdr-histogram-js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { createEngineServer, createModelRequest } from '../harness/model-fixtures.js';
import { registerFake } from '../harness/module-fakes.js';
import type { EngineServer } from '../src/domain/backend-server.js';
import { Kernel } from '../src/kernel/kernel.js';
import { ManualClock } from '../src/kernel/manual-clock.js';
import { PrefixIndex } from '../src/routing/prefix-index.js';
import { SubsetRouting } from '../src/routing/subset-routing.js';
import type { Settings } from '../src/settings/schema.js';
import { collectGarbage } from './collect-garbage.js';
import { fitSlope } from './slope.js';

const SERVER_COUNTS = [11, 50, 100, 250, 500, 1000];
const BATCHES = 60;
const CHOICES_PER_BATCH = 100;
const PROMPT_BYTES = 24_000;
const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

interface Row {
  readonly servers: number;
  readonly decodeUs: number;
  readonly decodeP99Us: number;
  readonly prefillUs: number;
  readonly prefillP99Us: number;
  readonly headroomUs: number;
  readonly tableUs: number;
  readonly decodeBytes: number;
  readonly prefillBytes: number;
  readonly bytesPerServer: number;
}

interface Cost {
  readonly meanUs: number;
  readonly p99Us: number;
  readonly bytes: number;
}

const generator = xoroshiro128plus(1);
const random = () => uniformFloat64(generator);

function createEngine(index: number): EngineServer {
  const address = { host: '127.0.0.1', port: 1 + index };
  return createEngineServer(`engine-${index}`, { address, availabilityZone: `zone-${index % 7}` });
}

function createKernel(servers: readonly EngineServer[]): Kernel {
  const kernel = Kernel.create();
  const state = {
    presetInForce: 'ordinary',
    presets: new Map([['ordinary', { affinityTokens: 4096 }]]),
    models: new Map([['planner', { kvBlockTokens: 2048, bytesPerToken: 4 }]]),
    servers: new Map(servers.map((server) => [server.name, server])),
  };
  registerFake(kernel, 'configuration', { current: () => state });
  registerFake(kernel, 'admission', { capacityChanged: () => {} });
  return kernel;
}

function createRouting(servers: readonly EngineServer[]): SubsetRouting {
  const settings = { vm: { name: 'vm-1', region: 'r', availabilityZone: 'zone-0' } };
  const kernel = createKernel(servers);
  return SubsetRouting.create(kernel, settings as Settings, ManualClock.create(), random);
}

function reportLoads(routing: SubsetRouting, servers: readonly EngineServer[]): void {
  servers.forEach(({ name }) => {
    const load = { slotsFree: 1 + Math.floor(random() * 19), blocksFree: 200, level: 1 };
    const rest = { queuedPrefillTokens: Math.floor(random() * 9000), draining: false };
    routing.observeLoad(name, { ...load, ...rest, incarnation: `run-${name}` });
  });
}

function measure(call: () => unknown): Cost {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: 3,
  });
  const sizes: number[] = [];
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const heapBefore = process.memoryUsage().heapUsed;
    for (let count = 0; count < CHOICES_PER_BATCH; count += 1) {
      const startedNs = process.hrtime.bigint();
      call();
      histogram.recordValue(Number(process.hrtime.bigint() - startedNs));
    }
    sizes.push((process.memoryUsage().heapUsed - heapBefore) / CHOICES_PER_BATCH);
  }
  // A garbage collection during a batch makes its size negative or too small; the median is unaffected.
  const bytes = sizes.sort((a, b) => a - b)[Math.floor(sizes.length / 2)] ?? 0;
  const p99Us = histogram.getValueAtPercentile(99) / 1000;
  return { meanUs: histogram.mean / 1000, p99Us, bytes };
}

function measureHeap<Kept>(create: () => Kept): { readonly kept: Kept; readonly bytes: number } {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const kept = create();
  collectGarbage();
  return { kept, bytes: process.memoryUsage().heapUsed - before };
}

function measureRow(count: number): Row {
  const servers = Array.from({ length: count }, (_, index) => createEngine(index));
  const prompt = 'x'.repeat(PROMPT_BYTES);
  const request = createModelRequest({ prompt, promptTokens: PROMPT_BYTES / 4, maxTokens: 200 });
  const routing = createRouting(servers);
  const startedMs = performance.now();
  routing.chooseDecode(request, 1, NO_EXCLUSIONS, false);
  const tableUs = (performance.now() - startedMs) * 1000;
  const { bytes } = measureHeap(() => reportLoads(routing, servers));
  measure(() => routing.choosePrefill(request, NO_EXCLUSIONS, false));
  const decode = measure(() => routing.chooseDecode(request, 1, NO_EXCLUSIONS, false));
  const prefill = measure(() => routing.choosePrefill(request, NO_EXCLUSIONS, false));
  const headroom = measure(() => routing.headroom('planner'));
  return {
    servers: count,
    decodeUs: decode.meanUs,
    decodeP99Us: decode.p99Us,
    prefillUs: prefill.meanUs,
    prefillP99Us: prefill.p99Us,
    headroomUs: headroom.meanUs,
    tableUs,
    decodeBytes: decode.bytes,
    prefillBytes: prefill.bytes,
    bytesPerServer: bytes / count,
  };
}

function measureIndexEntry(): number {
  const servers = 50;
  const entries = 1000;
  const { kept, bytes } = measureHeap(() => {
    const index = PrefixIndex.create();
    for (let server = 0; server < servers; server += 1) {
      for (let entry = 0; entry < entries; entry += 1) {
        const hash = createHash('sha256').update(`${server}/${entry}`).digest('hex');
        index.recordPrefill(`engine-${server}`, [hash.slice(0, 16)]);
      }
    }
    return index;
  });
  return bytes / kept.size;
}

function round(value: number): number {
  return Number(value.toPrecision(4));
}

function roundRow(row: Row): Row {
  const entries = Object.entries(row).map(([name, value]) => [name, round(value as number)]);
  return Object.fromEntries(entries) as Row;
}

const startedMs = performance.now();
measureRow(100);
const rows = SERVER_COUNTS.map((count) => roundRow(measureRow(count)));
const columns = Object.keys(rows[0] ?? {}).filter((name) => name !== 'servers') as (keyof Row)[];
const slopes = Object.fromEntries(
  columns.map((name) => {
    const { perUnit } = fitSlope(rows.map((row) => [row.servers, row[name]]));
    return [name, round(perUnit)];
  }),
);
const bytesPerIndexEntry = round(measureIndexEntry());
const elapsedMs = round(performance.now() - startedMs);
console.table(rows);
console.table([{ 'slope per server': '', ...slopes }]);
console.log(JSON.stringify({ bench: 'routing-cost', rows, slopes, bytesPerIndexEntry, elapsedMs }));
