import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import type { Outcome } from '../../src/kernel/outcome.js';
import type { Service } from '../../src/kernel/service.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { HttpLogService } from '../../src/infrastructure/http-log-service.js';
import { HttpVmList } from '../../src/infrastructure/http-vm-list.js';
import { HttpWeightStore } from '../../src/infrastructure/http-weight-store.js';
import type { LogFailure } from '../../src/infrastructure/log-failure.js';
import type { LogPage } from '../../src/infrastructure/log-service.js';
import type { VmListing } from '../../src/infrastructure/vm-list.js';
import type { WeightFile } from '../../src/infrastructure/weight-store.js';
import { openFixedServer } from '../support/fixed-server.js';
import { findFreePorts } from '../../harness/free-ports.js';
import type { FaultSpec } from '../../harness/admin-client.js';
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

const scenario = world as unknown as PlatformWorld;

const services = new Set<Service>();

After(async () => {
  await Promise.all([...services].map((service) => service.stop()));
  services.clear();
});

function stopAfterScenario<Started extends Service>(service: Started): Started {
  services.add(service);
  return service;
}

function createLog(...urls: string[]): HttpLogService {
  return stopAfterScenario(HttpLogService.create({ urls, timeoutMs: TIMEOUT_MS }));
}

function parseOptions(options: string): string[] {
  return options.split(' ').filter(Boolean);
}

async function measure(call: () => Promise<Outcome<unknown, Error>>): Promise<void> {
  const startMs = performance.now();
  scenario.outcome = await call();
  scenario.tookMs = performance.now() - startMs;
}

function append(list: string): Promise<void> {
  return measure(() => scenario.log.append(STREAM, list.split(', ')));
}

function read(waitMs = 0, signal?: AbortSignal): Promise<void> {
  const query = { stream: STREAM, from: 1, limit: 100, waitMs, signal };
  return measure(() => scenario.log.read(query));
}

async function readStored(): Promise<string> {
  const record = await scenario.platformLog.readRecord<{
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

async function startVmList(): Promise<void> {
  const { url } = scenario.platformVms;
  const options = { url, pollMs: 20, timeoutMs: TIMEOUT_MS };
  const vmList = stopAfterScenario(HttpVmList.create(options, SystemClock.create()));
  const listings: VmListing[] = [];
  Object.assign(scenario, { vmList, listings });
  void vmList.changes().forEach((listing) => listings.push(listing));
  await vmList.start();
}

Given('the platform log runs with {string}', async (options: string) => {
  scenario.platformLog = await launchStandIn('log-service', parseOptions(options));
  scenario.log = createLog(scenario.platformLog.url);
});

Given('the platform log runs with {string} behind a relay', async (options: string) => {
  scenario.platformLog = await launchStandIn('log-service', parseOptions(options));
  const [host = '', port] = scenario.platformLog.address.split(':');
  scenario.platformRelay = await createTcpRelay({ host, port: Number(port) });
  scenario.log = createLog(`http://${scenario.platformRelay.host}:${scenario.platformRelay.port}`);
});

Given(
  'the platform log runs with {string} and the first URL of the platform adapter is unreachable',
  async (options: string) => {
    scenario.platformLog = await launchStandIn('log-service', parseOptions(options));
    const [port] = await findFreePorts(1);
    scenario.log = createLog(`http://127.0.0.1:${port}`, scenario.platformLog.url);
  },
);

Given(
  'the platform log runs with {string} and its replica is the second URL of the platform adapter',
  async (options: string) => {
    scenario.platformLog = await launchStandIn('log-service', parseOptions(options));
    scenario.log = createLog(scenario.platformLog.url, scenario.platformLog.replicaUrl);
  },
);

Given('the platform log has the fault {string}', async (kind: string) => {
  await scenario.platformLog.addFault({ kind, delayMs: 2 * TIMEOUT_MS });
});

Given('the platform log has the fault {string} on its main listener', async (kind: string) => {
  await scenario.platformLog.addFault({ kind, listener: 'main' });
});

Given('the platform server sends half a body', async () => {
  const url = await openFixedServer((response) => {
    response.writeHead(200, { 'content-length': '100' });
    response.write('{"records":');
  });
  scenario.log = createLog(url);
});

Given('the platform server answers {string}', async (body: string) => {
  scenario.log = createLog(await openFixedServer((response) => response.end(body)));
});

When('the platform log is restarted', async () => {
  scenario.platformLog = await scenario.platformLog.restart();
});

When('the platform log is killed', async () => {
  await scenario.platformLog.process.kill();
});

When(
  'the platform log is frozen while the platform adapter appends {string}',
  async (list: string) => {
    scenario.platformLog.process.pause();
    await append(list);
    scenario.platformLog.process.resume();
  },
);

When('the platform relay becomes {word}', async (state: string) => {
  // undici reuses a connection only after the event loop turn in which its last answer ended.
  await delay(50);
  if (state !== 'healthy') assert.equal(scenario.platformRelay.countOpenConnections(), 1);
  const relay = scenario.platformRelay;
  if (state === 'healthy') relay.heal();
  if (state === 'cut') relay.cut();
  if (state === 'silent') relay.silence();
  if (state === 'silent-open') relay.silenceOpenConnections();
  if (state === 'one-way') relay.delay('to-client', 2 * TIMEOUT_MS);
});

When('the platform adapter appends {string}', append);

When('the platform adapter reads once', async () => {
  await read();
});

When('the platform adapter makes the call {word}', async (call: string) => {
  await (call === 'append' ? append('a') : read());
});

When('the platform adapter polls for {int} ms', async (waitMs: number) => {
  await read(waitMs);
});

When(
  'the platform adapter polls for {int} ms and is aborted after {int} ms',
  async (waitMs: number, afterMs: number) => {
    await read(waitMs, AbortSignal.timeout(afterMs));
  },
);

When(
  'the platform adapter polls for {int} ms and is stopped after {int} ms',
  async (waitMs: number, afterMs: number) => {
    const reading = read(waitMs);
    await delay(afterMs);
    await scenario.log.stop();
    await reading;
  },
);

Then('the platform adapter got the offset {int}', (offset: number) => {
  assert.deepEqual(scenario.outcome, { kind: 'ok', value: offset });
});

Then('the platform adapter failed with {string}', (reason: string) => {
  assert.equal(scenario.outcome.kind, 'failed');
  assert.equal((scenario.outcome.failure as LogFailure).reason, reason);
});

Then('the platform adapter took between {int} and {int} ms', (least: number, most: number) => {
  assert.ok(
    scenario.tookMs >= least && scenario.tookMs <= most,
    `the call took ${scenario.tookMs} ms`,
  );
});

Then('the platform adapter read a page', () => {
  assert.equal(scenario.outcome.kind, 'ok');
});

Then(
  'the platform adapter reads from {int} the records {string}',
  async (from: number, list: string) => {
    const page = await scenario.log.read({ stream: STREAM, from, limit: 100, waitMs: 0 });
    assert.equal(page.kind, 'ok');
    const { records } = page.value satisfies LogPage;
    assert.equal(records.map(({ offset, data }) => `${offset} ${data}`).join(', '), list);
  },
);

Then('the platform log holds {string}', async (list: string) => {
  assert.equal(await readStored(), list);
});

Then('the platform log holds {string} eventually', async (list: string) => {
  await waitFor(`the log to hold ${list}`, async () => (await readStored()) === list);
});

Given('the platform VM list shows {string}', async (names: string) => {
  scenario.platformVms = await launchStandIn('vm-list');
  await scenario.platformVms.setState({ vms: buildVms(names) });
  await startVmList();
});

Given('the platform VM list is silent', async () => {
  scenario.platformVms = await launchStandIn('vm-list');
  await scenario.platformVms.addFault({ kind: 'silent' });
  await startVmList();
});

When('the platform VM list changes to {string}', async (names: string) => {
  await scenario.platformVms.setState({ vms: buildVms(names) });
});

When('the platform VM list fails', async () => {
  await scenario.platformVms.addFault({ kind: 'unavailable' });
});

Then('the platform VM list adapter has the current list {string}', async (names: string) => {
  const isThere = () => formatListing(scenario.vmList.current()) === names;
  await waitFor(`the list ${names}`, isThere);
});

Then('the platform VM list adapter saw the lists {string}', (lists: string) => {
  assert.equal(scenario.listings.map(formatListing).join('; '), lists);
});

Then(
  'the platform VM list adapter keeps the current list {string} for {int} ms',
  async (names: string, ms: number) => {
    await delay(ms);
    assert.equal(formatListing(scenario.vmList.current()), names);
  },
);

Then('the platform VM list adapter stops within {int} ms', async (mostMs: number) => {
  const startMs = performance.now();
  await scenario.vmList.stop();
  const tookMs = performance.now() - startMs;
  assert.ok(tookMs <= mostMs, `stopping took ${tookMs} ms`);
});

Given(
  'the platform weight store has {string} at {int} bytes per second',
  async (file: string, rate: number) => {
    const args = ['--weights', file, '--bytes-per-second', String(rate)];
    scenario.platformWeights = await launchStandIn('weight-store', args);
    const { url } = scenario.platformWeights;
    scenario.weightStore = stopAfterScenario(
      HttpWeightStore.create({ url, timeoutMs: TIMEOUT_MS }),
    );
  },
);

Given('the platform weight store has the fault {string}', async (fault: string) => {
  await scenario.platformWeights.addFault(JSON.parse(fault) as FaultSpec);
});

When(
  'the platform adapter looks up the weights {string} in version {string}',
  async (model: string, version: string) => {
    await measure(() => scenario.weightStore.find(model, version));
  },
);

Then('the platform adapter found {int} bytes', (bytes: number) => {
  assert.equal(scenario.outcome.kind, 'ok');
  assert.equal((scenario.outcome.value as WeightFile).bytes, bytes);
});

Then('the platform adapter did not find the weights', () => {
  assert.equal(scenario.outcome.kind, 'failed');
});

Then('the platform weight store has no download eventually', async () => {
  await waitFor('the download to end', async () => {
    const { running } = await scenario.platformWeights.readRecord<{ running: number }>();
    return running === 0;
  });
});
