import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { createPlatformConfiguration } from '../../harness/platform-fixtures.js';
import { launchPlatformRouter, type PlatformRouter } from '../../harness/platform-router.js';
import { PlatformLog } from '../../stand-ins/platform/platform-log.js';
import { sendOrder, type CallerEnd } from '../support/caller-end.js';
import { UnframedServer } from '../support/unframed-server.js';

interface UnframedWorld {
  unframedStore: PlatformLog | undefined;
  unframedServer: UnframedServer | undefined;
  unframedRouter: PlatformRouter | undefined;
  bodyBytes: number;
  ends: CallerEnd[];
}

const scenario = world as unknown as UnframedWorld;

const STEP = { timeout: 60_000 } as const;

/** Time limit of the route, in milliseconds; the answers last longer than those of other scenarios. */
const ROUTE_TIMEOUT_MS = 60_000;

const GRACE_S = 8;

/** Module with which signals make a program fail. */
const FAILURES = './harness/fail-on-signal.ts';

const FAILURE_SIGNALS: Readonly<Record<string, NodeJS.Signals>> = {
  'an uncaught exception': 'SIGUSR2',
  'an unhandled rejection': 'SIGALRM',
};

After(async () => {
  await scenario.unframedRouter?.remove();
  scenario.unframedServer?.close();
  scenario.unframedStore?.close();
});

async function startServer(bodyBytes: number, atOnce: number): Promise<void> {
  scenario.bodyBytes = bodyBytes;
  scenario.ends = [];
  scenario.unframedServer = await UnframedServer.create(bodyBytes, atOnce);
  scenario.unframedStore = await PlatformLog.create();
  scenario.unframedStore.put('keyed.servers', 'i-0', scenario.unframedServer.entry);
  const configuration = createPlatformConfiguration();
  const routes = configuration.routes.map((route) => ({ ...route, timeoutMs: ROUTE_TIMEOUT_MS }));
  scenario.unframedStore.put('keyed.op', 'config', { ...configuration, routes });
}

Given('a router with answers of {int} bytes without a length', STEP, async (bodyBytes: number) => {
  await startServer(bodyBytes, 1);
  const { address } = scenario.unframedStore!;
  scenario.unframedRouter = await launchPlatformRouter(address, GRACE_S, FAILURES);
});

function sendOrders(count: number, bytesPerSecond: number): Promise<CallerEnd[]> {
  const { port } = scenario.unframedRouter!;
  const { bodyBytes } = scenario;
  const ids = Array.from({ length: count }, (_, index) => `u-${index}`);
  return Promise.all(ids.map((id) => sendOrder({ port, id, bodyBytes, bytesPerSecond })));
}

When(
  /^(\d+) callers read unframed answers at (\d+) kB\/s and the router ends by (an .*) after (\d+) ms$/,
  STEP,
  async (count: string, rate: string, cause: string, afterMs: string) => {
    const ends = sendOrders(Number(count), Number(rate) * 1000);
    await delay(Number(afterMs));
    scenario.unframedRouter!.process.signal(FAILURE_SIGNALS[cause]!);
    scenario.ends = await ends;
  },
);

function countEnds(): Record<string, number> {
  const counts: Record<string, number> = {};
  scenario.ends.forEach((end) => {
    counts[end] = (counts[end] ?? 0) + 1;
  });
  return counts;
}

Then('none of the unframed answers looks complete and is truncated', () => {
  assert.ok(scenario.ends.length > 0);
  const counts = countEnds();
  assert.equal(counts.truncated, undefined, JSON.stringify(counts));
});

Then("the router's error names its time, its VM and {int} reset answers", async (count: number) => {
  const { process: router } = scenario.unframedRouter!;
  const { code } = await router.ended;
  assert.equal(code, 1);
  const line = router
    .stderr()
    .split('\n')
    .find((text) => text.includes('exiting with code 1'));
  const { time, vm, reset } = JSON.parse(line!) as Record<string, unknown>;
  assert.match(String(time), /^\d{4}-\d\d-\d\dT/);
  assert.equal(vm, 'front-sando-1');
  assert.equal(reset, count);
});
