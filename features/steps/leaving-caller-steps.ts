import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { findFreePorts } from '../../harness/free-ports.js';
import { launchProcess } from '../../harness/process-launcher.js';
import { CallerListener } from '../../platform/caller-listener.js';
import { ServerClient } from '../../platform/server-client.js';
import { Kernel } from '../../src/kernel/kernel.js';
import type { Service, Services } from '../../src/kernel/service.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { createConnectionGuard } from '../support/connection-guards.js';
import { JsonDecisions } from '../../src/observability/json-decisions.js';
import { JsonLogs } from '../../src/observability/json-logs.js';
import { LineWriter } from '../../src/observability/line-writer.js';
import { PrometheusMetrics } from '../../src/observability/prometheus-metrics.js';
import { Relay } from '../../src/relay/relay.js';
import {
  createCatalogServer,
  createRelayConfiguration,
  createRelayRoute,
} from '../support/relay-fixtures.js';

/** A request that reached the server. */
interface Work {
  readonly id: string;
  bodyBytes: number;
  /** Milliseconds since the Unix epoch; undefined while the connection is open. */
  endedAtMs: number | undefined;
}

interface Call {
  readonly id: string;
  readonly leftAtMs: number;
  readonly end: 'closed' | 'reset';
  readonly bodyBytes: number;
}

interface LeavingWorld {
  leavingServer: Server | undefined;
  leavingListener: CallerListener | undefined;
  leavingClient: ServerClient | undefined;
  leavingPort: number;
  leavingWork: Work[];
  leavingAnswerBytes: number;
  leavingCalls: readonly Call[];
}

const scenario = world as unknown as LeavingWorld;

const STEP = { timeout: 30_000 } as const;

const HOST = '127.0.0.1';

/** Bytes of the callers' request bodies. */
const BODY_BYTES = 1000;

/** Bytes that an answer starts with, more than the relay buffers; the rest comes slowly. */
const FIRST_BYTES = 300_000;

/** Long, so that a reset in a pause arrives alone: one that arrives with data ends without an error. */
const PIECE_INTERVAL_MS = 500;

const NO_LIMIT = { ratio: 1, slack: 10_000, windowMs: 10_000 };

function answerSlowly(socket: Socket, id: string, pieces: number): void {
  socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n\r\n`);
  socket.write('x'.repeat(FIRST_BYTES));
  let sent = 0;
  const timer = setInterval(() => {
    socket.write('x');
    sent += 1;
    if (sent === pieces) socket.end();
  }, PIECE_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
}

async function startServer(work: Work[], pieces: number): Promise<Server> {
  const server = createServer((socket) => {
    let current: Work | undefined;
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      const text = bytes.toString('latin1');
      const id = /attempt-id: (\S+)/i.exec(text)?.[1];
      const bodyAt = id ? text.indexOf('\r\n\r\n') + 4 : 0;
      if (id) {
        current = { id, bodyBytes: 0, endedAtMs: undefined };
        work.push(current);
        answerSlowly(socket, id, pieces);
      }
      if (current) current.bodyBytes += text.length - bodyAt;
    });
    socket.on('close', () => {
      if (current) current.endedAtMs = Date.now();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return server;
}

function createKernel(client: ServerClient, port: number): Kernel {
  const kernel = Kernel.create();
  const clock = SystemClock.create();
  const writer = LineWriter.create((chunk, done) => done(null, chunk.length));
  const contact = { size: 1, reachable: 1, reportedMs: 0 };
  const queuesElsewhere = { waiting: 0, punctual: 0, startsPerSecond: 0 };
  const borrow = () => Promise.resolve(false);
  const known = { size: 1, peers: [], contact, queuesElsewhere, borrow };
  const fleet = known as unknown as Services['fleet'] & Service;
  const rateTolerance = { part: 0, tokens: 0, windowMs: 8000 };
  const options = { availabilityZone: 'sando', retries: NO_LIMIT, rateTolerance };
  const relay = Relay.create(kernel, options, clock);
  kernel.register('upstream', client);
  kernel.register('decisions', JsonDecisions.create(writer, 'test', clock));
  kernel.register('metrics', PrometheusMetrics.create());
  kernel.register('logs', JsonLogs.create('error', 'test'));
  kernel.register('fleet', fleet);
  kernel.register('relay', relay);
  const route = createRelayRoute({ kind: 'once', attempts: 1, timeoutMs: 6000, targetMs: 5000 });
  relay.configure(createRelayConfiguration({ routes: [route] }));
  relay.catalog.replace([createCatalogServer({ address: { host: HOST, port }, slots: 100 })], 0);
  return kernel;
}

After(async () => {
  scenario.leavingServer?.close();
  await scenario.leavingClient?.stop();
  await scenario.leavingListener?.stop();
  Object.assign(scenario, {
    leavingServer: undefined,
    leavingClient: undefined,
    leavingListener: undefined,
  });
});

Given(
  'leaving callers of a router whose server answers for {int} s without a length',
  async (seconds: number) => {
    const logs = JsonLogs.create('error', 'test');
    const clock = SystemClock.create();
    const pieces = (seconds * 1000) / PIECE_INTERVAL_MS;
    scenario.leavingWork = [];
    scenario.leavingAnswerBytes = FIRST_BYTES + pieces;
    scenario.leavingServer = await startServer(scenario.leavingWork, pieces);
    scenario.leavingClient = ServerClient.create('test', clock, logs, () => {});
    const { port } = scenario.leavingServer.address() as AddressInfo;
    const kernel = createKernel(scenario.leavingClient, port);
    const [callers] = await findFreePorts(1);
    scenario.leavingPort = callers!;
    const address = { host: HOST, port: callers! };
    scenario.leavingListener = CallerListener.create(
      kernel,
      address,
      clock,
      createConnectionGuard(),
    );
    await scenario.leavingListener.start();
  },
);

When(
  /^(\d+) leaving callers each leave when it (.*)$/,
  STEP,
  async (count: string, way: string) => {
    const args = [String(scenario.leavingPort), way, count];
    const callers = await launchProcess('stand-ins/leaving-callers', {
      args,
      readyTimeoutMs: 25_000,
    });
    scenario.leavingCalls = callers.ready.calls as Call[];
    await callers.ended;
  },
);

Then(
  "every server's work for the leaving callers has ended within {int} ms",
  async (mostMs: number) => {
    await sleep(mostMs);
    const { leavingWork, leavingCalls } = scenario;
    const late = leavingWork.flatMap(({ id, endedAtMs = Infinity }) => {
      const call = leavingCalls.find((each) => each.id === id);
      const tookMs = endedAtMs - (call?.leftAtMs ?? 0);
      return tookMs > mostMs ? [`${id}: ${tookMs} ms`] : [];
    });
    assert.deepEqual(late, []);
  },
);

Then("no server got part of a leaving caller's body", () => {
  scenario.leavingWork.forEach(({ id, bodyBytes }) => assert.equal(bodyBytes, BODY_BYTES, id));
});

Then('no leaving caller got part of an answer with an ordinary end', () => {
  const { leavingCalls, leavingAnswerBytes } = scenario;
  const parts = leavingCalls.filter(
    ({ end, bodyBytes }) => end === 'closed' && bodyBytes !== leavingAnswerBytes,
  );
  assert.deepEqual(parts, [], `${parts.length} of ${leavingCalls.length}`);
});
