import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request as sendHttp } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { PlatformLog, type LogCopy } from '../../stand-ins/platform/platform-log.js';
import { PlatformServer } from '../../stand-ins/platform/platform-server.js';
import { findFreePorts } from '../../harness/free-ports.js';
import { ownHost } from '../../harness/own-host.js';
import {
  createPlatformConfiguration,
  createPlatformSettings,
  PLATFORM_HOST,
  PLATFORM_KEY,
} from '../../harness/platform-fixtures.js';

interface CallerAnswer {
  readonly status: number;
  readonly body: string;
  readonly seal: string | undefined;
}

interface PathWorld {
  platformStore: PlatformLog;
  platformServers: PlatformServer[];
  platformRouter: ChildProcess;
  platformDirectory: string;
  output: string;
  ports: number[];
  plan: CallerAnswer;
  planId: string;
  order: CallerAnswer;
  unknownKeyAnswer: CallerAnswer;
  sentCount: number;
  platformLeavers: PlatformServer[];
  statuses: number[];
  storeCopy: LogCopy;
}

const scenario = world as unknown as PathWorld;

const START_TIMEOUT_MS = 15_000;

/** Time in which a line must reach the log, in milliseconds. */
const LOG_TIMEOUT_MS = 2000;

const ROUTER_HOST = ownHost();
const TOKEN_COUNT = '100,50';

async function waitUntil(condition: () => Promise<boolean> | boolean, timeoutMs: number) {
  const deadlineMs = Date.now() + timeoutMs;
  while (Date.now() < deadlineMs) {
    if (await condition()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  }
  assert.fail(
    `condition not met within ${timeoutMs} ms; output of the router: ${scenario.output.slice(-2000)}`,
  );
}

function send(
  port: number,
  target: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallerAnswer> {
  return new Promise((resolve, reject) => {
    const request = sendHttp(
      { port, host: ROUTER_HOST, path: target, headers, agent: false },
      (answer) => {
        let body = '';
        answer.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        answer.on('error', reject);
        answer.on('end', () => {
          const seal = answer.headers['server-seal'] as string | undefined;
          resolve({ status: answer.statusCode ?? 0, body, seal });
        });
      },
    );
    request.on('error', reject);
    request.end();
  });
}

function sendAsCaller(target: string, id: string, key = PLATFORM_KEY): Promise<CallerAnswer> {
  const headers = {
    Host: PLATFORM_HOST,
    'Attempt-Id': id,
    'Deadline-Ms': '4000',
    Authorization: `Bearer ${key}`,
    ...(target.startsWith('/plan/') ? { 'Token-Count': TOKEN_COUNT, Model: 'm' } : {}),
  };
  return send(scenario.ports[0]!, target, headers);
}

async function requestPlan(): Promise<void> {
  scenario.sentCount += 1;
  scenario.planId = `plan-${scenario.sentCount}`;
  scenario.plan = await sendAsCaller('/plan/a', scenario.planId);
}

After(async () => {
  scenario.platformRouter?.kill('SIGKILL');
  scenario.platformServers?.forEach((server) => server.close());
  scenario.platformStore?.close();
  if (scenario.platformDirectory)
    await rm(scenario.platformDirectory, { recursive: true, force: true });
});

Given(
  'a platform with a store, {int} prefill engine(s), {int} decode engines and {int} plain server(s)',
  async (prefill: number, decode: number, plain: number) => {
    const stages = [
      ...Array<'prefill'>(prefill).fill('prefill'),
      ...Array<'decode'>(decode).fill('decode'),
      ...Array<undefined>(plain).fill(undefined),
    ];
    scenario.sentCount = 0;
    scenario.platformStore = await PlatformLog.create();
    scenario.platformServers = await Promise.all(
      stages.map((stage, index) => PlatformServer.create(`i-${index}`, stage)),
    );
    scenario.platformServers.forEach((server) => {
      scenario.platformStore.put('keyed.servers', server.id, server.entry());
    });
    scenario.platformStore.put('keyed.op', 'config', createPlatformConfiguration());
  },
);

Given('a router on the platform', async () => {
  const [front, ready, control, directory, metrics, digest] = await findFreePorts(6, ROUTER_HOST);
  scenario.ports = [front!, ready!, control!, directory!, metrics!];
  scenario.platformDirectory = await mkdtemp(path.join(tmpdir(), 'cuminspar-'));
  const settings = createPlatformSettings({
    ip: ROUTER_HOST,
    listen: {
      front: `${ROUTER_HOST}:${front}`,
      ready: `${ROUTER_HOST}:${ready}`,
      control: `${ROUTER_HOST}:${control}`,
      directory: `${ROUTER_HOST}:${directory}`,
    },
    portRange: [digest, digest! + 1],
    provider: { address: scenario.platformStore.address },
  });
  const file = path.join(scenario.platformDirectory, 'node.json');
  await writeFile(file, JSON.stringify(settings));
  const env = { ...process.env, CUMINSPAR_BOOT: file, NODE_OPTIONS: '' };
  scenario.output = '';
  const args = ['--import', 'tsx', 'platform/main.ts', '--metrics-port', String(metrics)];
  scenario.platformRouter = spawn('node', args, { env });
  [scenario.platformRouter.stdout, scenario.platformRouter.stderr].forEach((stream) =>
    stream!.on('data', (chunk: Buffer) => {
      scenario.output += chunk.toString();
    }),
  );
  const isReady = () =>
    send(ready!, '/ready').then(
      ({ status }) => status === 200,
      () => false,
    );
  await waitUntil(isReady, START_TIMEOUT_MS);
  const { status, body } = await send(directory!, '/resolve?name=plans.example');
  assert.equal(status, 200);
  assert.deepEqual((JSON.parse(body) as { addresses: string[] }).addresses, [
    `${ROUTER_HOST}:${front}`,
  ]);
});

When(
  "a caller sends the platform's router a plan, an order and an order with an unknown key",
  async () => {
    await requestPlan();
    scenario.order = await sendAsCaller('/order/a', 'order-1');
    scenario.unknownKeyAnswer = await sendAsCaller('/order/a', 'order-2', 'unknown');
  },
);

Then(
  'the plan was prefilled by the prefill engine and answered completely by a decode engine',
  () => {
    const { plan, planId, platformServers: servers } = scenario;
    assert.equal(plan.status, 200, plan.body);
    assert.equal(plan.body, [1, 2, 3].map((id) => `id: ${id}\ndata: token ${id}\n\n`).join(''));
    const seen = servers.flatMap((server) =>
      server.requests.filter(({ id }) => id === planId).map((request) => ({ server, request })),
    );
    assert.equal(seen.length, 2);
    const [prefilled, decoded] = seen;
    assert.equal(prefilled!.server.stage, 'prefill');
    assert.equal(prefilled!.request.stage, 'prefill');
    assert.equal(decoded!.server.stage, 'decode');
    assert.ok(decoded!.request.hold, 'the decode slot was reserved');
    assert.match(decoded!.request.source ?? '', /^127\.0\.0\.1:\d+\/k\d+$/);
    assert.equal(plan.seal, `seal.${decoded!.server.id}.${planId}`);
  },
);

Then('the order ran once and the one with the unknown key was answered with 401', () => {
  const { order, unknownKeyAnswer: stranger, platformServers: servers } = scenario;
  assert.equal(order.status, 200);
  assert.equal(stranger.status, 401);
  const runs = servers
    .flatMap(({ requests }) => requests)
    .filter(({ id }) => id.startsWith('order'));
  assert.equal(runs.length, 1);
  assert.equal(runs[0]!.team, 'savannah');
  assert.equal(runs[0]!.key, undefined, 'the key is not forwarded to the server');
});

/** Steps that the router has logged so far about the plan; its last line may not be complete yet. */
function listLoggedPlanSteps(): (string | undefined)[] {
  return scenario.output
    .split('\n')
    .slice(0, -1)
    .filter((line) => line.startsWith('{'))
    .map((line) => JSON.parse(line) as { request?: string; step?: string })
    .filter(({ request }) => request === scenario.planId)
    .map(({ step }) => step);
}

Then("the router's log explains the plan by its id", async () => {
  // The answer may reach its caller before the line about its end reaches the log.
  await waitUntil(() => Promise.resolve(listLoggedPlanSteps().includes('end')), LOG_TIMEOUT_MS);
  assert.deepEqual(listLoggedPlanSteps(), ['place', 'prefill', 'decode', 'end']);
});

When("the platform's plain server announces that it is leaving", () => {
  const server = scenario.platformServers.find(({ stage }) => stage === undefined)!;
  scenario.platformStore.put('keyed.servers', server.id, server.entry('draining'));
});

Then(
  "the platform's router refuses an order within {int} ms without running it",
  async (timeoutMs: number) => {
    const plain = scenario.platformServers.find(({ stage }) => stage === undefined)!;
    await waitUntil(async () => {
      scenario.sentCount += 1;
      const before = plain.requests.length;
      const { status } = await sendAsCaller('/order/a', `late-${scenario.sentCount}`);
      if (status !== 503) return false;
      assert.equal(plain.requests.length, before);
      return true;
    }, timeoutMs);
  },
);

When("the platform's store is unavailable and the router gets another plan", async () => {
  scenario.platformStore.setUnavailable(true);
  await requestPlan();
});

When(/^the platform's store is (available|not available)$/, (state: string) => {
  scenario.platformStore.setUnavailable(state === 'not available');
});

When('a platform engine and a plain server say in their answers that they leave', () => {
  const { platformServers: servers } = scenario;
  scenario.platformLeavers = (['decode', undefined] as const).map((stage) =>
    servers.find((server) => server.stage === stage)!,
  );
  scenario.platformLeavers.forEach((server) => Object.assign(server, { isLeaving: true }));
});

When(
  "a caller sends the platform's router {int} orders and {int} plans",
  async (orders: number, plans: number) => {
    scenario.statuses = [];
    for (let index = 0; index < orders; index += 1)
      scenario.statuses.push((await sendAsCaller('/order/a', `o-${index}`)).status);
    for (let index = 0; index < plans; index += 1)
      scenario.statuses.push((await sendAsCaller('/plan/a', `p-${index}`)).status);
  },
);

Then("the platform's leaving servers got at most {int} run each", (most: number) => {
  scenario.platformLeavers.forEach(({ id, requests }) =>
    assert.ok(requests.length <= most, `${id} got ${requests.length}`),
  );
});

Then('the other orders and plans were answered by the other servers', () => {
  assert.deepEqual(new Set(scenario.statuses), new Set([200]));
});

When("a copy of the platform's store is taken", () => {
  scenario.storeCopy = scenario.platformStore.takeCopy();
});

When("the platform's store comes back from its copy", () => {
  scenario.platformStore.rollBack(scenario.storeCopy);
});

When("the platform's only key is withdrawn", () => {
  const configuration = createPlatformConfiguration();
  const tenants = configuration.tenants.map((tenant) => ({ ...tenant, apiKeys: [] }));
  scenario.platformStore.put('keyed.op', 'config', { ...configuration, version: 10, tenants });
});

Then(
  'an order with the withdrawn key is refused with {int} within {int} ms',
  async (status: number, ms: number) => {
    const isRefused = async () => (await sendAsCaller('/order/a', 'withdrawn')).status === status;
    await waitUntil(isRefused, ms);
  },
);

Then(
  'an order with the withdrawn key is refused with {int} for {int} ms',
  async (status: number, ms: number) => {
    const endMs = Date.now() + ms;
    while (Date.now() < endMs) {
      assert.equal((await sendAsCaller('/order/a', 'withdrawn')).status, status);
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    }
  },
);
