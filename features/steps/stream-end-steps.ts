import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { CallerSink } from '../../platform/caller-sink.js';
import { ServerClient } from '../../platform/server-client.js';
import { Kernel } from '../../src/kernel/kernel.js';
import type { Service, Services } from '../../src/kernel/service.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { JsonDecisions } from '../../src/observability/json-decisions.js';
import { JsonLogs } from '../../src/observability/json-logs.js';
import { LineWriter } from '../../src/observability/line-writer.js';
import { PrometheusMetrics } from '../../src/observability/prometheus-metrics.js';
import { Relay } from '../../src/relay/relay.js';
import {
  createCatalogServer,
  createRelayConfiguration,
  createRelayRequest,
  createRelayRoute,
} from '../support/relay-fixtures.js';
import { ScriptedServer } from '../support/scripted-server.js';

interface StreamEndWorld {
  streamServer: ScriptedServer | undefined;
  streamRelay: Relay;
  streamClient: ServerClient | undefined;
  streamListener: Server | undefined;
  hasEngines: boolean;
  streamSends: number;
  streamText: string;
  isStreamReset: boolean;
}

const scenario = world as unknown as StreamEndWorld;

const HOST = '127.0.0.1';

const REQUEST_ID = 'r0';

/** Delay of late resets, in milliseconds. */
const DELAY_MS = 50;

/** Number of events of a whole stream. */
const EVENTS = 3;

/** Length of the data of a long event, more than is buffered before it is passed on. */
const LONG_DATA = 300_000;

const ENGINE = {
  slots: 4,
  kvTokens: 70_000,
  reservationMs: 2000,
  prefillLifeMs: 500,
  roleChangeMs: 6000,
};

const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  'is closed': (socket) => socket.end(),
  // Within one process, the reset always arrives before the client has read the data.
  'is reset at once': (socket) => {
    socket.resetAndDestroy();
    socket.destroy();
  },
  'is reset later': (socket) => {
    setTimeout(() => socket.resetAndDestroy(), DELAY_MS);
  },
};

function buildEvent(id: number, length: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(length)}\n\n`;
}

/** Answers control calls and prefills; the first stream ends after its first event, the next are whole. */
function answerStreams(end: string, length: number) {
  const finish = ENDS[end] ?? assert.fail(end);
  const counts = { streams: 0 };
  const answer = (socket: Socket, id: string, request: string) => {
    const json = (text: string) =>
      socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
      );
    if (request.startsWith('POST /hold-take')) json('{"hold":"h1"}');
    else if (request.startsWith('DELETE')) json('{}');
    else if (/^stage: prefill/im.test(request)) json('{"kvHandleId":"k1","tokens":100}');
    else if (request.startsWith('GET')) {
      counts.streams += 1;
      const first = Number(/^last-event-id: (\d+)/im.exec(request)?.[1] ?? 0) + 1;
      const lines = ['HTTP/1.1 200 OK', `Attempt-Id: ${id}`, 'Server-Seal: s'];
      lines.push('Content-Type: text/event-stream', '', buildEvent(first, length));
      socket.write(lines.join('\r\n'));
      if (counts.streams === 1) finish(socket);
      else {
        for (let event = first + 1; event <= EVENTS; event += 1)
          socket.write(buildEvent(event, length));
        socket.end();
      }
    }
  };
  return { answer, counts };
}

function createRelay(client: ServerClient): Relay {
  const kernel = Kernel.create();
  const clock = SystemClock.create();
  const writer = LineWriter.create((chunk, done) => done(null, chunk.length));
  const contact = { size: 1, reachable: 1, reportedMs: 0 };
  const queuesElsewhere = { waiting: 0, punctual: 0, startsPerSecond: 0 };
  const borrow = () => Promise.resolve(false);
  const fleet = {
    size: 1,
    peers: [],
    contact,
    queuesElsewhere,
    borrow,
  } as unknown as Services['fleet'] & Service;
  const options = {
    availabilityZone: 'sando',
    retries: { ratio: 0.2, slack: 50, windowMs: 10_000 },
    rateTolerance: { part: 0, tokens: 0, windowMs: 8000 },
  };
  kernel.register('upstream', client);
  kernel.register('decisions', JsonDecisions.create(writer, 'test', clock));
  kernel.register('metrics', PrometheusMetrics.create());
  kernel.register('fleet', fleet);
  return Relay.create(kernel, options, clock);
}

/** Serves every caller with the relay, as one request that may be streamed. */
async function startListener(): Promise<Server> {
  const clock = SystemClock.create();
  const server = createServer((_, response) => {
    const arrivedMs = clock.monotonicMs();
    const request = createRelayRequest({
      requestId: REQUEST_ID,
      headers: ['Attempt-Id', REQUEST_ID],
      arrivedMs,
      deadlineAtMs: arrivedMs + 5000,
      ...(scenario.hasEngines ? { promptTokens: 100, outputTokens: 50 } : {}),
    });
    const sink = CallerSink.create(response, REQUEST_ID, () => true);
    void scenario.streamRelay.serve(request, sink, new AbortController().signal);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return server;
}

After(async () => {
  scenario.streamServer?.close();
  scenario.streamListener?.close();
  await scenario.streamClient?.stop();
  Object.assign(scenario, {
    streamServer: undefined,
    streamListener: undefined,
    streamClient: undefined,
  });
});

Given(
  /^stream servers (with|without) engines, whose connection (is .*) after a (short|long) event$/,
  async (engines: string, end: string, size: string) => {
    const { answer, counts } = answerStreams(end, size === 'long' ? LONG_DATA : 1);
    const server = await ScriptedServer.create(answer);
    const logs = JsonLogs.create('error', 'test');
    const client = ServerClient.create('test', SystemClock.create(), logs, () => {});
    const relay = createRelay(client);
    const stages = engines === 'with' ? (['prefill', 'decode', 'decode'] as const) : [undefined];
    const address = { host: HOST, port: server.port };
    const servers = stages.map((stage, index) =>
      createCatalogServer({ id: `s${index}`, address, stage }),
    );
    relay.catalog.replace(servers, 0);
    Object.assign(scenario, {
      streamServer: server,
      streamRelay: relay,
      streamClient: client,
      hasEngines: engines === 'with',
    });
    Object.defineProperty(scenario, 'streamSends', {
      configurable: true,
      get: () => counts.streams,
    });
  },
);

When(/^a stream is requested that (may|may not) be resumed$/, async (resumable: string) => {
  const engine = scenario.hasEngines ? ENGINE : undefined;
  const route = createRelayRoute({
    kind: 'stream',
    resumable: resumable === 'may',
    timeoutMs: 6000,
  });
  const pools = [{ name: 'pool', mostConnections: 0, engine }];
  scenario.streamRelay.configure(createRelayConfiguration({ routes: [route], pools }));
  const listener = await startListener();
  const seen = { text: '', isReset: false };
  await new Promise<void>((resolve) => {
    const socket = connect((listener.address() as AddressInfo).port, HOST);
    socket.on('data', (bytes) => {
      seen.text += bytes.toString('latin1');
    });
    // A reset that arrives before the data was read ends without an error, and without a peer address.
    socket.on('end', () => {
      seen.isReset ||= socket.remoteAddress === undefined;
    });
    socket.on('error', () => {
      seen.isReset = true;
    });
    socket.on('close', () => resolve());
    socket.write('GET /x HTTP/1.1\r\nHost: plans.example\r\n\r\n');
  });
  scenario.streamListener = listener;
  scenario.streamText = seen.text;
  scenario.isStreamReset = seen.isReset;
});

Then("the stream's caller gets the events {string}, whole", (events: string) => {
  const ids = [...scenario.streamText.matchAll(/^id: (\d+)/gm)].map(([, id]) => id);
  assert.match(scenario.streamText, /^HTTP\/1.1 200 /);
  assert.equal(ids.join(','), events);
  assert.ok(!scenario.isStreamReset, 'the connection was reset');
});

Then("the stream's caller gets a reset", () => {
  assert.ok(scenario.isStreamReset, scenario.streamText.slice(0, 500));
});

Then("the stream's caller gets the status {int}", (status: number) => {
  assert.equal(scenario.streamText.split(' ')[1], String(status));
  assert.ok(!scenario.isStreamReset, 'the connection was reset');
});

Then('the stream was sent {int} time(s)', (times: number) => {
  assert.equal(scenario.streamSends, times);
});
