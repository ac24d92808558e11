import assert from 'node:assert/strict';
import type { ChildProcess } from 'node:child_process';
import { connect } from 'node:net';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { findFreePorts } from '../../harness/free-ports.js';
import { ownHost } from '../../harness/own-host.js';
import { HttpListener, replyJson } from '../../platform/http-listener.js';
import { JsonLogs } from '../../src/observability/json-logs.js';
import { createConnectionGuard } from '../support/connection-guards.js';

interface OddWorld {
  platformRouter: ChildProcess;
  /** Ports of the listeners, in the order of `LISTENERS`. */
  ports: number[];
  oddListener: HttpListener | undefined;
  oddPort: number;
  oddLines: string[];
  oddAnswers: string[];
}

const scenario = world as unknown as OddWorld;

const STEP = { timeout: 30_000 } as const;

/** Address of the router that the steps of the platform's path start. */
const HOST = ownHost();

/** Not that of the listeners, whose free ports a connection from it could take. */
const LOCAL_ADDRESS = '127.0.0.9';

const LISTENERS = ['callers', 'readiness', 'control', 'directory', 'metrics'];

/** Time without an end after which a connection is closed, in milliseconds. */
const TIMEOUT_MS = 2000;

/** Length of a long target or header, in characters; Node accepts 16 KB, for callers 64 KB. */
const LONG = 12_000;

const TOO_LONG = 100_000;

const TARGETS = [
  '//',
  '///',
  '//:',
  '//[',
  '//x:99999',
  'http://',
  'http://[',
  'http://x:99999/',
  'x://',
  'x:constructor',
  '*',
  'x',
  '/%',
  '/%ff%00',
  '/?%',
  '/\\',
  '/..//../',
  '/__proto__',
  '/state?configuration=x&catalog=%',
  '/explain',
  '/explain?request=%',
  '/resolve?name=//',
  `/${'x'.repeat(LONG)}`,
  `/${'x'.repeat(TOO_LONG)}`,
  `//${'x'.repeat(LONG)}:`,
];

const HEADERS = [
  'Host:',
  'Host: [',
  'Host: //',
  'Host: a b',
  'Host: :99999',
  'Host: %',
  'Host: a\r\nHost: b',
  `Host: ${'x'.repeat(LONG)}`,
  `Host: ${'x'.repeat(TOO_LONG)}`,
  'X-None: x',
  'Host: x\r\nExpect: x',
  'Host: x\r\nExpect: 100-continue',
  'Host: x\r\nConnection: upgrade\r\nUpgrade: x',
  'Host: x\r\nAccept-Encoding: \x00',
  'Host: x\r\nContent-Length: x',
  'Host: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked',
];

const METHODS = ['GET', 'HEAD', 'POST', 'OPTIONS', 'CONNECT', 'ODD'];

/** Sends bytes and returns what was answered until the connection ended. */
function exchange(port: number, request: string): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = '';
    const socket = connect({ port, host: HOST, localAddress: LOCAL_ADDRESS });
    socket.setTimeout(TIMEOUT_MS, () => socket.destroy());
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') reject(error);
    });
    socket.on('close', () => resolve(text));
    socket.write(request, 'latin1');
  });
}

function buildRequest(method: string, target: string, host: string): string {
  const lines = [`${method} ${target} HTTP/1.1`, host, 'Attempt-Id: odd', 'Deadline-Ms: 1000'];
  return [...lines, 'Connection: close', '', ''].join('\r\n');
}

function portOf(listener: string): number {
  return scenario.ports[LISTENERS.indexOf(listener)]!;
}

async function sendAll(port: number, requests: readonly string[]): Promise<void> {
  scenario.oddAnswers = await Promise.all(requests.map((request) => exchange(port, request)));
}

After(async () => {
  await scenario.oddListener?.stop();
  scenario.oddListener = undefined;
});

Given('an odd listener whose handlers throw', async () => {
  const [port] = await findFreePorts(1, HOST);
  scenario.oddLines = [];
  scenario.oddPort = port!;
  scenario.oddListener = HttpListener.create(
    { host: HOST, port: port! },
    {
      '/throws': () => {
        throw new Error('the handler throws');
      },
      '/rejects': () => Promise.reject(new Error('the handler rejects')),
      '/works': () => replyJson('works'),
    },
    JsonLogs.create('info', 'test', (line) => scenario.oddLines.push(line)),
    createConnectionGuard(),
  );
  await scenario.oddListener.start();
});

When('the odd listener is asked for {string}', async (path: string) => {
  await sendAll(scenario.oddPort, [buildRequest('GET', path, 'Host: x')]);
});

When(/^odd targets are sent to the router's (.*) listener$/, STEP, async (listener: string) => {
  const requests = METHODS.flatMap((method) =>
    TARGETS.map((target) => buildRequest(method, target, 'Host: x')),
  );
  await sendAll(portOf(listener), requests);
});

When(/^odd headers are sent to the router's (.*) listener$/, STEP, async (listener: string) => {
  const requests = METHODS.flatMap((method) =>
    HEADERS.map((header) => buildRequest(method, '/ready', header)),
  );
  await sendAll(portOf(listener), requests);
});

When(
  /^the odd target (\S+) is sent to the router's (.*) listener$/,
  async (target: string, listener: string) => {
    await sendAll(portOf(listener), [buildRequest('GET', target, 'Host: x')]);
  },
);

Then('the odd request is answered with {int}', (status: number) => {
  const [answer] = scenario.oddAnswers;
  assert.equal(answer?.split(' ')[1], String(status), answer);
});

Then('the odd listener has logged {string}', (text: string) => {
  assert.equal(scenario.oddLines.length, 1);
  assert.ok(scenario.oddLines[0]!.includes(text), scenario.oddLines[0]);
});

Then('the odd requests have left the router running', async () => {
  const { oddAnswers, ports, platformRouter } = scenario;
  oddAnswers.forEach((answer) => assert.match(answer, /^(HTTP\/1.1 \d{3} |$)/));
  for (const [index, port] of ports.entries()) {
    const answer = await exchange(port, buildRequest('GET', '/ready', 'Host: x'));
    assert.match(answer, /^HTTP\/1.1 \d{3} /, LISTENERS[index]);
  }
  assert.equal(platformRouter.exitCode, null);
});
