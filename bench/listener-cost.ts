import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';

import { request } from 'undici';

import {
  createPlatformConfiguration,
  PLATFORM_HOST,
  PLATFORM_KEY,
} from '../harness/platform-fixtures.js';
import {
  launchPlatformRouter,
  type PlatformRouter,
  type RouterListener,
} from '../harness/platform-router.js';
import type { Address } from '../src/domain/vm.js';
import { PlatformLog } from '../stand-ins/platform/platform-log.js';

/** What the clients of a crowd send without a pause. */
type Load = 'nothing' | 'chunks of one byte' | 'short header lines' | 'a long Connection header';

const CROWDS: readonly (readonly [count: number, load: Load])[] = [
  [0, 'nothing'],
  [60, 'chunks of one byte'],
  [100, 'short header lines'],
  [300, 'a long Connection header'],
];

const PATHS: Readonly<Record<RouterListener, string>> = {
  callers: '/order/a',
  readiness: '/ready',
  control: '/status',
  directory: '/resolve',
  metrics: '/metrics',
};

const MACHINE = { memoryMb: 200, maxFds: 1000 } as const;
const NODE_OPTIONS = ['--max-old-space-size=110', '--max-semi-space-size=2'];
const HEAD_BYTES = 15_700;
const BODY_BYTES = 4_000_000;
const WARM_UP_MS = 1000;
const MEASURED_MS = 5000;
const PROBE_INTERVAL_MS = 100;
const PROBE_TIMEOUT_MS = 10_000;
const RECONNECT_MS = 10;

/** Crowd at one listener. */
interface CrowdOptions {
  readonly address: Address;
  readonly listener: RouterListener;
  readonly count: number;
  readonly load: Load;
}

/** Clients that send without a pause, and connect again when they are closed. */
class BusyCrowd {
  private constructor(
    private readonly address: Address,
    private readonly bytes: Buffer,
  ) {}

  static start({ address, listener, count, load }: CrowdOptions): void {
    const crowd = new BusyCrowd(address, buildRequest(load, listener));
    for (let index = 0; index < count; index += 1) crowd.open();
  }

  private open(): void {
    const socket = connect(this.address);
    const send = () => {
      while (!socket.destroyed && socket.write(this.bytes));
    };
    socket.on('connect', send);
    socket.on('drain', send);
    socket.on('error', () => {});
    socket.on('close', () => setTimeout(() => this.open(), RECONNECT_MS));
    socket.resume();
  }
}

function buildRequest(load: Load, listener: RouterListener): Buffer {
  const head = [
    `POST ${PATHS[listener]} HTTP/1.1`,
    `Host: ${PLATFORM_HOST}`,
    'Attempt-Id: crowd',
    `Authorization: Bearer ${PLATFORM_KEY}`,
  ];
  const shortLines = (bytes: number) => Array.from({ length: bytes / 4 }, () => 'a:');
  switch (load) {
    case 'chunks of one byte': {
      const chunks = '1\r\nx\r\n'.repeat(BODY_BYTES);
      return Buffer.from(
        `${[...head, 'Transfer-Encoding: chunked', '', ''].join('\r\n')}${chunks}0\r\n\r\n`,
      );
    }
    case 'short header lines': {
      const lines = shortLines(HEAD_BYTES);
      return Buffer.from([...head, ...lines, 'Content-Length: 0', '', ''].join('\r\n'));
    }
    case 'a long Connection header': {
      const names = `Connection: ${'b,'.repeat(HEAD_BYTES / 4)}`;
      const lines = shortLines(HEAD_BYTES / 2);
      return Buffer.from([...head, names, ...lines, 'Content-Length: 0', '', ''].join('\r\n'));
    }
    default:
      return Buffer.alloc(0);
  }
}

/** Runs a server for the routers in this thread and reports its port. */
async function runServer(): Promise<void> {
  const server = createServer({ maxHeaderSize: 65_536 }, (incoming, response) => {
    incoming.resume();
    const id = String(incoming.headers['attempt-id']);
    response.writeHead(200, { 'Attempt-Id': id, 'Server-Seal': `s.${id}` });
    response.end('answer');
  });
  server.maxHeadersCount = 0;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  parentPort!.postMessage((server.address() as AddressInfo).port);
}

function fillStore(store: PlatformLog, port: number): void {
  const entry = { service: 'yard', address: `127.0.0.1:${port}`, zone: 'sando' };
  store.put('keyed.servers', 'i-0', { ...entry, slots: 1000, state: 'ready', born: 1 });
  const configuration = createPlatformConfiguration();
  const services = configuration.services.map((service) => ({ ...service, maxConns: 1000 }));
  const limits = { ...configuration.limits, maxBodyBytes: BODY_BYTES };
  store.put('keyed.op', 'config', { ...configuration, services, limits });
}

/** Sends one ordinary request on a new connection; returns its duration, or undefined without an answer. */
async function probe(address: Address, path: string, id: string): Promise<number | undefined> {
  const startMs = performance.now();
  try {
    const { body } = await request(`http://${address.host}:${address.port}${path}`, {
      method: 'POST',
      headers: {
        host: PLATFORM_HOST,
        'attempt-id': id,
        authorization: `Bearer ${PLATFORM_KEY}`,
        connection: 'close',
      },
      body: 'ordinary',
      headersTimeout: PROBE_TIMEOUT_MS,
      bodyTimeout: PROBE_TIMEOUT_MS,
    });
    await body.dump();
    return performance.now() - startMs;
  } catch {
    return undefined;
  }
}

async function measure(
  router: PlatformRouter,
  listener: RouterListener,
  count: number,
  load: Load,
): Promise<void> {
  const crowd = new Worker(new URL(import.meta.url), {
    workerData: { address: router.addresses[listener], listener, count, load },
  });
  await delay(WARM_UP_MS);
  const probes: Promise<number | undefined>[] = [];
  for (let index = 0; index * PROBE_INTERVAL_MS < MEASURED_MS; index += 1) {
    const id = `${listener}-${load.length}-${index}`;
    probes.push(probe(router.address, PATHS.callers, id));
    await delay(PROBE_INTERVAL_MS);
  }
  const results = await Promise.all(probes);
  await crowd.terminate();
  const times = results
    .filter((ms) => ms !== undefined)
    .sort((left, right) => left - right)
    .map(Math.round);
  const row = [
    listener,
    count,
    load,
    times[Math.floor(times.length / 2)] ?? '-',
    times.at(-1) ?? '-',
    results.length - times.length,
  ];
  console.log(row.join('\t'));
  await delay(WARM_UP_MS);
}

async function main(): Promise<void> {
  const server = new Worker(new URL(import.meta.url));
  const [port] = (await once(server, 'message')) as [number];
  const store = await PlatformLog.create();
  fillStore(store, port);
  const listeners = process.argv.length > 2 ? process.argv.slice(2) : Object.keys(PATHS);
  console.log('listener\tclients\tsending\tmedian ms\tmost ms\twithout answer within 10 s, of 50');
  for (const listener of listeners as RouterListener[]) {
    for (const [count, load] of CROWDS) {
      const router = await launchPlatformRouter(store.address, 4, {
        nodeOptions: NODE_OPTIONS,
        limits: MACHINE,
      });
      await measure(router, listener, count, load);
      await router.remove();
    }
  }
  await server.terminate();
  store.close();
}

if (isMainThread) await main();
else if (workerData) BusyCrowd.start(workerData as CrowdOptions);
else await runServer();
