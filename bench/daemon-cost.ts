import { setMaxListeners } from 'node:events';
import { mkdir, writeFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';

import { callCompletion, callService, type CallerAnswer } from '../harness/caller-client.js';
import { startFleet, type Fleet } from '../harness/fleet.js';
import { createIdempotencyKey } from '../harness/idempotency-key.js';
import { MODEL, planSmallFleet } from '../harness/plans.js';
import { readUsage } from './process-usage.js';
import { fitSlope } from './slope.js';

const DAEMON_COUNTS = [3, 6, 12];
const SETTLE_MS = 5000;
const IDLE_MS = 10_000;
const REQUEST_COUNT = 400;
const CONCURRENCY = 10;
const OUTPUT_TOKEN_COUNTS = [1, 50, 200];
const STREAM_COUNTS = [0, 100, 200, 400];
const LOOKUP_PATH = '/services/yard/jobs/1';
const ORDERS_PATH = '/services/yard/orders';

/** Engine options with capacity for all open streams on a single engine. */
const HIGH_CAPACITY_ARGS = [
  ...['--slots', '2000', '--blocks', '4000', '--link-bytes-per-second', '1000000000'],
  ...['--prefill-tokens-per-second', '1000000'],
];

interface Rates {
  readonly cpuMsPerS: number;
  readonly residentMb: number;
  readonly peerBytesPerS: number;
  readonly logBytesPerS: number;
  readonly serverBytesPerS: number;
}

const results: Record<string, unknown> = {};
await measureIdle();
await measureRequests();
await measureStreams();
await mkdir('reports', { recursive: true });
await writeFile('reports/daemon-cost.json', JSON.stringify(results, undefined, 2));
process.exit(0);

/** Measures the cost of an idle daemon in fleets of different sizes. */
async function measureIdle(): Promise<void> {
  const rows: (Rates & { daemons: number })[] = [];
  for (const daemons of DAEMON_COUNTS) {
    const fleet = await startFleet(planSmallFleet({ daemons, relayed: true }));
    await delay(SETTLE_MS);
    rows.push({ daemons, ...(await measureRates(fleet, IDLE_MS)) });
    await fleet.stop();
  }
  console.log('Idle daemons: cost of one daemon');
  console.table(rows);
  const slopeOf = (field: keyof Rates) =>
    fitSlope(rows.map((row): [number, number] => [row.daemons, row[field]]));
  const slopes = { cpuMsPerS: slopeOf('cpuMsPerS'), peerBytesPerS: slopeOf('peerBytesPerS') };
  console.log('slopes by number of daemons', slopes);
  Object.assign(results, { idle: { rows, slopes } });
}

/** Measures processor time and control traffic per request, and the latency that a daemon adds. */
async function measureRequests(): Promise<void> {
  const engineArgs = [...HIGH_CAPACITY_ARGS, '--token-ms', '2'];
  const fleet = await startFleet(
    planSmallFleet({ engineArgs, changes: createHighRateChanges(), relayed: true }),
  );
  const { text: key } = await fleet.giveKey('crew');
  const [daemon] = fleet.daemons;
  const service = fleet.servers.get('yard-1');
  if (!daemon || !service) throw new Error('the fleet has no daemon or no server yard-1');
  const [host = '', port] = service.address.split(':');
  const complete = (maxTokens: number) => {
    const call = { model: MODEL, prompt: 'plan '.repeat(200), maxTokens, key, stream: true };
    return callCompletion(daemon.callers, call);
  };
  const lookup = () => callService(daemon.callers, { method: 'GET', path: LOOKUP_PATH, key });
  const order = () =>
    callService(daemon.callers, {
      ...{ method: 'POST', path: ORDERS_PATH, key, body: 'three drums of white paint' },
      idempotencyKey: createIdempotencyKey(),
    });
  const direct = () =>
    callService({ host, port: Number(port) }, { method: 'GET', path: LOOKUP_PATH });
  await repeat(REQUEST_COUNT, lookup);
  const idle = await measureRates(fleet, SETTLE_MS);
  const rows = [
    { request: 'lookup', ...(await measureCost(fleet, idle, lookup)) },
    { request: 'order', ...(await measureCost(fleet, idle, order)) },
  ];
  for (const maxTokens of OUTPUT_TOKEN_COUNTS) {
    const cost = await measureCost(fleet, idle, () => complete(maxTokens));
    rows.push({ request: `completion, ${maxTokens} tokens`, ...cost });
  }
  console.log('Requests: cost for the fleet beyond an idle one; engines take no part in it');
  console.table(rows);
  const points = rows
    .slice(2)
    .map(({ cpuMs }, index): [number, number] => [OUTPUT_TOKEN_COUNTS[index] ?? 0, cpuMs]);
  const throughMs = await median(lookup);
  const directMs = await median(direct);
  const latency = { throughMs, directMs, addedMs: throughMs - directMs };
  console.log('processor time by tokens', fitSlope(points), 'median latency of a lookup', latency);
  Object.assign(results, { requests: { rows, byTokens: fitSlope(points), latency } });
  await fleet.stop();
}

interface Cost {
  readonly cpuMs: number;
  readonly peerBytes: number;
  readonly logBytes: number;
  readonly ok: number;
}

/** Measures the cost of a request for all daemons together, minus the cost of the idle daemons. */
async function measureCost(
  fleet: Fleet,
  idle: Rates,
  call: () => Promise<CallerAnswer>,
): Promise<Cost> {
  const daemons = fleet.daemons.length;
  const before = await readTotals(fleet);
  const startMs = performance.now();
  let ok = 0;
  await repeat(REQUEST_COUNT, async () => {
    if ((await call()).complete) ok += 1;
  });
  await delay(SETTLE_MS);
  const elapsedS = (performance.now() - startMs) / 1000;
  const after = await readTotals(fleet);
  const costPerRequest = (spent: number, idlePerS: number) =>
    (spent - idlePerS * elapsedS * daemons) / REQUEST_COUNT;
  return {
    cpuMs: costPerRequest(after.cpuMs - before.cpuMs, idle.cpuMsPerS),
    // Both the sending and the receiving daemon bear the cost of each byte between peers.
    peerBytes: costPerRequest(2 * (after.peers - before.peers), idle.peerBytesPerS),
    logBytes: costPerRequest(after.log - before.log, idle.logBytesPerS),
    ok,
  };
}

/** Measures the resident memory of one daemon by number of open streams. */
async function measureStreams(): Promise<void> {
  const fleet = await startFleet(
    planSmallFleet({
      engineArgs: [...HIGH_CAPACITY_ARGS, '--token-ms', '1000'],
      changes: createHighRateChanges(),
    }),
  );
  const { text: key } = await fleet.giveKey('crew');
  const [daemon] = fleet.daemons;
  if (!daemon) throw new Error('the fleet has no daemon');
  const abort = new AbortController();
  setMaxListeners(0, abort.signal);
  const points: [number, number][] = [];
  let open = 0;
  for (const streams of STREAM_COUNTS) {
    await openStreams(fleet, key, streams - open, abort.signal);
    open = streams;
    await delay(SETTLE_MS);
    points.push([streams, (await readUsage(daemon.process.pid)).residentBytes / 1024]);
  }
  abort.abort();
  const slope = fitSlope(points);
  console.log('Open streams: resident memory of the entry daemon, in KiB', { points, slope });
  Object.assign(results, { streams: { points, slope } });
  await fleet.stop();
}

/** Opens streams and waits until each has received its first token or ended. */
async function openStreams(
  fleet: Fleet,
  key: string,
  count: number,
  signal: AbortSignal,
): Promise<void> {
  const [daemon] = fleet.daemons;
  if (!daemon) return;
  const call = { model: MODEL, prompt: 'plan '.repeat(200), maxTokens: 600, key, stream: true };
  const firstTokens = Array.from(
    { length: count },
    () =>
      new Promise<void>((resolve) => {
        const onToken = () => resolve();
        void callCompletion(daemon.callers, { ...call, signal, onToken })
          .catch(() => undefined)
          .then(() => resolve());
      }),
  );
  await Promise.all(firstTokens);
}

async function readTotals(fleet: Fleet) {
  const usages = await Promise.all(fleet.daemons.map(({ process: { pid } }) => readUsage(pid)));
  const links = fleet.daemons.flatMap((daemon) => (daemon.links ? [daemon.links] : []));
  const sum = (values: number[]) => values.reduce((total, value) => total + value, 0);
  return {
    cpuMs: sum(usages.map((usage) => usage.cpuMs)),
    residentBytes: sum(usages.map((usage) => usage.residentBytes)),
    peers: sum(links.map((link) => link.peers.countBytes())),
    log: sum(links.map((link) => link.log.countBytes())),
    servers: sum([...fleet.serverLinks.values()].map((link) => link.countBytes())),
  };
}

async function measureRates(fleet: Fleet, ms: number): Promise<Rates> {
  const before = await readTotals(fleet);
  await delay(ms);
  const after = await readTotals(fleet);
  const daemonSeconds = fleet.daemons.length * (ms / 1000);
  return {
    cpuMsPerS: (after.cpuMs - before.cpuMs) / daemonSeconds,
    residentMb: after.residentBytes / fleet.daemons.length / 1_000_000,
    // Both the sending and the receiving daemon bear the cost of each byte between peers.
    peerBytesPerS: (2 * (after.peers - before.peers)) / daemonSeconds,
    logBytesPerS: (after.log - before.log) / daemonSeconds,
    serverBytesPerS: (after.servers - before.servers) / daemonSeconds,
  };
}

async function repeat(count: number, call: () => Promise<unknown>): Promise<void> {
  let remaining = count;
  const runWorker = async () => {
    while (remaining > 0) {
      remaining -= 1;
      await call();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runWorker));
}

async function median(call: () => Promise<unknown>): Promise<number> {
  const times: number[] = [];
  for (let index = 0; index < 100; index += 1) {
    const startMs = performance.now();
    await call();
    times.push(performance.now() - startMs);
  }
  return times.toSorted((a, b) => a - b)[50] ?? 0;
}

function createHighRateChanges(): Record<string, unknown>[] {
  const route = (path: string, fields: Record<string, unknown>) => ({
    kind: 'put-route',
    route: { path, pool: 'yard', ...fields },
  });
  return [
    { kind: 'put-model', model: { name: MODEL } },
    { kind: 'put-team', team: { name: 'crew', rate: 10_000_000, burst: 50_000_000 } },
    route('/services/yard/jobs', { repeatable: true }),
    route(ORDERS_PATH, { methods: ['POST'], repeatable: false }),
  ];
}
