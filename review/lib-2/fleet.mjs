/* eslint n/no-sync: "off" */
/* eslint-disable */
// Starts programs of cuminspar with the commands of the deploy file, and ends them.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
export const HOST = 'ficu95.example';
export const KEY = '3d3zji9n73hh2b9wu3fe';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const RUN = /^run = "(.*)"$/m
  .exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))[1]
  .split(' ');

const METRICS_PORT = Number(RUN.at(RUN.indexOf('--metrics-port') + 1));

/** Figures of the site file stripe-tt. */
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

/** A configuration like the one that `fleetbench wire` prints for stripe-tt. */
export function configuration() {
  const common = { host: HOST, priority: 1, public: false };
  const engine = {
    slots: 48,
    kvCapacity: 73378,
    kvTokenBytes: 18432,
    linkMbps: 1100000,
    moves: true,
    backups: true,
    stride: 63,
    most: 12,
    handleTtlS: 0.5,
    restageS: 6,
    pinMs: 4000,
    holdMs: 2000,
    models: [{ name: 'm' }],
  };
  return {
    version: 7,
    routes: [
      {
        ...common,
        name: 'plan',
        pathPrefix: '/plan/',
        kind: 'stream',
        timeoutMs: 14000,
        latencyTargetMs: 900,
        service: 'planner',
        attempts: 2,
        sticky: true,
        resumable: true,
        gapGoalMs: 300,
      },
      {
        ...common,
        name: 'rule',
        pathPrefix: '/rule/',
        kind: 'stream',
        timeoutMs: 14000,
        latencyTargetMs: 900,
        service: 'planner',
        attempts: 1,
        sticky: true,
        resumable: false,
        gapGoalMs: 300,
      },
      {
        ...common,
        name: 'order',
        pathPrefix: '/order/',
        kind: 'unsafe',
        timeoutMs: 800,
        latencyTargetMs: 150,
        service: 'yard',
        attempts: 1,
        priority: 2,
      },
      {
        ...common,
        name: 'lookup',
        pathPrefix: '/lookup/',
        kind: 'safe',
        timeoutMs: 800,
        latencyTargetMs: 150,
        service: 'yard',
        attempts: 2,
        priority: 2,
      },
    ],
    services: [
      { name: 'planner', healthPath: '/health', maxConns: 290, protocol: 'h1', tls: false, engine },
      { name: 'yard', healthPath: '/health', maxConns: 96, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [
      {
        name: 'huka270',
        apiKeys: [KEY],
        priority: 1,
        unit: 'token_stream',
        plainTokens: 200,
        ratePerS: 1000000,
        burst: 1000000,
      },
    ],
  };
}

async function isFree(host, port) {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.on('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });
}

async function freePort(host) {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.listen(0, host, () => {
      const { port } = probe.address();
      probe.close(() => resolve(port));
    });
  });
}

export class Fleet {
  machines = [];
  /** Processes that ended by themselves. */
  ends = [];

  /** `later` takes the function that ends the programs, before they are started. */
  static async create(store, count, later) {
    const fleet = new Fleet();
    later(() => fleet.stop());
    fleet.store = store;
    fleet.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
    const hosts = [];
    // Machines have the same ports, each at its own loopback address.
    const base = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    for (let at = 1; hosts.length < count && at < 250; at += 1) {
      if (await isFree(`${base}.${at}`, METRICS_PORT)) hosts.push(`${base}.${at}`);
    }
    if (hosts.length < count) throw new Error('no free addresses');
    const ports = {};
    for (const name of ['front', 'ready', 'control', 'directory', 'digest']) {
      ports[name] = await freePort(hosts[0]);
    }
    fleet.ports = { ...ports, metrics: METRICS_PORT };
    fleet.hosts = hosts;
    for (const [index] of hosts.entries()) fleet.startMachine(index);
    await fleet.untilReady();
    return fleet;
  }

  startMachine(index) {
    const { hosts, ports, folder, store } = this;
    const host = hosts[index];
    const listen = {};
    for (const name of ['front', 'ready', 'control', 'directory']) {
      listen[name] = `${host}:${ports[name]}`;
    }
    const file = path.join(folder, `node-${index}.json`);
    const settings = {
      node: `front-sando-${index + 1}`,
      role: 'router',
      machineClass: 'front',
      serves: ['front', 'control', 'directory'],
      ip: host,
      zone: 'sando',
      region: 'tt-south',
      zones: { sando: 'tt-south', couva: 'tt-south', penal: 'tt-south' },
      listen,
      portRange: [ports.digest, ports.digest],
      bootstrap: true,
      inTolerance: false,
      seeds: hosts.slice(0, 3).map((each) => `${each}:${ports.control}`),
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 200, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
      dataDir: null,
      discovery: 'platform',
      entry: 'directory',
      heartbeatMs: 1200,
      faultTolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: BOUNDS,
      provider: {
        address: store.address,
        form: 'log',
        writesPerS: 400,
        readsPerS: 2000,
        parts: 12,
        appendMs: 2,
        partMbS: 20,
        readMbS: 80,
        recordBytes: 262144,
        callBytes: 2097152,
        keep_s: 300,
        partMb: 200,
        ttlMinMs: 1000,
      },
    };
    writeFileSync(file, JSON.stringify(settings));
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, CUMINSPAR_BOOT: file };
    const child = spawn(RUN[0], RUN.slice(1), {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const machine = { host, child, log: '' };
    const keep = (chunk) => {
      machine.log = (machine.log + chunk).slice(-200_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      if (!this.stopping && !machine.stopped) {
        this.ends.push({ host, code, signal, atMs: Date.now(), log: machine.log });
      }
      machine.exited = true;
    });
    this.machines[index] = machine;
    return machine;
  }

  async untilReady() {
    for (const { host } of this.machines) {
      const until = Date.now() + 15_000;
      for (;;) {
        const answer = await send({ host, port: this.ports.ready, path: '/ready', timeoutMs: 900 });
        if (answer.status === 200) break;
        if (Date.now() > until) throw new Error('a machine did not become ready');
        await sleep(100);
      }
    }
  }

  /** Resident memory of a process, in megabytes. */
  rssMb(index) {
    try {
      const text = readFileSync(`/proc/${this.machines[index].child.pid}/status`, 'utf8');
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1024);
    } catch {
      return 0;
    }
  }

  async stop() {
    this.stopping = true;
    for (const { child } of this.machines) child.kill('SIGKILL');
    for (const machine of this.machines) while (!machine.exited) await sleep(20);
    if (this.folder) rmSync(this.folder, { recursive: true, force: true });
  }
}

let count = 0;

/** A new id of a client attempt. */
export function nextId() {
  count += 1;
  return (0x9c41d07b00000000n + BigInt(process.pid % 65536) * 65536n + BigInt(count)).toString(16);
}

/** Sends one request as a client does; resolves with status 0 when there is no answer. */
export function send({
  host,
  port,
  path: target,
  method = 'GET',
  headers = {},
  body,
  agent,
  timeoutMs = 5000,
}) {
  return new Promise((resolve) => {
    const startMs = Date.now();
    const chunks = [];
    let status = 0;
    let answered = {};
    const done = (error) => {
      clearTimeout(timer);
      const text = Buffer.concat(chunks).toString();
      resolve({
        status: error ? 0 : status,
        headers: answered,
        body: text,
        error,
        startMs,
        tookMs: Date.now() - startMs,
      });
    };
    const options = { host, port, path: target, method, headers, agent: agent ?? false };
    const request = httpRequest(options, (response) => {
      status = response.statusCode;
      answered = response.headers;
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => done(response.complete ? undefined : 'cut'));
      response.on('error', (error) => done(error.code ?? 'cut'));
    });
    const timer = setTimeout(() => {
      request.destroy();
      done('no answer');
    }, timeoutMs);
    request.on('error', (error) => done(error.code ?? 'failed'));
    request.end(body);
  });
}

/** Headers of a proper request. */
export function properHeaders(id, more = {}) {
  return {
    Host: HOST,
    'Attempt-Id': id,
    Authorization: `Bearer ${KEY}`,
    'Deadline-Ms': '1500',
    ...more,
  };
}
