import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo } from 'node:net';

import { After, Given, Then, When, world } from '@cucumber/cucumber';
import { request } from 'undici';

import {
  createPlatformConfiguration,
  PLATFORM_HOST,
  PLATFORM_KEY,
} from '../../harness/platform-fixtures.js';
import {
  launchPlatformRouter,
  type PlatformRouter,
  type RouterListener,
} from '../../harness/platform-router.js';
import { PlatformLog } from '../../stand-ins/platform/platform-log.js';
import { ClientCrowd, type CrowdKind, type CrowdSize } from '../support/client-crowd.js';
import { countDescriptors, readPeakMemoryMb } from '../support/process-usage.js';

interface CrowdWorld {
  crowdStore: PlatformLog | undefined;
  crowdServer: Server | undefined;
  crowdRouter: PlatformRouter | undefined;
  crowds: ClientCrowd[];
  crowdSize: CrowdSize;
  crowdMemoryMb: number;
  crowdDescriptors: number;
  /** Largest number of open descriptors of the router. */
  mostDescriptors: number;
  crowdSampler: NodeJS.Timeout | undefined;
}

const scenario = world as unknown as CrowdWorld;

const STEP = { timeout: 60_000 } as const;

const GRACE_S = 4;

const HEAD_BYTES = 16_384;

const SAMPLE_INTERVAL_MS = 50;

/** Time for which a crowd stays open after it has sent everything, in milliseconds. */
const HOLD_MS = 1500;

const PATHS: Readonly<Record<RouterListener, string>> = {
  callers: '/order/a',
  readiness: '/ready',
  control: '/state',
  directory: '/resolve',
  metrics: '/metrics',
};

After(async () => {
  clearInterval(scenario.crowdSampler);
  scenario.crowds?.forEach((crowd) => crowd.close());
  await scenario.crowdRouter?.remove();
  scenario.crowdServer?.closeAllConnections();
  scenario.crowdServer?.close();
  scenario.crowdStore?.close();
  Object.assign(scenario, {
    crowdRouter: undefined,
    crowdServer: undefined,
    crowdStore: undefined,
  });
});

async function startServer(answerBytes: number): Promise<Server> {
  const body = Buffer.alloc(answerBytes, 'x');
  const server = createServer({ maxHeaderSize: 65_536 }, (incoming, response) => {
    incoming.resume();
    incoming.on('end', () => {
      const id = String(incoming.headers['attempt-id']);
      response.writeHead(200, {
        'Attempt-Id': id,
        'Server-Seal': `s.${id}`,
        'Content-Length': body.length,
      });
      response.end(body);
    });
  });
  server.maxHeadersCount = 0;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

async function startRouter(
  maxBodyBytes: number,
  answerBytes: number,
  teamCount: number,
): Promise<void> {
  const { crowdMemoryMb: memoryMb, crowdDescriptors: maxFds } = scenario;
  const server = await startServer(answerBytes);
  const store = await PlatformLog.create();
  Object.assign(scenario, { crowdServer: server, crowdStore: store, crowds: [] });
  const { port } = server.address() as AddressInfo;
  const entry = { service: 'yard', address: `127.0.0.1:${port}`, zone: 'sando' };
  store.put('keyed.servers', 'i-0', { ...entry, slots: 1000, state: 'ready', born: 1 });
  const configuration = createPlatformConfiguration();
  const services = configuration.services.map((service) => ({ ...service, maxConns: 1000 }));
  const routes = configuration.routes.map((route) => ({ ...route, timeoutMs: 30_000 }));
  const limits = { ...configuration.limits, maxBodyBytes };
  const [team] = configuration.tenants;
  const otherTeams = Array.from({ length: teamCount - 1 }, (_, index) => ({
    ...team,
    name: `team-${index}`,
    apiKeys: [`key-${index}`],
  }));
  const tenants = [team, ...otherTeams];
  store.put('keyed.op', 'config', { ...configuration, services, routes, limits, tenants });
  scenario.crowdSize = { headBytes: HEAD_BYTES, bodyBytes: maxBodyBytes };
  const nodeOptions = ['--max-old-space-size=64', '--max-semi-space-size=2'];
  scenario.crowdRouter = await launchPlatformRouter(store.address, GRACE_S, {
    nodeOptions,
    limits: { memoryMb, maxFds },
  });
  scenario.mostDescriptors = 0;
  const { pid } = scenario.crowdRouter.process;
  scenario.crowdSampler = setInterval(() => {
    countDescriptors(pid).then(
      (count) => {
        scenario.mostDescriptors = Math.max(scenario.mostDescriptors, count);
      },
      () => {},
    );
  }, SAMPLE_INTERVAL_MS);
}

async function sendCrowd(count: number, kind: string, listener: string): Promise<void> {
  const name = listener as RouterListener;
  const crowd = ClientCrowd.create(scenario.crowdRouter!.addresses[name]);
  scenario.crowds.push(crowd);
  await crowd.send(count, kind as CrowdKind, PATHS[name], scenario.crowdSize);
}

function hold(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, HOLD_MS);
  });
}

Given(
  'a crowded router on a machine of {int} MB and {int} descriptors',
  (memoryMb: number, descriptors: number) => {
    Object.assign(scenario, { crowdMemoryMb: memoryMb, crowdDescriptors: descriptors });
  },
);

Given(
  'the crowded router takes bodies of {int} bytes and gets answers of {int} bytes',
  STEP,
  async (maxBodyBytes: number, answerBytes: number) => {
    await startRouter(maxBodyBytes, answerBytes, 1);
  },
);

Given('the crowded router knows {int} teams', STEP, async (teamCount: number) => {
  await startRouter(65_536, 800, teamCount);
});

When(
  /^a crowd of (\d+) clients with (.*) stops short of the end at the (\w+) listener$/,
  STEP,
  async (count: string, kind: string, listener: string) => {
    await sendCrowd(Number(count), kind, listener);
    await hold();
  },
);

When(
  'crowds of {int} clients of each kind stop short of the end at the callers listener',
  STEP,
  async (count: number) => {
    const kinds: CrowdKind[] = [
      'short header lines',
      'odd header lines',
      'whole bodies',
      'bodies in pieces',
      'large chunks',
      'chunks of one byte',
      'slow readers',
    ];
    await Promise.all(kinds.map((kind) => sendCrowd(count, kind, 'callers')));
    await hold();
  },
);

Then(
  'the crowded router answers one request with {int} header lines of 4 bytes',
  STEP,
  async (count: number) => {
    const lines = [
      'GET /order/a HTTP/1.1',
      `Host: ${PLATFORM_HOST}`,
      ...Array.from({ length: count }, () => 'a:'),
      'Attempt-Id: lines',
      `Authorization: Bearer ${PLATFORM_KEY}`,
    ];
    const head = `${lines.join('\r\n')}\r\n\r\n`;
    assert.ok(head.length <= HEAD_BYTES);
    const { host, port } = scenario.crowdRouter!.address;
    const socket = connect(port, host);
    socket.write(head);
    const [answer] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    assert.match(answer.toString('latin1'), /^HTTP\/1\.1 200 /);
  },
);

Then(
  'the crowded router answers one body of {int} bytes in chunks of one byte',
  STEP,
  async (count: number) => {
    const { host, port } = scenario.crowdRouter!.address;
    const lines = [
      'POST /order/a HTTP/1.1',
      `Host: ${PLATFORM_HOST}`,
      'Attempt-Id: chunks',
      `Authorization: Bearer ${PLATFORM_KEY}`,
      'Transfer-Encoding: chunked',
    ];
    const socket = connect(port, host);
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    socket.write(`${'1\r\nx\r\n'.repeat(count)}0\r\n\r\n`);
    const [answer] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    assert.match(answer.toString('latin1'), /^HTTP\/1\.1 200 /);
  },
);

Then('the crowded router answers an ordinary request', STEP, async () => {
  const { host, port } = scenario.crowdRouter!.address;
  const { statusCode, body } = await request(`http://${host}:${port}/order/ordinary`, {
    method: 'POST',
    headers: {
      host: PLATFORM_HOST,
      'attempt-id': 'ordinary',
      'deadline-ms': '20000',
      authorization: `Bearer ${PLATFORM_KEY}`,
    },
    body: Buffer.alloc(20_000, 'y'),
    reset: true,
  });
  const text = await body.text();
  assert.equal(statusCode, 200, text);
});

Then('the crowded router is within the limits of its machine', async () => {
  const { crowdRouter, crowdMemoryMb, crowdDescriptors, mostDescriptors, crowds } = scenario;
  const { pid, stdout, stderr } = crowdRouter!.process;
  const peakMb = await readPeakMemoryMb(pid).catch(() => {
    throw new Error(`the router has ended: ${stderr().slice(-2000)} ${stdout().slice(-500)}`);
  });
  const open = crowds.reduce((sum, crowd) => sum + crowd.open, 0);
  const facts = `${peakMb.toFixed(0)} MB, ${mostDescriptors} descriptors, ${open} clients still open`;
  if (process.env.CROWD_FIGURES) process.stderr.write(`${facts}\n`);
  assert.ok(peakMb <= crowdMemoryMb, facts);
  assert.ok(mostDescriptors <= crowdDescriptors, facts);
});

When('the crowds at the crowded router have left', () => {
  scenario.crowds.forEach((crowd) => crowd.close());
});
