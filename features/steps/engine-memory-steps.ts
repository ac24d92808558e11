import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';

import type { FleetDaemon } from '../../harness/fleet.js';
import {
  CREW,
  daemonAt,
  startGuaranteeFleet,
  VISITORS,
  type GuaranteeWorld,
} from '../support/guarantees-fleet.js';
import {
  CREW_STREAMS,
  enginesFor,
  keepIn,
  promptFor,
  waitForPhase,
  type HeldPhase,
} from '../support/guarantees-phases.js';
import { listAttempts, waitForRelease, type PlacedAttempt } from '../support/guarantees-records.js';
import {
  assertWhole,
  beginStream,
  waitForTokens,
  type RunningStream,
} from '../support/guarantees-streams.js';

interface MemoryWorld extends GuaranteeWorld {
  phase: HeldPhase;
  streams: RunningStream[];
  visits: RunningStream[];
  killed: number[];
  frozen: number[];
}

/** Longest time for a woken daemon to end what it had, in milliseconds. */
const WAKE_MS = 5000;

const VISIT_TOKENS = 2000;

After(async function stop(this: Partial<GuaranteeWorld>) {
  await this.fleet?.stop();
});

Given(
  'an engine-memory fleet of {int} daemons where requests stay {}',
  async function given(this: MemoryWorld, daemons: number, phase: HeldPhase) {
    const transferMs = phase === 'in transfer' ? 20_000 : 1500;
    const settings = { timeouts: { transferMs, prefillMs: 20_000 } };
    const engine = enginesFor(phase);
    await startGuaranteeFleet(this, { daemons, decodes: 1, services: 0, engine, settings });
    Object.assign(this, { phase, visits: [], killed: [], frozen: [] });
  },
);

Given(
  'engine-memory streams of {int} tokens at the other daemons from the {int}. on',
  async function given(this: MemoryWorld, maxTokens: number, first: number) {
    const others = this.fleet.daemons.slice(first - 1);
    this.streams = Array.from({ length: CREW_STREAMS }, (_, index) => {
      const prompt = `crew survey ${index}`;
      const daemon = others[index % others.length] ?? daemonAt(this.fleet, 0);
      return beginStream(daemon, { key: this.crewKey, prompt, maxTokens });
    });
    await waitForTokens(this.streams);
  },
);

Given(
  'an engine-memory visit that has come that far at daemon {int}',
  async function given(this: MemoryWorld, daemon: number) {
    await keepIn(this, this.phase);
    const plan = { key: this.visitorKey, prompt: promptFor(this.phase), maxTokens: VISIT_TOKENS };
    this.visits.push(beginStream(daemonAt(this.fleet, daemon - 1), plan));
    await waitForPhase(this, this.phase, daemon - 1);
  },
);

When(
  'an engine-memory visit of {int} tokens is sent to daemon {int}',
  function when(this: MemoryWorld, maxTokens: number, daemon: number) {
    const plan = { key: this.visitorKey, prompt: promptFor(this.phase), maxTokens };
    this.visits.push(beginStream(daemonAt(this.fleet, daemon - 1), plan));
  },
);

When('the engine-memory client of that visit cancels', function when(this: MemoryWorld) {
  this.visits.forEach(({ cancel }) => cancel());
});

When(
  'engine-memory daemon {int} is {word}',
  async function when(this: MemoryWorld, daemon: number, event: string) {
    const { process } = daemonAt(this.fleet, daemon - 1);
    if (event === 'frozen') process.pause();
    else await process.kill();
    (event === 'frozen' ? this.frozen : this.killed).push(daemon - 1);
  },
);

When(
  'the engine-memory engine {string} meets {int} times {string} on {string}',
  async function when(
    this: MemoryWorld,
    server: string,
    count: number,
    kind: string,
    path: string,
  ) {
    await this.fleet.servers.get(server)?.addFault({ path, kind, count });
  },
);

When(
  'the engine-memory engine {string} restarts',
  async function when(this: MemoryWorld, server: string) {
    // A request that has sent nothing to its caller yet is run again after the restart.
    await waitForTokens(this.visits);
    await this.fleet.servers.get(server)?.setState({ restart: true });
  },
);

Then(
  'the engine-memory records show no hold of a visit within {int} s',
  async function then(this: MemoryWorld, seconds: number) {
    const elapsedMs = await waitForRelease(this.fleet, VISITORS, seconds * 1000);
    this.log(`${this.phase}: released after ${elapsedMs} ms`);
  },
);

Then('every engine-memory stream is whole and uncancelled', async function then(this: MemoryWorld) {
  await Promise.all(this.streams.map(assertWhole));
  const attempts = await listAttempts(this.fleet, CREW);
  const returned = await listReturned(this, attempts);
  const rest = attempts.filter(({ attemptId }) => !returned.has(attemptId));
  const ends = new Set(rest.map(({ ended }) => ended));
  assert.deepEqual([...ends].toSorted(), ['complete', 'exported'], JSON.stringify(rest));
  assert.equal(rest.length, 2 * this.streams.length);
});

Then('no engine-memory visit comes back', async function then(this: MemoryWorld) {
  await this.fleet.servers.get('decode-1')?.clearFaults();
  const before = await listAttempts(this.fleet, VISITORS);
  this.frozen.forEach((index) => daemonAt(this.fleet, index).process.resume());
  if (this.frozen.length > 0) await endVisits(this);
  const daemons = this.fleet.daemons.filter((_, index) => !this.killed.includes(index));
  await Promise.all(daemons.map((daemon) => this.fleet.waitReady(daemon)));
  await Promise.all(daemons.map((daemon) => probe(this, daemon)));
  await waitForRelease(this.fleet, VISITORS, WAKE_MS);
  const after = await listAttempts(this.fleet, VISITORS);
  assert.equal(after.length, before.length, 'a request that is gone has run again');
});

Then(
  'the engine-memory visit ends {}',
  async function then(this: MemoryWorld, end: 'whole' | 'with an error event') {
    const [visit] = this.visits;
    assert.ok(visit);
    if (end === 'whole') await assertWhole(visit);
    else await assertBroken(visit);
  },
);

/**
 * Lists reservations that their own daemon gave back before any prefill, because the debit had become
 * too old to send. That happens when the engine takes longer than 250 ms to reserve; the request
 * runs again. Any other cancellation of a live request is a fault.
 */
async function listReturned(
  world: MemoryWorld,
  attempts: readonly PlacedAttempt[],
): Promise<ReadonlySet<unknown>> {
  const unused = attempts.filter(({ phase, ended }) => phase === 'reserved' && ended);
  const daemons = world.fleet.daemons.filter((_, index) => !isGone(world, index));
  const answers = await Promise.all(
    daemons.flatMap((daemon) => {
      const { calls } = world.fleet.operator(daemon);
      return unused.map(({ requestId }) => calls.explain({ requestId }));
    }),
  );
  const returned = answers
    .flatMap(({ decisions }) => decisions)
    .filter(({ reason }) => reason === 'the debit is too old to send')
    .map(({ factsJson }) => (JSON.parse(factsJson) as { attemptId: string }).attemptId);
  return new Set(returned);
}

function isGone({ killed, frozen }: MemoryWorld, index: number): boolean {
  return killed.includes(index) || frozen.includes(index);
}

async function probe(world: MemoryWorld, daemon: FleetDaemon): Promise<void> {
  const plan = { key: world.crewKey, prompt: `probe of ${daemon.name}`, maxTokens: 3 };
  await assertWhole(beginStream(daemon, plan));
}

async function assertBroken({ answer }: RunningStream): Promise<void> {
  const end = await answer;
  assert.ok(!(end instanceof Error), `the connection broke: ${String(end)}`);
  assert.ok(end.code !== undefined && !end.whole, 'the answer has no error');
}

/** The daemon that wakes has to tell its callers that their answers broke off. */
async function endVisits(world: MemoryWorld): Promise<void> {
  await Promise.all(world.visits.map(assertBroken));
}
