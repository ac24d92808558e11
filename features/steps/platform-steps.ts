import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';

import type { Outcome } from '../../src/kernel/outcome.js';
import type { Service } from '../../src/kernel/service.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { HttpLogService } from '../../src/platform/http-log-service.js';
import { HttpVmList } from '../../src/platform/http-vm-list.js';
import { HttpWeightStore } from '../../src/platform/http-weight-store.js';
import type { LogFailure } from '../../src/platform/log-failure.js';
import type { LogPage } from '../../src/platform/log-service.js';
import type { VmListing } from '../../src/platform/vm-list.js';
import type { WeightFile } from '../../src/platform/weight-store.js';
import { openFixedServer } from '../support/fixed-server.js';
import { findFreePorts } from '../../harness/free-ports.js';
import type { FaultOrder } from '../../harness/recorder.js';
import { launchStandIn, type LaunchedStandIn } from '../../harness/stand-in-launcher.js';
import { createTcpRelay, type TcpRelay } from '../../harness/tcp-relay.js';
import { waitFor } from '../../harness/wait-for.js';

const TIMEOUT_MS = 400;
const STREAM = 's';

interface PlatformWorld {
  platformLog: LaunchedStandIn;
  platformRelay: TcpRelay;
  platformVms: LaunchedStandIn;
  platformWeights: LaunchedStandIn;
  log: HttpLogService;
  vmList: HttpVmList;
  listings: VmListing[];
  weightStore: HttpWeightStore;
  outcome: Outcome<unknown, Error>;
  tookMs: number;
}

const services = new Set<Service>();

After(async () => {
  await Promise.all([...services].map((service) => service.stop()));
  services.clear();
});

function keep<Kept extends Service>(service: Kept): Kept {
  services.add(service);
  return service;
}

function createLog(...urls: string[]): HttpLogService {
  return keep(HttpLogService.create({ urls, timeoutMs: TIMEOUT_MS }));
}

function parseOptions(options: string): string[] {
  return options.split(' ').filter(Boolean);
}

async function measure(
  world: PlatformWorld,
  call: () => Promise<Outcome<unknown, Error>>,
): Promise<void> {
  const startMs = performance.now();
  Object.assign(world, { outcome: await call() });
  Object.assign(world, { tookMs: performance.now() - startMs });
}

function append(world: PlatformWorld, list: string): Promise<void> {
  return measure(world, () => world.log.append(STREAM, list.split(', ')));
}

function read(world: PlatformWorld, waitMs = 0, signal?: AbortSignal): Promise<void> {
  const query = { stream: STREAM, from: 1, limit: 100, waitMs, signal };
  return measure(world, () => world.log.read(query));
}

async function readStored(world: PlatformWorld): Promise<string> {
  const record = await world.platformLog.readRecord<{
    streams: Record<string, { data: string }[]>;
  }>();
  return (record.streams[STREAM] ?? []).map(({ data }) => data).join(', ');
}

function buildVms(names: string): unknown {
  return names.split(', ').map((name) => ({
    ...{ name, region: 'r', availabilityZone: 'a', host: '127.0.0.1' },
    ...{ peerPort: 1, callerPort: 2, state: 'live' },
  }));
}

function formatListing(listing: VmListing | undefined): string {
  return listing ? listing.vms.map(({ name }) => name).join(', ') : 'none';
}

async function startVmList(world: PlatformWorld): Promise<void> {
  const { url } = world.platformVms;
  const options = { url, pollMs: 20, timeoutMs: TIMEOUT_MS };
  const vmList = keep(HttpVmList.create(options, SystemClock.create()));
  const listings: VmListing[] = [];
  Object.assign(world, { vmList, listings });
  void vmList.changes().forEach((listing) => listings.push(listing));
  await vmList.start();
}

Given(
  'the platform log runs with {string}',
  async function given(this: PlatformWorld, options: string) {
    this.platformLog = await launchStandIn('log-service', parseOptions(options));
    this.log = createLog(this.platformLog.url);
  },
);

Given(
  'the platform log runs with {string} behind a relay',
  async function given(this: PlatformWorld, options: string) {
    this.platformLog = await launchStandIn('log-service', parseOptions(options));
    const [host = '', port] = this.platformLog.address.split(':');
    this.platformRelay = await createTcpRelay({ host, port: Number(port) });
    this.log = createLog(`http://${this.platformRelay.host}:${this.platformRelay.port}`);
  },
);

Given(
  'the platform log runs with {string} and the platform adapter also knows a dead URL',
  async function given(this: PlatformWorld, options: string) {
    this.platformLog = await launchStandIn('log-service', parseOptions(options));
    const [port] = await findFreePorts(1);
    this.log = createLog(`http://127.0.0.1:${port}`, this.platformLog.url);
  },
);

Given(
  'the platform log runs with {string} and the platform adapter knows its replica second',
  async function given(this: PlatformWorld, options: string) {
    this.platformLog = await launchStandIn('log-service', parseOptions(options));
    this.log = createLog(this.platformLog.url, this.platformLog.replicaUrl);
  },
);

Given(
  'the platform log has the fault {string}',
  async function given(this: PlatformWorld, kind: string) {
    await this.platformLog.addFault({ kind, delayMs: 2 * TIMEOUT_MS });
  },
);

Given(
  'the platform log has the fault {string} on its main listener',
  async function given(this: PlatformWorld, kind: string) {
    await this.platformLog.addFault({ kind, listener: 'main' });
  },
);

Given('the platform server sends half a body', async function given(this: PlatformWorld) {
  const url = await openFixedServer((response) => {
    response.writeHead(200, { 'content-length': '100' });
    response.write('{"records":');
  });
  this.log = createLog(url);
});

Given(
  'the platform server answers {string}',
  async function given(this: PlatformWorld, body: string) {
    this.log = createLog(await openFixedServer((response) => response.end(body)));
  },
);

When('the platform log is restarted', async function when(this: PlatformWorld) {
  this.platformLog = await this.platformLog.restart();
});

When('the platform log is killed', async function when(this: PlatformWorld) {
  await this.platformLog.process.kill();
});

When(
  'the platform log is frozen while the platform adapter appends {string}',
  async function when(this: PlatformWorld, list: string) {
    this.platformLog.process.pause();
    await append(this, list);
    this.platformLog.process.resume();
  },
);

When('the platform relay becomes {word}', async function when(this: PlatformWorld, state: string) {
  // undici offers a connection for reuse only after the turn in which its last answer ended.
  await delay(50);
  if (state !== 'healthy') assert.equal(this.platformRelay.countOpen(), 1);
  const relay = this.platformRelay;
  if (state === 'healthy') relay.heal();
  if (state === 'cut') relay.cut();
  if (state === 'silent') relay.silence();
  if (state === 'silent-open') relay.silenceOpen();
  if (state === 'one-way') relay.delay('to-client', 2 * TIMEOUT_MS);
});

When(
  'the platform adapter appends {string}',
  async function when(this: PlatformWorld, list: string) {
    await append(this, list);
  },
);

When('the platform adapter reads once', async function when(this: PlatformWorld) {
  await read(this);
});

When(
  'the platform adapter makes the call {word}',
  async function when(this: PlatformWorld, call: string) {
    await (call === 'append' ? append(this, 'a') : read(this));
  },
);

When(
  'the platform adapter polls for {int} ms',
  async function when(this: PlatformWorld, waitMs: number) {
    await read(this, waitMs);
  },
);

When(
  'the platform adapter polls for {int} ms and is aborted after {int} ms',
  async function when(this: PlatformWorld, waitMs: number, afterMs: number) {
    await read(this, waitMs, AbortSignal.timeout(afterMs));
  },
);

When(
  'the platform adapter polls for {int} ms and is stopped after {int} ms',
  async function when(this: PlatformWorld, waitMs: number, afterMs: number) {
    const reading = read(this, waitMs);
    await delay(afterMs);
    await this.log.stop();
    await reading;
  },
);

Then(
  'the platform adapter got the offset {int}',
  function then(this: PlatformWorld, offset: number) {
    assert.deepEqual(this.outcome, { kind: 'ok', value: offset });
  },
);

Then(
  'the platform adapter failed with {string}',
  function then(this: PlatformWorld, reason: string) {
    assert.equal(this.outcome.kind, 'failed');
    assert.equal((this.outcome.failure as LogFailure).reason, reason);
  },
);

Then(
  'the platform adapter took between {int} and {int} ms',
  function then(this: PlatformWorld, least: number, most: number) {
    assert.ok(this.tookMs >= least && this.tookMs <= most, `the call took ${this.tookMs} ms`);
  },
);

Then('the platform adapter read a page', function then(this: PlatformWorld) {
  assert.equal(this.outcome.kind, 'ok');
});

Then(
  'the platform adapter reads from {int} the records {string}',
  async function then(this: PlatformWorld, from: number, list: string) {
    const page = await this.log.read({ stream: STREAM, from, limit: 100, waitMs: 0 });
    assert.equal(page.kind, 'ok');
    const { records } = page.value satisfies LogPage;
    assert.equal(records.map(({ offset, data }) => `${offset} ${data}`).join(', '), list);
  },
);

Then('the platform log holds {string}', async function then(this: PlatformWorld, list: string) {
  assert.equal(await readStored(this), list);
});

Then(
  'the platform log holds {string} in the end',
  async function then(this: PlatformWorld, list: string) {
    await waitFor(`the log to hold ${list}`, async () => (await readStored(this)) === list);
  },
);

Given(
  'the platform VM list shows {string}',
  async function given(this: PlatformWorld, names: string) {
    this.platformVms = await launchStandIn('vm-list');
    await this.platformVms.setState({ vms: buildVms(names) });
    await startVmList(this);
  },
);

Given('the platform VM list is silent', async function given(this: PlatformWorld) {
  this.platformVms = await launchStandIn('vm-list');
  await this.platformVms.addFault({ kind: 'silent' });
  await startVmList(this);
});

When(
  'the platform VM list changes to {string}',
  async function when(this: PlatformWorld, names: string) {
    await this.platformVms.setState({ vms: buildVms(names) });
  },
);

When('the platform VM list fails', async function when(this: PlatformWorld) {
  await this.platformVms.addFault({ kind: 'unavailable' });
});

Then(
  'the platform VM list adapter has the current list {string}',
  async function then(this: PlatformWorld, names: string) {
    const isThere = () => formatListing(this.vmList.current()) === names;
    await waitFor(`the list ${names}`, isThere);
  },
);

Then(
  'the platform VM list adapter saw the lists {string}',
  function then(this: PlatformWorld, lists: string) {
    assert.equal(this.listings.map(formatListing).join('; '), lists);
  },
);

Then(
  'the platform VM list adapter keeps the current list {string} for {int} ms',
  async function then(this: PlatformWorld, names: string, ms: number) {
    await delay(ms);
    assert.equal(formatListing(this.vmList.current()), names);
  },
);

Then(
  'the platform VM list adapter stops within {int} ms',
  async function then(this: PlatformWorld, mostMs: number) {
    const startMs = performance.now();
    await this.vmList.stop();
    const tookMs = performance.now() - startMs;
    assert.ok(tookMs <= mostMs, `stopping took ${tookMs} ms`);
  },
);

Given(
  'the platform weight store has {string} at {int} bytes per second',
  async function given(this: PlatformWorld, file: string, rate: number) {
    const args = ['--weights', file, '--bytes-per-second', String(rate)];
    this.platformWeights = await launchStandIn('weight-store', args);
    const { url } = this.platformWeights;
    this.weightStore = keep(HttpWeightStore.create({ url, timeoutMs: TIMEOUT_MS }));
  },
);

Given(
  'the platform weight store has the fault {string}',
  async function given(this: PlatformWorld, fault: string) {
    await this.platformWeights.addFault(JSON.parse(fault) as FaultOrder);
  },
);

When(
  'the platform adapter looks for the weights {string} in version {string}',
  async function when(this: PlatformWorld, model: string, version: string) {
    await measure(this, () => this.weightStore.find(model, version));
  },
);

Then('the platform adapter found {int} bytes', function then(this: PlatformWorld, bytes: number) {
  assert.equal(this.outcome.kind, 'ok');
  assert.equal((this.outcome.value as WeightFile).bytes, bytes);
});

Then('the platform adapter did not find the weights', function then(this: PlatformWorld) {
  assert.equal(this.outcome.kind, 'failed');
});

Then(
  'the platform weight store has no download in the end',
  async function then(this: PlatformWorld) {
    await waitFor('the download to end', async () => {
      const { running } = await this.platformWeights.readRecord<{ running: number }>();
      return running === 0;
    });
  },
);
