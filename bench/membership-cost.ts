import { PerformanceObserver } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import { findFreePorts } from '../harness/free-ports.js';
import { createMember } from '../harness/module-fakes.js';
import { Kernel } from '../src/kernel/kernel.js';
import { SystemClock } from '../src/kernel/system-clock.js';
import { answerHeartbeats, HeartbeatStream } from '../src/membership/heartbeat-stream.js';
import type { Member } from '../src/membership/membership.js';
import type { HeartbeatRound } from '../src/membership/membership-message.js';
import { MembershipTask } from '../src/membership/membership-task.js';
import { ConnectPeers } from '../src/peers/connect-peers.js';

/**
 * Number of senders per run. Each costs as much as one VM; the cost of many stands out from the noise.
 */
const SENDER_COUNT = 40;
const ROUNDS = 4;
const ROUND_MS = 1000;
const WARM_UP_ROUNDS = 1500;
const WITNESS_COUNTS = [2, 4, 8];
const MEMBER_COUNTS = [8, 100, 200, 390];
const EPOCH_COUNT = 20;

const INCARNATION = '0f8fad5b-d9cb-469f-a165-70867728950e';
const STATE = {
  epoch: 12_345n,
  configurationOffset: 123_456n,
  withdrawnDigest: 'd'.repeat(64),
  draining: false,
};

/** Performance entry that Node emits for a closed HTTP/2 session; the types of Node omit `detail`. */
interface Http2Entry {
  readonly name: string;
  readonly detail: {
    readonly type?: string;
    readonly bytesRead: number;
    readonly bytesWritten: number;
  };
}

interface Point {
  readonly x: number;
  readonly y: number;
}

async function startWitness(): Promise<{ peers: ConnectPeers; port: number }> {
  const [port = 0] = await findFreePorts(1);
  const peers = ConnectPeers.create(Kernel.create(), { peers: { host: '127.0.0.1', port } });
  const answer = () => ({ ...STATE, renewed: true, incarnation: INCARNATION });
  peers.handle({ heartbeats: (requests) => answerHeartbeats(requests, answer) });
  await peers.start();
  return { peers, port };
}

/** Counts the HTTP/2 bytes of closed connections, as seen by the client. */
function countBytes(): { total: () => number; stop: () => void } {
  let bytes = 0;
  const observer = new PerformanceObserver((list) => {
    list.getEntries().forEach((entry) => {
      const { name, detail: session } = entry as unknown as Http2Entry;
      if (name !== 'Http2Session' || session.type !== 'client') return;
      bytes += session.bytesRead + session.bytesWritten;
    });
  });
  observer.observe({ entryTypes: ['http2'] });
  return { total: () => bytes, stop: () => observer.disconnect() };
}

async function sendRounds(
  streams: readonly HeartbeatStream[],
  index: number,
  rounds: number,
): Promise<void> {
  await delay((index * ROUND_MS) / SENDER_COUNT);
  for (let round = 0; round < rounds; round += 1) {
    const roundDelay = delay(ROUND_MS);
    await Promise.all([...streams.map((stream) => stream.exchange(STATE)), roundDelay]);
  }
}

function openStream(sender: ConnectPeers, port: number, index: number): HeartbeatStream {
  const self = { vm: `vm-${index}`, incarnation: INCARNATION };
  return HeartbeatStream.open(sender.client({ host: '127.0.0.1', port }), self);
}

/** Lets the JIT compile the code of the calls, as happens within the first minutes of a daemon. */
async function warmUp(): Promise<void> {
  const { peers, port } = await startWitness();
  const sender = ConnectPeers.create(Kernel.create(), { peers: { host: '127.0.0.1', port: 1 } });
  const streams = Array.from({ length: 4 }, () => openStream(sender, port, 0));
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
    await Promise.all(streams.map((stream) => stream.exchange(STATE)));
  }
  await sender.stop();
  await peers.stop();
}

/** Measures senders and witnesses in one process, since each VM is a sender as often as a witness. */
async function measureHeartbeats(count: number) {
  const witnesses = await Promise.all(Array.from({ length: count }, startWitness));
  const ports = witnesses.map(({ port }) => port);
  const senders = Array.from({ length: SENDER_COUNT }, () =>
    ConnectPeers.create(Kernel.create(), { peers: { host: '127.0.0.1', port: 1 } }),
  );
  const counter = countBytes();
  const streams = senders.map((sender, index) =>
    ports.map((port) => openStream(sender, port, index)),
  );
  const send = (rounds: number) =>
    Promise.all(streams.map((each, index) => sendRounds(each, index, rounds)));
  // The first round opens the connections, which a daemon does only once, so it is not measured.
  await send(1);
  const before = process.cpuUsage();
  await send(ROUNDS);
  const { user, system } = process.cpuUsage(before);
  await Promise.all(senders.map((sender) => sender.stop()));
  await Promise.all(witnesses.map(({ peers }) => peers.stop()));
  await delay(100);
  counter.stop();
  const vmSeconds = SENDER_COUNT * ROUNDS;
  return {
    cpuMs: (user + system) / 1000 / vmSeconds,
    // A VM transfers the bytes of its own heartbeats, and as many for the heartbeats that it answers.
    bytes: (2 * counter.total()) / (SENDER_COUNT * (ROUNDS + 1)),
  };
}

function createFleetMember(index: number, run: number): Member {
  const fields = {
    region: `region-${index % 2}`,
    availabilityZone: `zone-${index % 7}`,
    incarnation: `${INCARNATION}-${run}`,
  };
  const address = { host: '10.20.30.40', port: 7401 };
  return createMember(`router-${String(index).padStart(3, '0')}`, fields, address);
}

function createRecord(offset: number, index: number, run: number) {
  const data = JSON.stringify({ format: 1, kind: 'joined', member: createFleetMember(index, run) });
  return { offset, timestampMs: offset, data };
}

async function measureFold(count: number) {
  const task = MembershipTask.create(createFleetMember(0, 0), SystemClock.create());
  task.run();
  const joins = Array.from({ length: count }, (_, index) => createRecord(index + 1, index, 0));
  task.send({ kind: 'records', records: joins });
  const before = process.cpuUsage();
  for (let epoch = 1; epoch <= EPOCH_COUNT; epoch += 1) {
    const record = createRecord(count + epoch, 1 + (epoch % (count - 1)), epoch);
    task.send({ kind: 'records', records: [record] });
  }
  const epochs = process.cpuUsage(before);
  const start = process.cpuUsage();
  for (let round = 0; round < EPOCH_COUNT; round += 1) {
    await task.ask<HeartbeatRound>((reply) => ({ kind: 'round', at: task.now(), reply }));
  }
  const rounds = process.cpuUsage(start);
  task.close();
  return {
    epochMs: (epochs.user + epochs.system) / 1000 / EPOCH_COUNT,
    roundMs: (rounds.user + rounds.system) / 1000 / EPOCH_COUNT,
  };
}

/** Computes the slope of a line fitted by least squares. */
function computeSlope(points: readonly Point[]): number {
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  return covariance / points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
}

async function main(): Promise<void> {
  await measureFold(100);
  await warmUp();
  console.log('heartbeats of one VM, sent and answered, once a second');
  console.log('witnesses  cpu ms/s  bytes/s');
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const count of WITNESS_COUNTS) {
    const cost = await measureHeartbeats(count);
    cpu.push({ x: count, y: cost.cpuMs });
    bytes.push({ x: count, y: cost.bytes });
    console.log(`${count}  ${cost.cpuMs.toFixed(3)}  ${cost.bytes.toFixed(0)}`);
  }
  console.log(`slope per witness: ${computeSlope(cpu).toFixed(3)} ms/s of processor time`);
  console.log(`slope per witness: ${computeSlope(bytes).toFixed(0)} bytes/s of HTTP/2`);
  console.log('member list: one changed member, one round of heartbeats before sending');
  console.log('members  epoch ms  round ms');
  const epochs: Point[] = [];
  const rounds: Point[] = [];
  for (const count of MEMBER_COUNTS) {
    const cost = await measureFold(count);
    epochs.push({ x: count, y: cost.epochMs });
    rounds.push({ x: count, y: cost.roundMs });
    console.log(`${count}  ${cost.epochMs.toFixed(3)}  ${cost.roundMs.toFixed(3)}`);
  }
  console.log(`slope per member: ${(computeSlope(epochs) * 1000).toFixed(1)} us an epoch`);
  console.log(`slope per member: ${(computeSlope(rounds) * 1000).toFixed(2)} us a round`);
}

await main();
