import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { daemonOf } from '../../harness/find-daemon.js';
import type { FleetDaemon } from '../../harness/fleet.js';
import {
  CREW_TEAM,
  startGuaranteeFleet,
  VISITOR_TEAM,
  type GuaranteeWorld,
} from '../support/guarantees-fleet.js';
import {
  CREW_STREAMS,
  engineOptionsFor,
  addPhaseFault,
  promptFor,
  waitForPhase,
  type HeldPhase,
} from '../support/guarantees-phases.js';
import { listAttempts, waitForRelease, type ServerAttempt } from '../support/guarantees-records.js';
import {
  assertWhole,
  beginStream,
  waitForTokens,
  type RunningStream,
} from '../support/guarantees-streams.js';

interface MemoryWorld extends GuaranteeWorld {
  phase: HeldPhase;
  streams: RunningStream[];
  visitorStreams: RunningStream[];
  killed: number[];
  frozen: number[];
}

const scenario = world as unknown as MemoryWorld;

/** Time limit for a resumed daemon to end its earlier requests, in milliseconds. */
const RESUME_TIMEOUT_MS = 5000;

const VISITOR_TOKENS = 2000;

After(async () => {
  await scenario.fleet?.stop();
});

Given(
  'an engine-memory fleet of {int} daemons where requests stay {}',
  async (daemons: number, phase: HeldPhase) => {
    const transferMs = phase === 'in transfer' ? 20_000 : 1500;
    const settings = { timeouts: { transferMs, prefillMs: 20_000 } };
    const engine = engineOptionsFor(phase);
    await startGuaranteeFleet(scenario, { daemons, decodes: 1, services: 0, engine, settings });
    Object.assign(scenario, { phase, visitorStreams: [], killed: [], frozen: [] });
  },
);

Given(
  'engine-memory streams of {int} tokens at all daemons from the {int}. on',
  async (maxTokens: number, first: number) => {
    const others = scenario.fleet.daemons.slice(first - 1);
    scenario.streams = Array.from({ length: CREW_STREAMS }, (_, index) => {
      const prompt = `crew survey ${index}`;
      const daemon = others[index % others.length] ?? daemonOf(scenario.fleet, 1);
      return beginStream(daemon, { key: scenario.crewKey, prompt, maxTokens });
    });
    await waitForTokens(scenario.streams);
  },
);

Given('an engine-memory visitor request in that phase at daemon {int}', async (daemon: number) => {
  await addPhaseFault(scenario, scenario.phase);
  const plan = {
    key: scenario.visitorKey,
    prompt: promptFor(scenario.phase),
    maxTokens: VISITOR_TOKENS,
  };
  scenario.visitorStreams.push(beginStream(daemonOf(scenario.fleet, daemon), plan));
  await waitForPhase(scenario, scenario.phase, daemon - 1);
});

When(
  'an engine-memory visitor request of {int} tokens is sent to daemon {int}',
  (maxTokens: number, daemon: number) => {
    const plan = { key: scenario.visitorKey, prompt: promptFor(scenario.phase), maxTokens };
    scenario.visitorStreams.push(beginStream(daemonOf(scenario.fleet, daemon), plan));
  },
);

When('the engine-memory client of that visitor request cancels', () => {
  scenario.visitorStreams.forEach(({ cancel }) => cancel());
});

When('engine-memory daemon {int} is {word}', async (daemon: number, event: string) => {
  const { process } = daemonOf(scenario.fleet, daemon);
  if (event === 'frozen') process.pause();
  else await process.kill();
  (event === 'frozen' ? scenario.frozen : scenario.killed).push(daemon - 1);
});

When(
  'the engine-memory engine {string} gets {int} faults of kind {string} on {string}',
  async (server: string, count: number, kind: string, path: string) => {
    await scenario.fleet.servers.get(server)?.addFault({ path, kind, count });
  },
);

When('the engine-memory engine {string} restarts', async (server: string) => {
  // Tokens must have been sent: a request without output yet would be run again after the restart.
  await waitForTokens(scenario.visitorStreams);
  await scenario.fleet.servers.get(server)?.setState({ restart: true });
});

Then(
  'the engine-memory records show no hold of a visitor request within {int} s',
  async (seconds: number) => {
    const elapsedMs = await waitForRelease(scenario.fleet, VISITOR_TEAM, seconds * 1000);
    scenario.log(`${scenario.phase}: released after ${elapsedMs} ms`);
  },
);

Then('every engine-memory stream is whole and uncancelled', async () => {
  await Promise.all(scenario.streams.map(assertWhole));
  const attempts = await listAttempts(scenario.fleet, CREW_TEAM);
  const returned = await listReturnedReservations(attempts);
  const rest = attempts.filter(({ attemptId }) => !returned.has(attemptId));
  const ends = new Set(rest.map(({ ended }) => ended));
  assert.deepEqual([...ends].toSorted(), ['complete', 'exported'], JSON.stringify(rest));
  assert.equal(rest.length, 2 * scenario.streams.length);
});

Then('no engine-memory visitor request runs again', async () => {
  await scenario.fleet.servers.get('decode-1')?.clearFaults();
  const before = await listAttempts(scenario.fleet, VISITOR_TEAM);
  scenario.frozen.forEach((index) => daemonOf(scenario.fleet, index + 1).process.resume());
  if (scenario.frozen.length > 0) await assertVisitorsBroken();
  const daemons = scenario.fleet.daemons.filter((_, index) => !scenario.killed.includes(index));
  await Promise.all(daemons.map((daemon) => scenario.fleet.waitUntilReady(daemon)));
  await Promise.all(daemons.map((daemon) => sendProbe(daemon)));
  await waitForRelease(scenario.fleet, VISITOR_TEAM, RESUME_TIMEOUT_MS);
  const after = await listAttempts(scenario.fleet, VISITOR_TEAM);
  assert.equal(
    after.length,
    before.length,
    'a visitor request has run again after its client or daemon was gone',
  );
});

Then('the engine-memory visitor request ends {}', async (end: 'whole' | 'with an error event') => {
  const [stream] = scenario.visitorStreams;
  assert.ok(stream);
  if (end === 'whole') await assertWhole(stream);
  else await assertEndsWithError(stream);
});

/**
 * Lists reservations that their own daemon released before any prefill because the debit had become
 * too old to send. That happens if the engine takes longer than 250 ms to reserve; the request then
 * runs again. Any other cancellation of a live request is a fault.
 */
async function listReturnedReservations(
  attempts: readonly ServerAttempt[],
): Promise<ReadonlySet<unknown>> {
  const unused = attempts.filter(({ phase, ended }) => phase === 'reserved' && ended);
  const daemons = scenario.fleet.daemons.filter((_, index) => !isGone(scenario, index));
  const answers = await Promise.all(
    daemons.flatMap((daemon) => {
      const { calls } = scenario.fleet.operatorClient(daemon);
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

async function sendProbe(daemon: FleetDaemon): Promise<void> {
  const plan = { key: scenario.crewKey, prompt: `probe of ${daemon.name}`, maxTokens: 3 };
  await assertWhole(beginStream(daemon, plan));
}

async function assertEndsWithError({ answer }: RunningStream): Promise<void> {
  const end = await answer;
  assert.ok(!(end instanceof Error), `the connection broke without an error event: ${String(end)}`);
  assert.ok(end.code !== undefined && !end.complete, 'the answer does not end with an error');
}

/** A resumed daemon must end the answers of its callers with an error. */
async function assertVisitorsBroken(): Promise<void> {
  await Promise.all(scenario.visitorStreams.map(assertEndsWithError));
}
