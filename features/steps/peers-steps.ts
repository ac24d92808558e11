import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { Code, ConnectError } from '@connectrpc/connect';

import { findFreePorts } from '../../harness/free-ports.js';
import { createTcpRelay, type TcpRelay } from '../../harness/tcp-relay.js';
import { Kernel } from '../../src/kernel/kernel.js';
import type { Member, Membership } from '../../src/membership/membership.js';
import { RingDecisions } from '../../src/observability/ring-decisions.js';
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
  decisions: RingDecisions[];
  ordinary: string[];
  kernels: Kernel[];
}

const host = '127.0.0.1';

async function listen(port: number): Promise<ConnectPeers> {
  const peers = ConnectPeers.create(Kernel.create(), { peers: { host, port } });
  await peers.start();
  return peers;
}

async function openClient(world: PeersWorld, port: number): Promise<void> {
  const caller = ConnectPeers.create(Kernel.create(), { peers: { host, port: 1 } });
  Object.assign(world, { caller, client: caller.client({ host, port }) });
  world.stops.push(() => caller.stop());
}

async function startServer(world: PeersWorld): Promise<void> {
  const [port = 0] = await findFreePorts(1);
  const server = await listen(port);
  // The server is looked up when it is stopped, because a scenario may replace it.
  Object.assign(world, { port, server, stops: [() => world.server.stop()] });
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

After(async function stop(this: PeersWorld) {
  for (const each of (this.stops ?? []).reverse()) await each();
});

Given('a peer listener without handlers', async function given(this: PeersWorld) {
  await startServer(this);
  await openClient(this, this.port);
});

Given('a peer listener behind a relay', async function given(this: PeersWorld) {
  await startServer(this);
  this.server.handle({
    confirmEpoch: () => ({ epoch: 7n }),
    withdrawKeys: () => ({}),
  });
  this.relay = await createTcpRelay({ host, port: this.port });
  await openClient(this, this.relay.port);
  assert.equal((await this.client.confirmEpoch({})).epoch, 7n);
  this.stops.push(() => this.relay.close());
});

When('the peer relay goes silent', function when(this: PeersWorld) {
  this.relay.silence();
});

When('the peer relay refuses connections', async function when(this: PeersWorld) {
  this.relay.cut();
  // A call on the old connection would fail for its sudden end instead of the refusal.
  await delay(100);
});

When('the peer relay works again', function when(this: PeersWorld) {
  this.relay.heal();
});

When('the open connections of the peer relay go silent', function when(this: PeersWorld) {
  this.relay.silenceOpen();
});

Then('the peer behind the relay counts as reachable', function then(this: PeersWorld) {
  assert.equal(this.caller.unreachable(this.relay), false);
});

Then(
  /^the peer behind the relay counts as (reachable|unreachable) within (\d+) ms$/,
  async function then(this: PeersWorld, state: string, withinMs: string) {
    await retryUntil(Number(withinMs), async () => {
      await findCode(this.client.confirmEpoch({}));
      return this.caller.unreachable(this.relay) === (state === 'unreachable');
    });
  },
);

Then(
  'the peer call {string} fails with {string} within {int} ms',
  async function then(this: PeersWorld, call: string, code: string, withinMs: number) {
    const startedMs = performance.now();
    const answer = this.client[call as 'confirmEpoch']({});
    assert.equal(await findCode(answer), code);
    assert.ok(performance.now() - startedMs < withinMs);
  },
);

Then(
  'peer calls succeed again within {int} ms',
  async function then(this: PeersWorld, withinMs: number) {
    const call = async () => (await findCode(this.client.confirmEpoch({}))) === 'no failure';
    await retryUntil(withinMs, call);
  },
);

Then(
  'the peer listener restarts {int} times under calls and answers again',
  async function then(this: PeersWorld, times: number) {
    // Guards against an error of a closed connection that nothing listens to.
    for (let restart = 0; restart < times; restart += 1) {
      const stopped = this.server.stop();
      // The call meets the closing connection at another moment each time.
      for (let turn = 0; turn < restart; turn += 1) await new Promise(setImmediate);
      await Promise.all([stopped, findCode(this.client.confirmEpoch({}))]);
      this.server = await listen(this.port);
      const answers = async () =>
        (await findCode(this.client.confirmEpoch({}))) === 'unimplemented';
      await retryUntil(3000, answers);
    }
  },
);

Then(
  'a peer request of {int} MiB fails with {string}',
  async function then(this: PeersWorld, size: number, code: string) {
    const keyIds = ['x'.repeat(size * 1024 * 1024)];
    assert.equal(await findCode(this.client.withdrawKeys({ keyIds })), code);
  },
);

Given(
  'a peer listener that serves the stream {string} with {int} records',
  async function given(this: PeersWorld, stream: string, count: number) {
    await startServer(this);
    const kernel = Kernel.create();
    const sources = RecordSources.create(kernel);
    kernel.register('peers', this.server);
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
    await openClient(this, this.port);
  },
);

Then(
  'peers read {int} records of the stream {string} from offset {int}',
  async function then(this: PeersWorld, count: number, stream: string, from: number) {
    const request = { stream, fromOffset: BigInt(from), limit: 1000 };
    const { records } = await this.client.fetchRecords(request);
    assert.deepEqual([records.length, records[0]?.offset], [count, BigInt(from)]);
  },
);

Then(
  'peers get a snapshot of the stream {string} at offset {int}',
  async function then(this: PeersWorld, stream: string, offset: number) {
    const answer = await this.client.fetchSnapshot({ stream });
    assert.deepEqual([answer.available, answer.offset], [true, BigInt(offset)]);
  },
);

Then(
  'peers are told that the stream {string} is not served',
  async function then(this: PeersWorld, stream: string) {
    assert.equal(await findCode(this.client.fetchSnapshot({ stream })), 'not_found');
  },
);

Given(
  'decision peers on {int} VMs in the zones {string}',
  async function given(this: PeersWorld, count: number, zones: string) {
    Object.assign(this, { stops: [], decisions: [], kernels: [] });
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
      const decisions = RingDecisions.create(kernel, { vm, decisions: { copiesPerSecond: 10 } });
      kernel.register('peers', ConnectPeers.create(kernel, { peers }));
      kernel.register('membership', {
        ...membership,
        start: () => Promise.resolve(),
        stop: () => Promise.resolve(),
      } as unknown as Membership);
      kernel.register('decisions', decisions);
      await kernel.start();
      this.decisions.push(decisions);
      this.kernels.push(kernel);
      this.stops.push(() => kernel.stop());
    }
  },
);

const ORDINARY_CHOICES: Record<string, string> = { admission: 'admitted', outcome: 'stop' };

function decide(world: PeersWorld, index: number, requestId: string, step: string): void {
  const choice = ORDINARY_CHOICES[step] ?? 'c';
  const entry = { requestId, step, choice, reason: 'r', facts: { blocks: 3, near: true } };
  world.decisions[index]?.record(entry);
}

async function explain(world: PeersWorld, index: number, requestId: string) {
  return (await world.decisions[index]?.explain(requestId)) ?? [];
}

When(
  'the decision peer {int} decides {string} for request {string}',
  function when(this: PeersWorld, index: number, steps: string, requestId: string) {
    steps.split(', ').forEach((step) => decide(this, index, requestId, step));
  },
);

When(
  'the decision peer {int} decides {string} for request {string} after its copy',
  async function when(this: PeersWorld, index: number, step: string, requestId: string) {
    await delay(1500);
    decide(this, index, requestId, step);
  },
);

When(
  'the decision peer {int} decides on {int} ordinary requests',
  function when(this: PeersWorld, index: number, count: number) {
    this.ordinary = Array.from({ length: count }, () => randomUUID());
    this.ordinary.forEach((requestId) => {
      ['admission', 'decode-server', 'prefill-server', 'outcome'].forEach((step) =>
        decide(this, index, requestId, step),
      );
    });
  },
);

Then(
  'the decision peer {int} explains {int} to {int} of the ordinary requests',
  async function then(this: PeersWorld, index: number, least: number, most: number) {
    const explained = [];
    for (const id of this.ordinary) {
      const entries = await explain(this, index, id);
      if (entries.length > 0) explained.push(entries);
    }
    assert.ok(explained.every((entries) => entries.length === 4));
    assert.ok(explained.length >= least && explained.length <= most, `${explained.length}`);
  },
);

When(
  'the decision peer {int} decides {int} times',
  function when(this: PeersWorld, index: number, times: number) {
    for (let time = 0; time < times; time += 1) decide(this, index, `r${time}`, 'admission');
  },
);

When(
  'the decision peer {int} is gone after its copy',
  async function when(this: PeersWorld, index: number) {
    await delay(1500);
    await this.kernels[index]?.stop();
  },
);

Then(
  'the decision peer {int} explains request {string} by {string} within {int} ms',
  async function then(
    this: PeersWorld,
    index: number,
    requestId: string,
    steps: string,
    withinMs: number,
  ) {
    const startedMs = performance.now();
    const found = await explain(this, index, requestId);
    assert.deepEqual(
      found.map((entry) => [entry.step, entry.vm, entry.facts]),
      steps.split(', ').map((step) => [step, 'vm-0', { blocks: 3, near: true }]),
    );
    assert.ok(performance.now() - startedMs < withinMs);
  },
);

Then(
  'the decision peer {int} holds the copy of {int} decisions',
  async function then(this: PeersWorld, index: number, count: number) {
    const [stopped, first] = this.kernels;
    assert.ok(stopped && first);
    await first.stop();
    // Every other peer is gone, so that only its own memory can answer.
    assert.equal((await explain(this, index, 'r1')).length, count);
  },
);

Then(
  'the decision peer {int} has forgotten only the oldest decision',
  async function then(this: PeersWorld, index: number) {
    assert.equal((await explain(this, index, 'r0')).length, 0);
    assert.equal((await explain(this, index, 'r1')).length, 1);
    assert.equal((await explain(this, index, 'r20000')).length, 1);
  },
);
