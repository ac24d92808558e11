import { setMaxListeners } from 'node:events';
import { mkdir, writeFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';

import { callCompletion, callService } from '../harness/caller-client.js';
import { startFleet, type Fleet } from '../harness/fleet.js';
import { MODEL, planSmallFleet } from '../harness/plans.js';
import { readUsage } from './process-usage.js';
import { fitSlope } from './slope.js';

const DAEMONS = [3, 6, 12];
const SETTLE_MS = 5000;
const IDLE_MS = 10_000;
const REQUESTS = 400;
const PARALLEL = 10;
const OUTPUTS = [1, 50, 200];
const STREAMS = [0, 100, 200, 400];
const LOOKUP = '/services/yard/jobs/1';

/** Room for every open stream on one engine. */
const ROOMY = [
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

/** Measures what a daemon costs without requests, for fleets of different sizes. */
async function measureIdle(): Promise<void> {
  const rows: (Rates & { daemons: number })[] = [];
  for (const daemons of DAEMONS) {
    const fleet = await startFleet(planSmallFleet({ daemons, relayed: true }));
    await delay(SETTLE_MS);
    rows.push({ daemons, ...(await measureRates(fleet, IDLE_MS)) });
    await fleet.stop();
  }
  console.log('Idle daemons: cost of one daemon');
  console.table(rows);
  const line = (field: keyof Rates) =>
    fitSlope(rows.map((row): [number, number] => [row.daemons, row[field]]));
  const slopes = { cpuMsPerS: line('cpuMsPerS'), peerBytesPerS: line('peerBytesPerS') };
  console.log('slopes by number of daemons', slopes);
  Object.assign(results, { idle: { rows, slopes } });
}

/** Measures processor time for each request and token, and the time that a daemon adds. */
async function measureRequests(): Promise<void> {
  const fleet = await startFleet(
    planSmallFleet({ engineArgs: [...ROOMY, '--token-ms', '2'], changes: roomyChanges() }),
  );
  const { text: key } = await fleet.giveKey('crew');
  const [daemon] = fleet.daemons;
  const service = fleet.servers.get('yard-1');
  if (!daemon || !service) throw new Error('the fleet is incomplete');
  const [host = '', port] = service.address.split(':');
  const lookup = () => callService(daemon.callers, { method: 'GET', path: LOOKUP, key });
  const direct = () => callService({ host, port: Number(port) }, { method: 'GET', path: LOOKUP });
  await repeat(REQUESTS, lookup);
  const idleMsPerS = (await measureRates(fleet, SETTLE_MS)).cpuMsPerS;
  const cost = async (call: () => Promise<unknown>) => {
    const before = await readUsage(daemon.process.pid);
    const startMs = performance.now();
    await repeat(REQUESTS, call);
    const idleMs = (idleMsPerS * (performance.now() - startMs)) / 1000;
    const after = await readUsage(daemon.process.pid);
    return (after.cpuMs - before.cpuMs - idleMs) / REQUESTS;
  };
  const lookupCpuMs = await cost(lookup);
  const completions: [number, number][] = [];
  for (const maxTokens of OUTPUTS) {
    const prompt = 'plan '.repeat(200);
    const call = { model: MODEL, prompt, maxTokens, key, stream: true };
    completions.push([maxTokens, await cost(() => callCompletion(daemon.callers, call))]);
  }
  const throughMs = await median(lookup);
  const directMs = await median(direct);
  const completion = fitSlope(completions);
  const row = {
    lookupCpuMs,
    completions,
    completion,
    throughMs,
    directMs,
    addedMs: throughMs - directMs,
  };
  console.log('Requests: processor time of the entry daemon, in milliseconds', row);
  Object.assign(results, { requests: row });
  await fleet.stop();
}

/** Measures memory of one daemon for open streams. */
async function measureStreams(): Promise<void> {
  const fleet = await startFleet(
    planSmallFleet({ engineArgs: [...ROOMY, '--token-ms', '1000'], changes: roomyChanges() }),
  );
  const { text: key } = await fleet.giveKey('crew');
  const [daemon] = fleet.daemons;
  if (!daemon) throw new Error('the fleet is incomplete');
  const abort = new AbortController();
  setMaxListeners(0, abort.signal);
  const points: [number, number][] = [];
  let open = 0;
  for (const streams of STREAMS) {
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

/** Opens streams and waits until each has its first token. */
async function openStreams(
  fleet: Fleet,
  key: string,
  count: number,
  signal: AbortSignal,
): Promise<void> {
  const [daemon] = fleet.daemons;
  if (!daemon) return;
  const call = { model: MODEL, prompt: 'plan '.repeat(200), maxTokens: 600, key, stream: true };
  const firsts = Array.from(
    { length: count },
    () =>
      new Promise<void>((resolve) => {
        const onToken = () => resolve();
        void callCompletion(daemon.callers, { ...call, signal, onToken })
          .catch(() => undefined)
          .then(() => resolve());
      }),
  );
  await Promise.all(firsts);
}

async function measureRates(fleet: Fleet, ms: number): Promise<Rates> {
  const read = async () => {
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
  };
  const before = await read();
  await delay(ms);
  const after = await read();
  const share = fleet.daemons.length * (ms / 1000);
  return {
    cpuMsPerS: (after.cpuMs - before.cpuMs) / share,
    residentMb: after.residentBytes / fleet.daemons.length / 1_000_000,
    // Each call between peers is paid for at both ends.
    peerBytesPerS: (2 * (after.peers - before.peers)) / share,
    logBytesPerS: (after.log - before.log) / share,
    serverBytesPerS: (after.servers - before.servers) / share,
  };
}

async function repeat(count: number, call: () => Promise<unknown>): Promise<void> {
  let left = count;
  const work = async () => {
    while (left > 0) {
      left -= 1;
      await call();
    }
  };
  await Promise.all(Array.from({ length: PARALLEL }, work));
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

function roomyChanges(): Record<string, unknown>[] {
  return [
    { kind: 'put-model', model: { name: MODEL } },
    { kind: 'put-team', team: { name: 'crew', rate: 10_000_000, burst: 50_000_000 } },
    {
      kind: 'put-route',
      route: { path: '/services/yard/jobs', pool: 'yard', repeatable: true },
    },
  ];
}
