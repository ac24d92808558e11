import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';

import { After, Given, Then, When, world } from '@cucumber/cucumber';
import { request } from 'undici';

import { runCtl, type CtlResult } from '../../harness/ctl.js';
import { daemonOf } from '../../harness/find-daemon.js';
import { createTcpRelay } from '../../harness/tcp-relay.js';
import { waitFor } from '../../harness/wait-for.js';
import type { Address } from '../../src/domain/vm.js';
import { openFixedServer } from '../support/fixed-server.js';
import { startGuaranteeFleet, type GuaranteeWorld } from '../support/guarantees-fleet.js';
import { formatRequest } from '../support/guarantees-raw-caller.js';

interface SilentWorld extends GuaranteeWorld {
  readonly sockets: Set<Socket>;
  connections: number;
  silentMs: number;
  run: CtlResult;
}

const scenario = world as unknown as SilentWorld;

const LARGE_ROUTE = '/services/large';

/** Just below the size limit up to which the daemon buffers a complete response. */
const LARGE_BYTES = 1_000_000;

/**
 * Responses on one connection; together more than the socket buffers hold for a caller that does
 * not read.
 */
const LARGE_ANSWERS = 16;

/** Maximum number of operator connections; equal to the daemon's limit. */
const OPERATOR_CONNECTIONS = 128;

const HTTP2_PREFACE = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\u0004\0\0\0\0\0';

const LARGE_REQUEST = formatRequest(`GET ${LARGE_ROUTE}`, []);

/** Text that silent callers write before they stop writing and reading. */
const WRITTEN_TEXTS: Readonly<Record<string, string>> = {
  'nothing sent': '',
  'part of the headers sent': 'GET /healthz HTTP/1.1\r\nhost: da',
  'part of the body sent': formatRequest(`GET ${LARGE_ROUTE}`, ['content-length: 100'], '{'),
  'answers not read': LARGE_REQUEST.repeat(LARGE_ANSWERS),
};

function openSilentConnection(address: Address, text: string): Promise<void> {
  const socket = connect(address);
  scenario.sockets.add(socket);
  socket.on('error', () => undefined);
  socket.pause();
  return new Promise((resolve) => {
    socket.once('connect', () => socket.write(text, () => resolve()));
  });
}

async function openSilentConnections(address: Address, text: string): Promise<void> {
  await Promise.all(
    Array.from({ length: scenario.connections }, () => openSilentConnection(address, text)),
  );
}

async function isLive({ host, port }: Address): Promise<boolean> {
  const answer = await request(`http://${host}:${port}/healthz`, { reset: true });
  await answer.body.dump();
  return answer.statusCode === 200;
}

After(() => {
  scenario.sockets?.forEach((socket) => socket.destroy());
});

Given(
  'a silent-client daemon with room for {int} connections of callers',
  async (connections: number) => {
    Object.assign(scenario, { sockets: new Set(), connections });
    const limits = { callerConnections: connections, bodyMs: 1000 };
    await startGuaranteeFleet(scenario, { daemons: 1, services: 0, settings: { limits } });
    const url = new URL(await openFixedServer((answer) => answer.end('a'.repeat(LARGE_BYTES))));
    const address = { host: url.hostname, port: Number(url.port) };
    const server = { kind: 'service', name: 'large-1', pool: 'large', availabilityZone: 'sando' };
    const route = {
      path: LARGE_ROUTE,
      pool: 'large',
      methods: ['GET'],
      repeatable: true,
      open: true,
    };
    await scenario.fleet.apply([
      { kind: 'put-server', server: { ...server, address } },
      { kind: 'put-route', route },
    ]);
  },
);

When('silent-client callers take all connections, {}', async (state: string) => {
  const { callers } = daemonOf(scenario.fleet, 1);
  await openSilentConnections(callers, WRITTEN_TEXTS[state] ?? assert.fail(state));
  scenario.silentMs = performance.now();
  await assert.rejects(isLive(callers), 'the daemon still has room');
});

When('silent-client operators take all connections', async () => {
  const { operators } = daemonOf(scenario.fleet, 1);
  scenario.connections = OPERATOR_CONNECTIONS;
  await openSilentConnections(operators, HTTP2_PREFACE);
  scenario.silentMs = performance.now();
  const { code, stderr } = await runCtl(operators, ['team', 'list']);
  assert.notEqual(code, 0, 'the daemon still has room');
  scenario.log(`refused with ${code}: ${stderr}`);
});

Then('the silent-client daemon answers new callers within {int} s', async (seconds: number) => {
  const { callers } = daemonOf(scenario.fleet, 1);
  await waitFor('room for a caller', () => isLive(callers), { timeoutMs: seconds * 1000 });
  scenario.log(`room after ${Math.round(performance.now() - scenario.silentMs)} ms`);
});

Then('the silent-client daemon answers new operators within {int} s', async (seconds: number) => {
  const { operators } = daemonOf(scenario.fleet, 1);
  const timeoutMs = seconds * 1000;
  const isAnswered = async () => (await runCtl(operators, ['team', 'list'])).code === 0;
  await waitFor('room for an operator', isAnswered, { timeoutMs, intervalMs: 500 });
  scenario.log(`room after ${Math.round(performance.now() - scenario.silentMs)} ms`);
});

When(
  'the silent-client operator runs {string} on a connection that goes silent',
  async (words: string) => {
    const relay = await createTcpRelay(daemonOf(scenario.fleet, 1).operators);
    relay.silence();
    scenario.silentMs = performance.now();
    scenario.run = await runCtl(relay, words.split(' '));
  },
);

Then(
  'the silent-client command ends with {int} and {string} within {int} s',
  (code: number, text: string, seconds: number) => {
    const elapsedMs = Math.round(performance.now() - scenario.silentMs);
    scenario.log(`ended after ${elapsedMs} ms`);
    const { code: ended, stdout, stderr } = scenario.run;
    assert.equal(ended, code, stdout + stderr);
    assert.ok((stdout + stderr).includes(text), stdout + stderr);
    assert.ok(elapsedMs <= seconds * 1000, `the command took ${elapsedMs} ms`);
  },
);
