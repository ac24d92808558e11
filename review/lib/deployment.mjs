/* eslint n/no-sync: "off", max-classes-per-file: "off" */
/* eslint-disable */
// Starts the routers of a small deployment as separate processes with the command of the deploy file.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync } from 'node:fs';
import { createServer, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

async function freePort(host) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, host, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Bounds of the site stripe-tt, as `fleetbench wire` prints them. */
const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxSkewMs: 5000,
  strictRevoke: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retrySlack: 52,
  quotaWindowS: 8,
  quotaOverage: 0.1,
  quotaSlack: 110000,
  recoverS: 12,
  transitMs: 120,
  retryAfterS: 3,
  requireFence: true,
  leaseMs: 3000,
  thawSlackMs: 300,
  ttl_max_s: 5,
};

/** One router, started with the command of deploy/system.toml. */
export class Router {
  constructor(name, host, settings, folder) {
    this.name = name;
    this.host = host;
    this.settings = settings;
    this.front = Number(settings.listen.front.split(':')[1]);
    this.ready = Number(settings.listen.ready.split(':')[1]);
    this.directory = Number(settings.listen.directory.split(':')[1]);
    this.file = join(folder, `${name}.json`);
    this.log = join(folder, `${name}.log`);
    this.exits = [];
    writeFileSync(this.file, JSON.stringify(settings));
  }

  start() {
    const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
    const command = /^run = "(.*)"$/m.exec(text)[1].split(' ');
    command[command.length - 1] = String(this.settings.metricsPort);
    const out = openSync(this.log, 'a');
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(process.execPath, command.slice(1), {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CUMINSPAR_BOOT: this.file },
      stdio: ['ignore', out, out],
    });
    this.running = true;
    this.child.on('exit', (code, signal) => {
      this.running = false;
      this.exits.push({ code, signal, atMs: performance.now() });
      this.onExit?.(code, signal);
    });
  }

  async waitUntilReady(timeoutMs = 20_000) {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      try {
        const reply = await fetch(`http://${this.host}:${this.ready}/ready`);
        if (reply.status === 200) return;
      } catch {}
      await sleep(50);
    }
    throw new Error(`${this.name} was not ready in time`);
  }

  kill(signal) {
    if (this.running) this.child.kill(signal);
  }
}

/** A loopback address of this process alone, so that ports found free stay free beside other cases. */
function ownHost() {
  const { pid } = process;
  return `127.${64 + ((pid >> 14) & 63)}.${(pid >> 7) & 127}.${1 + (pid & 127)}`;
}

/** A store, routers and the folder of their settings. */
export class Deployment {
  routers = [];

  static async create({ configuration, hosts = [ownHost()] }) {
    const deployment = new Deployment();
    deployment.folder = mkdtempSync(join(tmpdir(), 'review-'));
    deployment.store = new Store();
    await deployment.store.listen();
    if (configuration) deployment.store.putConfiguration(configuration);
    const [first] = hosts;
    const ports = [];
    while (ports.length < 5) {
      const port = await freePort(first);
      if (!ports.includes(port)) ports.push(port);
    }
    const [front, ready, control, directory, metricsPort] = ports;
    const digest = await freePort(first);
    hosts.forEach((host, index) => {
      const name = `front-sando-${index + 1}`;
      const settings = {
        node: name,
        role: 'router',
        machineClass: 'front',
        serves: ['front', 'control', 'directory'],
        ip: host,
        zone: 'sando',
        region: 'tt-south',
        zones: { sando: 'tt-south' },
        listen: {
          front: `${host}:${front}`,
          ready: `${host}:${ready}`,
          control: `${host}:${control}`,
          directory: `${host}:${directory}`,
        },
        portRange: [digest, digest],
        seeds: hosts.map((each) => `${each}:${control}`),
        bootstrap: true,
        limits: { cpuShare: 0.675, cores: 1, memoryMb: 200, maxFds: 4100, linkMbps: 1000 },
        dataDir: null,
        discovery: 'platform',
        entry: 'directory',
        heartbeatMs: 1200,
        bounds: BOUNDS,
        provider: {
          address: deployment.store.address,
          form: 'log',
          writesPerS: 400,
          readsPerS: 2000,
          keep_s: 300,
          ttlMinMs: 1000,
        },
        metricsPort,
      };
      deployment.routers.push(new Router(name, host, settings, deployment.folder));
    });
    return deployment;
  }

  /** Lets the routers reach the store at another address, such as that of a proxy; before `start`. */
  setStoreAddress(address) {
    this.routers.forEach((router) => {
      router.settings.provider.address = address;
      writeFileSync(router.file, JSON.stringify(router.settings));
    });
  }

  async start() {
    this.routers.forEach((router) => router.start());
    await Promise.all(this.routers.map((router) => router.waitUntilReady()));
  }

  async stop() {
    this.routers.forEach((router) => {
      router.onExit = undefined;
      router.kill('SIGKILL');
    });
    await sleep(200);
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Configuration like that of the site stripe-tt: a stream route and two routes of a plain service. */
export function buildConfiguration(overrides = {}) {
  const shared = { host: 'plans.example', priority: 1, public: false, attempts: 1 };
  const plan = {
    ...shared,
    name: 'plan',
    pathPrefix: '/plan/',
    kind: 'stream',
    service: 'planner',
    timeoutMs: 14_000,
    latencyTargetMs: 900,
    gapGoalMs: 300,
    sticky: true,
    ...overrides.plan,
  };
  const order = {
    ...shared,
    name: 'order',
    pathPrefix: '/order/',
    kind: 'unsafe',
    service: 'yard',
    timeoutMs: 1500,
    latencyTargetMs: 193,
    ...overrides.order,
  };
  const lookup = {
    ...shared,
    name: 'lookup',
    pathPrefix: '/lookup/',
    kind: 'safe',
    service: 'yard',
    attempts: 2,
    timeoutMs: 1500,
    latencyTargetMs: 193,
  };
  const engine = { slots: 48, kvCapacity: 73_378, handleTtlS: 0.5, restageS: 6, holdMs: 2000 };
  return {
    version: overrides.version ?? 3,
    routes: [plan, order, lookup],
    services: [
      { name: 'planner', maxConns: 290, engine },
      { name: 'yard', maxConns: 96 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 15_000,
    },
    tenants: [
      {
        name: 'savannah',
        apiKeys: ['k1'],
        ratePerS: 1_000_000,
        burst: 1_000_000,
        plainTokens: 200,
      },
    ],
  };
}

let attempts = 0;

/**
 * A client's connection to a router, kept open for requests one after the other. Each request gets what
 * arrived until its end: status, headers, body, and whether the answer was complete.
 */
export class Client {
  constructor(host, port) {
    this.host = host;
    this.port = port;
  }

  open() {
    this.socket = connect(this.port, this.host);
    this.socket.setNoDelay(true);
    this.bytes = Buffer.alloc(0);
    this.ended = undefined;
    this.socket.on('data', (chunk) => {
      this.bytes = Buffer.concat([this.bytes, chunk]);
      this.wake?.();
    });
    const end = (how) => () => {
      this.ended ??= how;
      this.wake?.();
    };
    this.socket.on('error', (error) => end(error.code)());
    this.socket.on('end', end('closed'));
    this.socket.on('close', end('closed'));
  }

  get usable() {
    return this.socket && !this.ended;
  }

  /** Sends one request and resolves with its answer. */
  async request({ method = 'POST', path, headers = {}, body = '', deadlineMs = 1500 }) {
    const kept = this.usable;
    if (!kept) this.open();
    attempts += 1;
    const id = `a${process.pid.toString(16)}${attempts.toString(16).padStart(8, '0')}`;
    const lines = [
      `${method} ${path} HTTP/1.1`,
      'Host: plans.example',
      `Attempt-Id: ${id}`,
      `Deadline-Ms: ${deadlineMs}`,
      'Authorization: Bearer k1',
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
    ];
    const sentMs = performance.now();
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n${method === 'GET' ? '' : body}`);
    const answer = await this.readAnswer(deadlineMs + 2000);
    return { id, path, kept, sentMs, tookMs: performance.now() - sentMs, ...answer };
  }

  async readAnswer(timeoutMs) {
    const endMs = performance.now() + timeoutMs;
    let expired = false;
    for (;;) {
      const answer = parseAnswer(this.bytes, this.ended);
      if (answer) {
        this.bytes = this.bytes.subarray(answer.bytes);
        if (/close/i.test(answer.headers.connection ?? '')) {
          this.socket.destroy();
          this.ended ??= 'closed';
        }
        return answer;
      }
      if (this.ended || expired) {
        const partial = parseHead(this.bytes);
        const how = this.ended ?? 'no answer in time';
        this.socket.destroy();
        this.ended ??= how;
        return {
          status: partial?.status,
          headers: partial?.headers ?? {},
          complete: false,
          how,
          body: partial ? this.bytes.subarray(partial.length).toString() : '',
        };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(
          () => {
            expired = true;
            resolve();
          },
          Math.max(1, endMs - performance.now()),
        );
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  close() {
    this.socket?.destroy();
    this.ended ??= 'closed';
  }
}

function parseHead(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const [first, ...lines] = bytes.toString('latin1', 0, end).split('\r\n');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  return { status: Number(first.split(' ')[1]), headers, length: end + 4 };
}

/** Parses one whole answer; undefined when it is not complete. */
function parseAnswer(bytes, ended) {
  const head = parseHead(bytes);
  if (!head) return undefined;
  const { status, headers, length } = head;
  if (headers['content-length'] !== undefined) {
    const end = length + Number(headers['content-length']);
    if (bytes.length < end) return undefined;
    return {
      status,
      headers,
      complete: true,
      body: bytes.toString('utf8', length, end),
      bytes: end,
    };
  }
  if (/chunked/i.test(headers['transfer-encoding'] ?? '')) {
    let position = length;
    const parts = [];
    for (;;) {
      const lineEnd = bytes.indexOf('\r\n', position);
      if (lineEnd < 0) return undefined;
      const size = parseInt(bytes.toString('latin1', position, lineEnd), 16);
      if (bytes.length < lineEnd + 2 + size + 2) return undefined;
      parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
      position = lineEnd + 2 + size + 2;
      if (size === 0) {
        const body = Buffer.concat(parts).toString('utf8');
        return { status, headers, complete: true, body, bytes: position };
      }
    }
  }
  // An answer without a length is complete when its connection ends without a reset.
  if (ended !== 'closed') return undefined;
  const body = bytes.toString('utf8', length);
  return { status, headers, complete: true, body, bytes: bytes.length };
}
