import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { findFreePorts } from '../../harness/free-ports.js';
import type { Address } from '../../src/domain/vm.js';
import type { HeartbeatRequest } from '../../src/gen/cuminspar/peer/v1/peer_pb.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { answerHeartbeats, HeartbeatStream } from '../../src/membership/heartbeat-stream.js';
import { ConnectPeers } from '../../src/peers/connect-peers.js';
import { type MemberDaemon, MemberFleet } from '../support/membership/member-fleet.js';
import { sleepFast, waitUntil } from '../support/membership/waits.js';

interface StreamWorld {
  fleet: MemberFleet;
  stream: HeartbeatStream;
  stops: (() => Promise<void> | void)[];
  streamsBefore: number;
}

const scenario = world as unknown as StreamWorld;

const STATE = { epoch: 1n, configurationOffset: 2n, withdrawnDigest: 'digest', draining: false };
const WITNESS = { ...STATE, renewed: true, incarnation: 'witness' };
const host = '127.0.0.1';

/** Maximum wait for an answer that must not arrive, in milliseconds. */
const ANSWER_MS = 500;

type Answers = ReturnType<typeof answerHeartbeats>;

/** Modifies the answers of a correct witness, by behaviour. */
const BEHAVIOURS: Record<string, (answers: Answers) => Answers> = {
  'answers each': (answers) => answers,
  'answers the third by the number of another': (answers) =>
    change(answers, (answer, index) => [index === 3 ? { ...answer, sequence: 2 } : answer]),
  'answers the first one twice': (answers) =>
    change(answers, (answer, index) => (index === 1 ? [answer, answer] : [answer])),
  'loses the answer to the third': (answers) =>
    change(answers, (answer, index) => (index === 3 ? [] : [answer])),
  'promises a fence after the first': (answers) =>
    change(answers, (answer, index) => [{ ...answer, renewed: index === 1 }]),
  'ends the stream after the second': (answers) => takeTwo(answers),
};

type Answer = Answers extends AsyncGenerator<infer Value> ? Value : never;

async function* change(
  answers: Answers,
  edit: (answer: Answer, index: number) => readonly Answer[],
): Answers {
  let index = 0;
  for await (const answer of answers) {
    index += 1;
    yield* edit(answer, index);
  }
}

async function* takeTwo(answers: Answers): Answers {
  for (let index = 0; index < 2; index += 1) {
    const { value } = await answers.next();
    yield value;
  }
}

function openStream(address: Address, self: { vm: string; incarnation: string }): void {
  const caller = ConnectPeers.create(Kernel.create(), { peers: { host, port: 1 } });
  scenario.stream = HeartbeatStream.open(caller.client(address), self);
  scenario.stops.push(
    () => scenario.stream.close(),
    () => caller.stop(),
  );
}

async function isRenewed(stream: HeartbeatStream): Promise<boolean> {
  if (!stream.isReady()) return false;
  const timer = setTimeout(() => stream.close(), ANSWER_MS);
  const answer = await stream.exchange(STATE);
  clearTimeout(timer);
  return answer?.renewed ?? false;
}

function find(index: number): MemberDaemon {
  const daemon = scenario.fleet.daemons.get(`vm-${index}`);
  assert.ok(daemon, `no daemon on VM ${index}`);
  return daemon;
}

After(async () => {
  for (const stop of scenario.stops ?? []) await stop();
});

Given(/^a heartbeat stream to a witness that (.+)$/, async (behaviour: string) => {
  const [port = 0] = await findFreePorts(1);
  const listener = ConnectPeers.create(Kernel.create(), { peers: { host, port } });
  const edit = BEHAVIOURS[behaviour];
  assert.ok(edit, behaviour);
  listener.handle({
    heartbeats: (requests: AsyncIterable<HeartbeatRequest>) =>
      edit(answerHeartbeats(requests, () => WITNESS)),
  });
  await listener.start();
  scenario.stops = [];
  openStream({ host, port }, { vm: 'vm', incarnation: 'member' });
  scenario.stops.push(() => listener.stop());
});

Then('the heartbeats {string} of three are renewed', async (expected: string) => {
  const renewed: number[] = [];
  for (let index = 1; index <= 3; index += 1) {
    if (await isRenewed(scenario.stream)) renewed.push(index);
  }
  assert.equal(renewed.join(), expected);
});

Given(
  'a stream of heartbeats of the first incarnation of member {int} to member {int}',
  async (index: number, witness: number) => {
    scenario.stops = [];
    openStream(find(witness).membership.self().peers, find(index).membership.self());
    assert.ok(await isRenewed(scenario.stream));
  },
);

Then('the stream renews nothing', async () => {
  assert.ok(scenario.stream.isReady(), 'the stream has ended');
  assert.equal(await isRenewed(scenario.stream), false);
});

Then('all members but {int} agree on {int} members', async (left: number, count: number) => {
  const others = [...scenario.fleet.daemons.values()].filter(({ name }) => name !== `vm-${left}`);
  const agree = () =>
    others.every(({ membership }) => membership.current().members.length === count);
  await waitUntil(`all list ${count} members`, agree, 20_000);
});

When('member {int} gets its answers {int} ms late', (index: number, ms: number) => {
  find(index).peers.answerDelayMs = ms;
});

Then('member {int} has no lease for {int} s', async (index: number, seconds: number) => {
  const { membership } = find(index);
  for (let sample = 0; sample < seconds * 20; sample += 1) {
    assert.equal(membership.leaseLive(), false);
    await sleepFast(50);
  }
});

When('the open streams of member {int} go silent', async (index: number) => {
  const { peers } = find(index);
  await waitUntil('the streams are open', () => peers.open.size === 4, 5000);
  scenario.streamsBefore = peers.opened.size;
  peers.silenceOpen();
});

Then('member {int} has replaced its silent streams', (index: number) => {
  const { opened, open } = find(index).peers;
  // Without this check, repeated heartbeats would hide streams that are reopened again and again.
  assert.equal(opened.size - scenario.streamsBefore, 4);
  assert.equal(open.size, 4);
});

Then('nobody has another incarnation', () => {
  scenario.fleet.daemons.forEach(({ name, reincarnations }) => {
    assert.deepEqual(reincarnations, [], name);
  });
});

When('the open connections to member {int} go silent', (index: number) => {
  const relay = scenario.fleet.relays.get(`vm-${index}`);
  assert.ok(relay && relay.countOpenConnections() >= 4);
  relay.silenceOpenConnections();
});

When('member {int} stops', async (index: number) => {
  const { peers, stop } = find(index);
  await waitUntil('the streams are open', () => peers.open.size === 3, 5000);
  await stop();
});

Then('member {int} has no open streams', async (index: number) => {
  const { peers } = find(index);
  await waitUntil('the streams are closed', () => peers.open.size === 0, 2000);
});
