import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';
import { Code, ConnectError } from '@connectrpc/connect';

import { findFreePorts } from '../../harness/free-ports.js';
import { createTcpRelay, type TcpRelay } from '../../harness/tcp-relay.js';
import { Kernel } from '../../src/kernel/kernel.js';
import type { Member, Membership } from '../../src/membership/membership.js';
import { ReplicatedDecisions } from '../../src/observability/replicated-decisions.js';
import { ConnectPeers } from '../../src/peers/connect-peers.js';
import type { PeerClient } from '../../src/peers/peers.js';
import { RecordSources } from '../../src/peers/record-sources.js';

interface PeersWorld {
  port: number;
  server: ConnectPeers;
  client: PeerClient;
  relay: TcpRelay;
  caller: ConnectPeers;
  stops: (() => Promise<void>)[];
  decisions: ReplicatedDecisions[];
  ordinaryIds: string[];
  kernels: Kernel[];
}

const scenario = world as unknown as PeersWorld;

const host = '127.0.0.1';

async function listen(port: number): Promise<ConnectPeers> {
  const peers = ConnectPeers.create(Kernel.create(), { peers: { host, port } });
  await peers.start();
  return peers;
}

async function openClient(port: number): Promise<void> {
  const caller = ConnectPeers.create(Kernel.create(), { peers: { host, port: 1 } });
  Object.assign(scenario, { caller, client: caller.client({ host, port }) });
  scenario.stops.push(() => caller.stop());
}

async function startServer(): Promise<void> {
  const [port = 0] = await findFreePorts(1);
  const server = await listen(port);
  // Reads the server only when it stops, because a scenario may replace it.
  Object.assign(scenario, { port, server, stops: [() => scenario.server.stop()] });
}

async function findCode(call: Promise<unknown>): Promise<string> {
  const failure = await call.then(
    () => 'no failure',
    (error: unknown) => Code[ConnectError.from(error).code] ?? '',
  );
  return failure.replace(/(?<=[a-z])[A-Z]/g, (letter) => `_${letter}`).toLowerCase();
}

async function retryUntil(withinMs: number, check: () => Promise<boolean>): Promise<void> {
  const deadlineMs = performance.now() + withinMs;
  while (!(await check())) assert.ok(performance.now() < deadlineMs, `not within ${withinMs} ms`);
}

After(async () => {
  for (const stop of (scenario.stops ?? []).reverse()) await stop();
});

Given('a peer listener without handlers', async () => {
  await startServer();
  await openClient(scenario.port);
});

Given('a peer listener behind a relay', async () => {
  await startServer();
  scenario.server.handle({
    confirmEpoch: () => ({ epoch: 7n }),
    withdrawKeys: () => ({}),
  });
  scenario.relay = await createTcpRelay({ host, port: scenario.port });
  await openClient(scenario.relay.port);
  assert.equal((await scenario.client.confirmEpoch({})).epoch, 7n);
  scenario.stops.push(() => scenario.relay.close());
});

When('the peer relay goes silent', () => {
  scenario.relay.silence();
});

When('the peer relay refuses connections', async () => {
  scenario.relay.cut();
  // An earlier call would fail because the old connection ends, not because a new one is refused.
  await delay(100);
});

When('the peer relay works again', () => {
  scenario.relay.heal();
});

When('the open connections of the peer relay go silent', () => {
  scenario.relay.silenceOpenConnections();
});

Then('the peer behind the relay counts as reachable', () => {
  assert.equal(scenario.caller.unreachable(scenario.relay), false);
});

Then(
  /^the peer behind the relay counts as (reachable|unreachable) within (\d+) ms$/,
  async (state: string, withinMs: string) => {
    await retryUntil(Number(withinMs), async () => {
      await findCode(scenario.client.confirmEpoch({}));
      return scenario.caller.unreachable(scenario.relay) === (state === 'unreachable');
    });
  },
);

Then(
  'the peer call {string} fails with {string} within {int} ms',
  async (call: string, code: string, withinMs: number) => {
    const startedMs = performance.now();
    const answer = scenario.client[call as 'confirmEpoch']({});
    assert.equal(await findCode(answer), code);
    assert.ok(performance.now() - startedMs < withinMs);
  },
);

Then('peer calls succeed again within {int} ms', async (withinMs: number) => {
  const call = async () => (await findCode(scenario.client.confirmEpoch({}))) === 'no failure';
  await retryUntil(withinMs, call);
});

Then(
  'the peer listener restarts {int} times during calls and answers again',
  async (times: number) => {
    // Guards against an error of a closed connection without a listener, which ends the process.
    for (let restart = 0; restart < times; restart += 1) {
      const stopped = scenario.server.stop();
      // Each restart makes the call at a different moment while the connection closes.
      for (let turn = 0; turn < restart; turn += 1) await new Promise(setImmediate);
      await Promise.all([stopped, findCode(scenario.client.confirmEpoch({}))]);
      scenario.server = await listen(scenario.port);
      const answers = async () =>
        (await findCode(scenario.client.confirmEpoch({}))) === 'unimplemented';
      await retryUntil(3000, answers);
    }
  },
);

Then('a peer request of {int} MiB fails with {string}', async (size: number, code: string) => {
  const keyIds = ['x'.repeat(size * 1024 * 1024)];
  assert.equal(await findCode(scenario.client.withdrawKeys({ keyIds })), code);
});

Given(
  'a peer listener that serves the stream {string} with {int} records',
  async (stream: string, count: number) => {
    await startServer();
    const kernel = Kernel.create();
    const sources = RecordSources.create(kernel);
    kernel.register('peers', scenario.server);
    await sources.start();
    const all = Array.from({ length: count }, (_, index) => ({
      offset: index + 1,
      timestampMs: 0.5,
      data: 'record',
    }));
    sources.add(stream, {
      records: (from, limit) => all.slice(from - 1, from - 1 + limit),
      snapshot: () => ({ offset: count, stateJson: '{}' }),
    });
    await openClient(scenario.port);
  },
);

Then(
  'peers read {int} records of the stream {string} from offset {int}',
  async (count: number, stream: string, from: number) => {
    const request = { stream, fromOffset: BigInt(from), limit: 1000 };
    const { records } = await scenario.client.fetchRecords(request);
    assert.deepEqual([records.length, records[0]?.offset], [count, BigInt(from)]);
  },
);

Then(
  'peers get a snapshot of the stream {string} at offset {int}',
  async (stream: string, offset: number) => {
    const answer = await scenario.client.fetchSnapshot({ stream });
    assert.deepEqual([answer.available, answer.offset], [true, BigInt(offset)]);
  },
);

Then('peers are told that the stream {string} is not served', async (stream: string) => {
  assert.equal(await findCode(scenario.client.fetchSnapshot({ stream })), 'not_found');
});

Given('decision peers on {int} VMs in the zones {string}', async (count: number, zones: string) => {
  Object.assign(scenario, { stops: [], decisions: [], kernels: [] });
  const members: Member[] = [];
  for (let index = 0; index < count; index += 1) {
    const [port = 0] = await findFreePorts(1);
    const peers = { host, port };
    const name = `vm-${index}`;
    const availabilityZone = zones.split(',')[index] ?? '';
    const vm = { name, region: 'region', availabilityZone };
    members.push({
      ...vm,
      vm: name,
      incarnation: 'i',
      peers,
      callers: peers,
      operators: peers,
    });
    const kernel = Kernel.create();
    const self = members[index];
    const membership = { self: () => self, current: () => ({ epoch: 1, members }) };
    const decisions = ReplicatedDecisions.create(kernel, {
      vm,
      decisions: { copiesPerSecond: 10 },
    });
    kernel.register('peers', ConnectPeers.create(kernel, { peers }));
    kernel.register('membership', {
      ...membership,
      start: () => Promise.resolve(),
      stop: () => Promise.resolve(),
    } as unknown as Membership);
    kernel.register('decisions', decisions);
    await kernel.start();
    scenario.decisions.push(decisions);
    scenario.kernels.push(kernel);
    scenario.stops.push(() => kernel.stop());
  }
});

const ORDINARY_CHOICES: Record<string, string> = { admission: 'admitted', outcome: 'stop' };

function decide(index: number, requestId: string, step: string): void {
  const choice = ORDINARY_CHOICES[step] ?? 'c';
  const entry = { requestId, step, choice, reason: 'r', facts: { blocks: 3, near: true } };
  scenario.decisions[index]?.record(entry);
}

async function explain(index: number, requestId: string) {
  return (await scenario.decisions[index]?.explain(requestId)) ?? [];
}

When(
  'the decision peer {int} decides {string} for request {string}',
  (index: number, steps: string, requestId: string) => {
    steps.split(', ').forEach((step) => decide(index, requestId, step));
  },
);

When(
  'the decision peer {int} decides {string} for request {string} after copying its decisions',
  async (index: number, step: string, requestId: string) => {
    await delay(1500);
    decide(index, requestId, step);
  },
);

When(
  'the decision peer {int} decides on {int} ordinary requests',
  (index: number, count: number) => {
    scenario.ordinaryIds = Array.from({ length: count }, () => randomUUID());
    scenario.ordinaryIds.forEach((requestId) => {
      ['admission', 'decode-server', 'prefill-server', 'outcome'].forEach((step) =>
        decide(index, requestId, step),
      );
    });
  },
);

Then(
  'the decision peer {int} explains {int} to {int} of the ordinary requests',
  async (index: number, least: number, most: number) => {
    const explained = [];
    for (const id of scenario.ordinaryIds) {
      const entries = await explain(index, id);
      if (entries.length > 0) explained.push(entries);
    }
    assert.ok(explained.every((entries) => entries.length === 4));
    assert.ok(explained.length >= least && explained.length <= most, `${explained.length}`);
  },
);

When('the decision peer {int} decides {int} times', (index: number, times: number) => {
  for (let time = 0; time < times; time += 1) decide(index, `r${time}`, 'admission');
});

When('the decision peer {int} stops after copying its decisions', async (index: number) => {
  await delay(1500);
  await scenario.kernels[index]?.stop();
});

Then(
  'the decision peer {int} explains request {string} by {string} within {int} ms',
  async (index: number, requestId: string, steps: string, withinMs: number) => {
    const startedMs = performance.now();
    const found = await explain(index, requestId);
    assert.deepEqual(
      found.map((entry) => [entry.step, entry.vm, entry.facts]),
      steps.split(', ').map((step) => [step, 'vm-0', { blocks: 3, near: true }]),
    );
    assert.ok(performance.now() - startedMs < withinMs);
  },
);

Then(
  'the decision peer {int} holds the copy of {int} decisions',
  async (index: number, count: number) => {
    const [stopped, first] = scenario.kernels;
    assert.ok(stopped && first);
    await first.stop();
    // All other peers have stopped, so only the memory of this one can supply the decisions.
    assert.equal((await explain(index, 'r1')).length, count);
  },
);

Then('the decision peer {int} has evicted only the oldest decision', async (index: number) => {
  assert.equal((await explain(index, 'r0')).length, 0);
  assert.equal((await explain(index, 'r1')).length, 1);
  assert.equal((await explain(index, 'r20000')).length, 1);
});
