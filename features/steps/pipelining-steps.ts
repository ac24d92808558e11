import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';
import { Client } from 'undici';

import {
  createPlatformConfiguration,
  PLATFORM_HOST,
  PLATFORM_KEY,
} from '../../harness/platform-fixtures.js';
import { launchPlatformRouter, type PlatformRouter } from '../../harness/platform-router.js';
import { waitFor } from '../../harness/wait-for.js';
import { OpenResponses } from '../../src/callers/open-responses.js';
import { PlatformLog } from '../../stand-ins/platform/platform-log.js';
import { PlatformServer, type PlatformStage } from '../../stand-ins/platform/platform-server.js';

/** Answer that a client got, or the name of the error that it got instead. */
type PipelinedAnswer =
  | { readonly id: string; readonly status: number; readonly seal: boolean; readonly body: string }
  | string;

interface PipeliningWorld {
  pipelineStore: PlatformLog;
  pipelineServers: PlatformServer[] | undefined;
  pipelineRouter: PlatformRouter | undefined;
  pipelineAnswers: PipelinedAnswer[];
  pipelineIds: string[];
  isPipelineClosed: boolean;
  connectionsBefore: number;
  trackingServer: Server | undefined;
  /** Indexes of the responses that have been closed. */
  closedResponses: number[];
}

const scenario = world as unknown as PipeliningWorld;

const STEP = { timeout: 30_000 } as const;

const GRACE_S = 8;

const SLOTS = 40;

/** Time within which a connection with too many requests is closed, in milliseconds. */
const CLOSE_MS = 500;

const STAGES: readonly PlatformStage[] = ['prefill', 'decode', 'decode', undefined];

const PATHS: Readonly<Record<string, string>> = {
  'an order': '/order/a',
  'a stream': '/plan/a',
  'a request without a route': '/nowhere/a',
};

const PIECES = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'];

After(async () => {
  await scenario.pipelineRouter?.remove();
  scenario.pipelineServers?.forEach((server) => server.close());
  if (scenario.pipelineServers) scenario.pipelineStore.close();
  scenario.trackingServer?.closeAllConnections();
  scenario.trackingServer?.close();
  Object.assign(scenario, {
    pipelineRouter: undefined,
    pipelineServers: undefined,
    trackingServer: undefined,
  });
});

Given(
  'a router whose servers take {int} ms for plain answers and for streams',
  STEP,
  async (ms: number) => {
    const answer = {
      pieces: PIECES.map((piece) => Buffer.from(piece)),
      pauseMs: ms / PIECES.length,
      ...({ end: 'close', isComplete: true, delayMs: 0, digest: '' } as const),
    };
    const store = await PlatformLog.create();
    store.put('keyed.op', 'config', createPlatformConfiguration());
    const servers = await Promise.all(
      STAGES.map((stage, index) => PlatformServer.create(`i-${index}`, stage, () => answer)),
    );
    servers.forEach((server) =>
      store.put('keyed.servers', server.id, { ...server.entry(), slots: SLOTS }),
    );
    Object.assign(scenario, {
      pipelineStore: store,
      pipelineServers: servers,
      pipelineRouter: await launchPlatformRouter(store.address, GRACE_S),
    });
  },
);

function createClient(): Client {
  const { host, port } = scenario.pipelineRouter!.address;
  return new Client(`http://${host}:${port}`, { pipelining: 100 });
}

async function send(client: Client, kind: string, id: string): Promise<PipelinedAnswer> {
  const headers = {
    host: PLATFORM_HOST,
    'attempt-id': id,
    'deadline-ms': '5000',
    authorization: `Bearer ${PLATFORM_KEY}`,
    model: 'm',
    'token-count': '100,50',
  };
  try {
    const path = PATHS[kind] ?? assert.fail(kind);
    const {
      statusCode: status,
      headers: got,
      body,
    } = await client.request({
      ...{ method: 'GET', path, headers, blocking: false },
    });
    const answered = String(got['attempt-id']);
    return { id: answered, status, seal: 'server-seal' in got, body: await body.text() };
  } catch (error) {
    return (error as Error).name;
  }
}

/** Sends requests at once; their answers come one after the other. */
function pipeline(
  client: Client,
  kinds: readonly string[],
  name = 'p',
): Promise<PipelinedAnswer>[] {
  return kinds.map((kind, index) => send(client, kind, `${name}-${index}`));
}

When(/^a pipelining client sends ((?!\d).*) at once$/, STEP, async (kinds: string) => {
  const client = createClient();
  const names = kinds.split(', ');
  scenario.pipelineIds = names.map((_, index) => `p-${index}`);
  scenario.pipelineAnswers = await Promise.all(pipeline(client, names));
  await client.close();
});

When('a pipelining client sends {int} orders at once', STEP, async (count: number) => {
  const client = connect(scenario.pipelineRouter!.address);
  client.on('error', () => {});
  const heads = Array.from(
    { length: count },
    (_, index) =>
      `GET /order/a HTTP/1.1\r\nHost: ${PLATFORM_HOST}\r\nAttempt-Id: m-${index}\r\n` +
      `Authorization: Bearer ${PLATFORM_KEY}\r\n\r\n`,
  );
  const closed = new Promise<boolean>((resolve) => {
    client.once('close', () => resolve(true));
  });
  client.write(heads.join(''));
  client.resume();
  scenario.isPipelineClosed = await Promise.race([closed, delay(CLOSE_MS, false)]);
  client.destroy();
});

When(
  /^(\d+) pipelining clients send (.*) at once, and leave after (\d+) ms$/,
  STEP,
  async (count: string, kinds: string, ms: string) => {
    scenario.connectionsBefore = await countConnections();
    await Promise.all(
      Array.from({ length: Number(count) }, async (_, index) => {
        const client = createClient();
        const answers = Promise.all(pipeline(client, kinds.split(', '), `c${index}`));
        await delay(Number(ms));
        await client.destroy();
        await answers;
      }),
    );
  },
);

Then('the pipelining client gets each answer whole, under its own head', () => {
  const body = PIECES.join('');
  const expected = scenario.pipelineIds.map((id) => ({ id, status: 200, seal: true, body }));
  assert.deepEqual(scenario.pipelineAnswers, expected);
});

Then(/^the pipelining client gets the statuses (.*)$/, (statuses: string) => {
  const got = scenario.pipelineAnswers.map((answer) =>
    typeof answer === 'string' ? answer : String(answer.status),
  );
  assert.deepEqual(got, statuses.split(', '));
});

/** Ids of the requests that have run at a server, without those that only read a prompt. */
function listRuns(): string[] {
  return scenario
    .pipelineServers!.flatMap(({ requests }) => requests)
    .filter(({ stage }) => stage !== 'prefill')
    .map(({ id }) => id)
    .sort();
}

Then('each pipelined request has reached a server once', () => {
  assert.deepEqual(listRuns(), [...scenario.pipelineIds].sort());
});

Then(
  'only the first request of each pipelining client has reached a server after {int} ms',
  STEP,
  async (ms: number) => {
    await delay(ms);
    const runs = listRuns();
    assert.ok(runs.length > 0);
    assert.deepEqual(
      runs.filter((id) => !id.endsWith('-0')),
      [],
    );
  },
);

/** Number of connections that the router accounts, without the one that asks for it. */
async function countConnections(): Promise<number> {
  const { host, port } = scenario.pipelineRouter!.addresses.metrics;
  const client = new Client(`http://${host}:${port}`);
  const { body } = await client.request({ method: 'GET', path: '/metrics' });
  const text = await body.text();
  await client.close();
  const count = /^cuminspar_memory_connections(?:\{.*\})? (\d+)/m.exec(text)?.[1];
  return Number(count ?? assert.fail(text)) - 1;
}

Then('the router has as many connections as before', STEP, async () => {
  const { connectionsBefore } = scenario;
  await waitFor('all connections are closed', async () => {
    const count = await countConnections();
    return count <= connectionsBefore;
  });
});

Then(
  'the connection of the pipelining client is closed, and {int} order(s) has/have reached a server',
  (count: number) => {
    assert.ok(scenario.isPipelineClosed, 'the connection is open');
    assert.ok(listRuns().length <= count, `${listRuns().length} orders`);
  },
);

Then('another client of the pipelining router gets its answer', STEP, async () => {
  const client = createClient();
  const answer = await send(client, 'an order', 'other');
  await client.close();
  assert.equal(typeof answer === 'string' ? answer : answer.status, 200);
});

Given('an HTTP server that never answers and tracks its open responses', async () => {
  const responses = OpenResponses.create();
  const closed: number[] = [];
  scenario.closedResponses = closed;
  let count = 0;
  const server = createServer((request, response) => {
    const index = count;
    count += 1;
    response.on('close', () => closed.push(index));
    responses.track(request, response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  scenario.trackingServer = server;
});

When(
  'a client sends it {int} requests at once and closes its connection',
  async (count: number) => {
    const { port } = scenario.trackingServer!.address() as AddressInfo;
    const client = connect(port, '127.0.0.1');
    client.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(count));
    await delay(100);
    client.destroy();
    await delay(100);
  },
);

Then('the server has seen {int} responses close', (count: number) => {
  assert.equal(scenario.closedResponses.length, count);
});
