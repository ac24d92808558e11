import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { request } from 'undici';

import { createPlatformConfiguration } from '../../harness/platform-fixtures.js';
import { findFreePorts } from '../../harness/free-ports.js';
import { waitFor } from '../../harness/wait-for.js';
import { CallerListener } from '../../platform/caller-listener.js';
import { CallerSink } from '../../platform/caller-sink.js';
import type { Address } from '../../src/domain/vm.js';
import { Kernel } from '../../src/kernel/kernel.js';
import type { Service, Services } from '../../src/kernel/service.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { createConnectionGuard } from '../support/connection-guards.js';
import type { AnswerSink } from '../../src/relay/relay-request.js';
import { launchPlatformRouter, type PlatformRouter } from '../../harness/platform-router.js';
import { PlatformLog } from '../../stand-ins/platform/platform-log.js';
import { callRouter, countEnds, type CallerAnswer } from '../support/caller-end.js';
import { UnframedServer } from '../support/unframed-server.js';

interface UnframedWorld {
  unframedStore: PlatformLog | undefined;
  unframedServer: UnframedServer | undefined;
  unframedRouter: PlatformRouter | undefined;
  /** Callers that are answered at the same time. */
  callersAtOnce: number;
  unframedListener: CallerListener | undefined;
  bodyBytes: number;
  answers: CallerAnswer[];
  /** Resolves when the caller of the listener has its answer. */
  answer: Promise<CallerAnswer>;
  readOn: () => void;
  listenerAddress: Address;
  /** How the connection of a caller ended. */
  seen: string;
  /** Writes of a connection to the operating system. */
  writes: number;
}

const scenario = world as unknown as UnframedWorld;

const STEP = { timeout: 60_000 } as const;

/** Time limit of the route, in milliseconds; the answers last longer than those of other scenarios. */
const ROUTE_TIMEOUT_MS = 60_000;

const GRACE_S = 4;

const LAUNCHES_AT_ONCE = 4;

/** Module with which signals make a program fail. */
const FAILURES = './harness/fail-on-signal.ts';

const FAILURE_SIGNALS: Readonly<Record<string, NodeJS.Signals>> = {
  'an uncaught exception': 'SIGUSR2',
  'an unhandled rejection': 'SIGALRM',
};

After(async () => {
  await scenario.unframedRouter?.remove();
  await scenario.unframedListener?.stop();
  scenario.unframedServer?.close();
  scenario.unframedStore?.close();
});

async function startServer(bodyBytes: number, atOnce: number): Promise<void> {
  scenario.bodyBytes = bodyBytes;
  scenario.answers = [];
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
  scenario.unframedRouter = await launchPlatformRouter(address, GRACE_S, {
    preload: FAILURES,
  });
});

function sendOrders(count: number, bytesPerSecond: number): Promise<CallerAnswer[]> {
  const { address } = scenario.unframedRouter!;
  const { bodyBytes } = scenario;
  const ids = Array.from({ length: count }, (_, index) => `u-${index}`);
  return Promise.all(ids.map((id) => callRouter({ address, id, bodyBytes, bytesPerSecond })));
}

When(
  /^(\d+) callers read unframed answers at (\d+) kB\/s and the router ends by (an .*) after (\d+) ms$/,
  STEP,
  async (count: string, rate: string, cause: string, afterMs: string) => {
    const answers = sendOrders(Number(count), Number(rate) * 1000);
    await delay(Number(afterMs));
    scenario.unframedRouter!.process.signal(FAILURE_SIGNALS[cause]!);
    scenario.answers = await answers;
  },
);

When(
  /^(\d+) callers read unframed answers at (\d+) kB\/s and the router is stopped after (\d+) ms$/,
  STEP,
  async (count: string, rate: string, afterMs: string) => {
    const answers = sendOrders(Number(count), Number(rate) * 1000);
    await delay(Number(afterMs));
    scenario.unframedRouter!.process.signal('SIGTERM');
    scenario.answers = await answers;
  },
);

Then('none of the unframed answers looks complete and is truncated', () => {
  assert.ok(scenario.answers.length > 0);
  const sizes = scenario.answers
    .filter(({ end }) => end === 'truncated')
    .map(({ body }) => body.length);
  assert.deepEqual(sizes, [], JSON.stringify(countEnds(scenario.answers)));
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

Then('all unframed answers are whole', async () => {
  await scenario.unframedRouter!.process.ended;
  assert.deepEqual(countEnds(scenario.answers), { whole: scenario.answers.length });
});

Then(
  "the router's log says how many unframed answers were reset at the end of the stop",
  async () => {
    const { process: router } = scenario.unframedRouter!;
    const { code } = await router.ended;
    assert.equal(code, 0);
    const line = router
      .stdout()
      .split('\n')
      .find((text) => text.includes('"stopped"'));
    const { reset } = JSON.parse(line!) as Record<string, unknown>;
    assert.ok(Number(reset) > 0);
    assert.equal(reset, countEnds(scenario.answers)['broken off']);
  },
);

/** Starts a listener that answers each request by writing to its sink. */
async function startListener(answer: (sink: AnswerSink) => void): Promise<Address> {
  const kernel = Kernel.create();
  const serve = (_: unknown, sink: AnswerSink) => {
    sink.writeHead({ status: 200, headers: [], framed: false });
    answer(sink);
    return Promise.resolve();
  };
  kernel.register('relay', { serve } as unknown as Services['relay'] & Service);
  const [port = 0] = await findFreePorts(1);
  const address = { host: '127.0.0.1', port };
  const listener = CallerListener.create(
    kernel,
    address,
    SystemClock.create(),
    createConnectionGuard(),
  );
  await listener.start();
  scenario.unframedListener = listener;
  return address;
}

Given(
  'a listener with an unframed answer of {int} bytes in its buffers',
  async (bodyBytes: number) => {
    let isServed = false;
    const address = await startListener((sink) => {
      void sink.write(Buffer.alloc(bodyBytes, 'x'));
      sink.end();
      isServed = true;
    });
    const mayRead = new Promise<void>((resolve) => {
      scenario.readOn = resolve;
    });
    scenario.answer = callRouter({ address, id: 'u-0', bodyBytes, mayRead });
    await waitFor('the answer', () => isServed);
    // The operating system takes what it can before it is full.
    await delay(200);
    assert.equal(scenario.unframedListener!.unfinished, 1);
  },
);

Given('a listener with the begin of an unframed answer', async () => {
  scenario.listenerAddress = await startListener((sink) => {
    void sink.write(Buffer.from('begin'));
  });
});

When('the caller of the unframed answer has read the begin and closes its side', async () => {
  const { host, port } = scenario.listenerAddress;
  const socket = connect(port, host);
  let text = '';
  socket.on('data', (bytes) => {
    text += bytes.toString();
  });
  // With nothing left to read, a reset is reported as an error.
  const seen = new Promise<string>((resolve) => {
    socket.on('end', () => resolve('an ordinary end'));
    socket.on('error', () => resolve('a reset'));
  });
  socket.write('GET /order/a HTTP/1.1\r\nHost: x\r\nAttempt-Id: u-0\r\n\r\n');
  await waitFor('the begin', () => text.includes('begin'));
  socket.end();
  scenario.seen = await seen;
});

Then(/^the caller of the unframed answer sees (a reset)$/, (seen: string) => {
  assert.equal(scenario.seen, seen);
});

When('the caller of the unframed answer reads on', () => scenario.readOn());

When('the listener with the unframed answer is stopped', async () => {
  await scenario.unframedListener!.stop();
  scenario.unframedListener = undefined;
  scenario.readOn();
});

Then("the unframed answer in the listener's buffers ends as {string}", async (end: string) => {
  assert.equal((await scenario.answer).end, end);
  if (end === 'whole') assert.equal(scenario.unframedListener!.unfinished, 0);
});

Given(
  'answers of {int} bytes without a length that are sent to {int} callers at a time',
  async (bodyBytes: number, callersAtOnce: number) => {
    await startServer(bodyBytes, callersAtOnce);
    scenario.callersAtOnce = callersAtOnce;
  },
);

/** Sends orders at once, kills the router some time after the first answer has begun, and waits for the callers. */
async function killWhileAnswering(
  { address, process: router }: PlatformRouter,
  name: string,
  afterMs: number,
): Promise<CallerAnswer[]> {
  const { bodyBytes, callersAtOnce } = scenario;
  let isAnswered = false;
  const onAnswer = () => {
    if (isAnswered) return;
    isAnswered = true;
    setTimeout(() => router.signal('SIGKILL'), afterMs);
  };
  const ids = Array.from({ length: callersAtOnce }, (_, index) => `${name}-${index}`);
  return Promise.all(ids.map((id) => callRouter({ address, id, bodyBytes, onAnswer })));
}

When(
  '{int} routers are killed while they send unframed answers, 0 to {int} ms after the first begins',
  STEP,
  async (count: number, spreadMs: number) => {
    const { address } = scenario.unframedStore!;
    for (let killed = 0; killed < count; killed += LAUNCHES_AT_ONCE) {
      const launches = Array.from({ length: LAUNCHES_AT_ONCE }, () =>
        launchPlatformRouter(address, GRACE_S),
      );
      for (const [index, router] of (await Promise.all(launches)).entries()) {
        const afterMs = (spreadMs * (killed + index)) / count;
        scenario.answers.push(...(await killWhileAnswering(router, `k${killed + index}`, afterMs)));
        await router.remove();
      }
    }
  },
);

Then('some of the unframed answers are whole', () => {
  assert.ok(
    (countEnds(scenario.answers).whole ?? 0) > 0,
    JSON.stringify(countEnds(scenario.answers)),
  );
});

When(
  /^a caller's sink sends a complete answer of (\d+) bytes (without a length|in chunks)$/,
  async (bytes: string, framing: string) => {
    const chunks = [Buffer.alloc(Number(bytes) / 2, 'x'), Buffer.alloc(Number(bytes) / 2, 'x')];
    const framed = framing === 'in chunks';
    scenario.writes = 0;
    const server = createServer((_, response) => {
      countWrites(response.socket!);
      CallerSink.create(response, 'r', () => true).send(
        { status: 200, headers: [], framed },
        chunks,
      );
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const { body } = await request(`http://127.0.0.1:${port}/`);
    scenario.bodyBytes = Number(bytes);
    assert.equal((await body.arrayBuffer()).byteLength, scenario.bodyBytes);
    server.close();
  },
);

/** Counts the calls by which a connection passes data to the operating system. */
function countWrites(socket: Socket): void {
  const { _write: write, _writev: writev } = socket;
  const count =
    <Parameters extends unknown[]>(pass: (...parameters: Parameters) => void) =>
    (...parameters: Parameters) => {
      scenario.writes += 1;
      pass.apply(socket, parameters);
    };
  Object.assign(socket, { _write: count(write), _writev: count(writev!) });
}

Then("the sink's connection has got the answer in {int} write", (count: number) => {
  assert.equal(scenario.writes, count);
});
