import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { collectGarbage } from '../../bench/collect-garbage.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { ConnectionGuard } from '../../src/memory/connection-guard.js';
import { MemoryBudget, type Holding } from '../../src/memory/memory-budget.js';

interface BudgetWorld {
  memoryBudget: MemoryBudget;
  holdings: Map<string, Holding>;
  budgetRefused: string[];
  budgetClosed: string[];
  guardedServer: Server | undefined;
  guardReasons: string[];
  guardedClients: Socket[];
  /** Requests that the guarded server has answered. */
  answeredRequests: WeakRef<IncomingMessage>[];
}

const scenario = world as unknown as BudgetWorld;

function open(name: string, nowMs: number): Holding {
  const { memoryBudget, holdings, budgetClosed } = scenario;
  const known = holdings.get(name);
  if (known) return known;
  const holding = memoryBudget.open(0, () => budgetClosed.push(name), nowMs);
  assert.ok(holding);
  holdings.set(name, holding);
  return holding;
}

Given(
  'a memory budget of {int} bytes and {int} connections',
  (bytes: number, connections: number) => {
    Object.assign(scenario, {
      memoryBudget: MemoryBudget.create({ bytes, connections }),
      holdings: new Map(),
      budgetRefused: [],
      budgetClosed: [],
    });
  },
);

When(
  'memory budget connection {string} reserves {int} bytes at {int} ms',
  (name: string, bytes: number, nowMs: number) => {
    const { memoryBudget, budgetRefused } = scenario;
    if (!memoryBudget.reserve(open(name, nowMs), bytes, nowMs)) budgetRefused.push(name);
  },
);

When(
  'memory budget connection {string} uses {int} bytes at {int} ms',
  (name: string, bytes: number, nowMs: number) => {
    scenario.memoryBudget.add(open(name, nowMs), bytes, nowMs);
  },
);

When(
  'memory budget connection {string} makes progress at {int} ms',
  (name: string, nowMs: number) => {
    scenario.memoryBudget.progress(open(name, nowMs), nowMs);
  },
);

When('memory budget connection {string} runs a request', (name: string) => {
  scenario.memoryBudget.setReclaimable(open(name, 0), false);
});

Then('the memory budget has refused {string}', (names: string) => {
  assert.equal(scenario.budgetRefused.join(' '), names);
});

Then('the memory budget has closed {string}', (names: string) => {
  assert.equal(scenario.budgetClosed.join(' '), names);
});

Then('the memory budget holds {int} bytes', (bytes: number) => {
  assert.equal(scenario.memoryBudget.used, bytes);
});

/** A quarter of it is the budget, which is a little more than an idle connection needs. */
const GUARDED_MEMORY_BYTES = 40_000;

After(() => {
  scenario.guardedServer?.close();
  scenario.guardedServer?.closeAllConnections();
  scenario.guardedServer = undefined;
});

Given('a guarded server whose memory budget has room for one idle connection', async () => {
  const machine = { memoryBytes: GUARDED_MEMORY_BYTES, descriptors: 100 };
  const reasons: string[] = [];
  scenario.guardReasons = reasons;
  const guard = ConnectionGuard.create(machine, SystemClock.create(), {
    onRefuse: (reason) => reasons.push(reason),
  });
  scenario.guardedServer = createServer();
  guard.attach(scenario.guardedServer);
  scenario.guardedServer.listen(0, '127.0.0.1');
  await once(scenario.guardedServer, 'listening');
});

When(
  'a client sends the guarded server {int} bytes of an incomplete head',
  async (bytes: number) => {
    const { port } = scenario.guardedServer!.address() as AddressInfo;
    const client = connect(port, '127.0.0.1');
    // The connection may be reset, as it is closed with unread data.
    client.on('error', () => {});
    client.write(`GET / HTTP/1.1\r\nX-Long: ${'x'.repeat(bytes)}`);
    await once(client, 'close');
  },
);

Then('the guarded server closes the connection, and tells {string}', (reason: string) => {
  assert.deepEqual(scenario.guardReasons, [reason]);
});

Given('a guarded server that answers each request', async () => {
  const machine = { memoryBytes: 200_000_000, descriptors: 1000 };
  const guard = ConnectionGuard.create(machine, SystemClock.create());
  const answered: WeakRef<IncomingMessage>[] = [];
  const server = createServer((request, response) => {
    guard.begin(request, response);
    request.resume();
    answered.push(new WeakRef(request));
    response.end('done');
  });
  guard.attach(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  Object.assign(scenario, { guardedServer: server, answeredRequests: answered });
});

When(
  '{int} clients send the guarded server a request with {int} header lines and keep their connections open',
  async (count: number, lines: number) => {
    const { port } = scenario.guardedServer!.address() as AddressInfo;
    const headers = Array.from({ length: lines }, (_, index) => `a${index}: b\r\n`).join('');
    scenario.guardedClients = Array.from({ length: count }, () => connect(port, '127.0.0.1'));
    await Promise.all(
      scenario.guardedClients.map(async (client) => {
        client.write(`GET / HTTP/1.1\r\nHost: a\r\n${headers}\r\n`);
        await once(client, 'data');
      }),
    );
  },
);

Then('the guarded server keeps none of the answered requests', async () => {
  await delay(50);
  collectGarbage();
  const kept = scenario.answeredRequests.filter((request) => request.deref());
  assert.equal(scenario.answeredRequests.length, scenario.guardedClients.length);
  assert.equal(kept.length, 0);
  assert.ok(scenario.guardedClients.every(({ destroyed }) => !destroyed));
  scenario.guardedClients.forEach((client) => client.destroy());
});
