import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import type { FleetSimulation, SimulatedVm } from '../../harness/fleet-simulation.js';
import type { Refusal } from '../../src/domain/refusal.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { listCrashSuspects } from '../../src/relay/crash-suspects.js';
import type { Relay } from '../../src/relay/relay.js';
import type { RelayRoute } from '../../src/relay/relay-configuration.js';
import {
  AnswerSink,
  type AnswerHead,
  type PromptPart,
  type RelayRequest,
} from '../../src/relay/relay-request.js';
import { CRASH, type CrashPoint, type FakeUpstream } from '../support/fake-upstream.js';
import {
  createCatalogServer,
  createRelayConfiguration,
  createRelayRequest,
  createRelayRoute,
} from '../support/relay-fixtures.js';

interface SentPrompt {
  readonly atMs: number;
  /** Undefined until the prompt has been answered or refused. */
  isServed: boolean | undefined;
}

interface CrashWorld {
  relay: Relay;
  upstream: FakeUpstream;
  engines: boolean;
  simulation: FleetSimulation;
  lastRefusal: Refusal | undefined;
  /** Statuses of the sound requests. */
  soundStatuses: number[];
  crashes: number;
  suspects: readonly string[];
  /** Prompts that came to the simulated fleet. */
  sent: SentPrompt[];
  /** When a VM made a trial, as simulated time in milliseconds. */
  trialTimes: number[];
}

const scenario = world as unknown as CrashWorld;

const SIMULATION = { timeout: 180_000 } as const;

/** Time that a server takes for a sound prompt in a simulated fleet, in milliseconds. */
const ANSWER_MS = 1000;

const GOLDEN_RATIO = 0.618034;

const ENGINE = {
  ...{ slots: 40, kvTokens: 70_000, reservationMs: 2000 },
  ...{ prefillLifeMs: 500, roleChangeMs: 6000 },
};

/** Time in which callers of these tests wait for an answer, in milliseconds. */
const DEADLINE_MS = 5000;

class StatusSink extends AnswerSink {
  status = 0;

  refusal: Refusal | undefined;

  closed = false;

  override refuse(refusal: Refusal): void {
    this.refusal = refusal;
    this.status = refusal.status;
  }

  override writeHead({ status }: AnswerHead): void {
    this.status = status;
  }

  override write(): undefined {}

  override end(): void {}

  override abort(): void {
    this.status = 0;
  }
}

function createRoute(kind: string, attempts: number): RelayRoute {
  const resumable = kind === 'resumable';
  const route = resumable ? 'stream' : (kind as RelayRoute['kind']);
  return createRelayRoute({ kind: route, resumable, attempts, timeoutMs: 6000 });
}

function createRequest(overrides: Partial<RelayRequest>): RelayRequest {
  const arrivedMs = SystemClock.create().monotonicMs();
  const times = { arrivedMs, deadlineAtMs: arrivedMs + DEADLINE_MS };
  const tokens = scenario.engines ? { promptTokens: 100, outputTokens: 50 } : {};
  return createRelayRequest({ ...times, ...tokens, ...overrides });
}

async function serve(
  overrides: Partial<RelayRequest>,
  disconnected = new AbortController().signal,
): Promise<StatusSink> {
  const sink = new StatusSink();
  await scenario.relay.serve(createRequest(overrides), sink, disconnected);
  return sink;
}

/** Lists the parts of a prompt; the last one is its own. */
function createParts(shared: string, own: string): PromptPart[] {
  return [...shared.split(', '), own].map((id) => ({ id, tokens: 10 }));
}

function isRefused({ crashes }: SimulatedVm, suspects: readonly string[]): boolean {
  return crashes.findCause(() => suspects, scenario.simulation.clock.monotonicMs()) !== undefined;
}

function listRefusing(...suspects: readonly string[]): string[] {
  const { liveVms } = scenario.simulation;
  return liveVms.filter((vm) => isRefused(vm, suspects)).map(({ name }) => name);
}

function crashServer(...suspects: readonly string[]): void {
  const { simulation } = scenario;
  const { liveVms, clock } = simulation;
  scenario.crashes = (scenario.crashes ?? 0) + 1;
  const server = createCatalogServer({ id: `crashed-${scenario.crashes}` });
  const vm = liveVms[scenario.crashes % liveVms.length]!;
  const others = [`other-${scenario.crashes}`];
  vm.crashes.recordUnanswered(server, suspects, clock.monotonicMs());
  vm.crashes.recordUnanswered(server, others, clock.monotonicMs());
}

Given(/^servers of the relay crash (.*)$/, (point: CrashPoint) => {
  scenario.upstream.crashPoint = point;
});

When(
  'a relay request of kind {string} with {int} attempts that crashes servers arrives {int} times, with {int} sound ones after each',
  { timeout: 60_000 },
  async (kind: string, attempts: number, times: number, sound: number) => {
    const pool = {
      name: 'pool',
      mostConnections: 0,
      engine: scenario.engines ? ENGINE : undefined,
    };
    const routes = [createRoute(kind, attempts)];
    scenario.relay.configure(createRelayConfiguration({ routes, pools: [pool] }));
    scenario.soundStatuses = [];
    for (let index = 0; index < times; index += 1) {
      const body = Buffer.from(CRASH);
      const deadly = await serve({ requestId: `deadly-${index}`, body });
      scenario.lastRefusal = deadly.refusal;
      for (let count = 0; count < sound; count += 1) {
        const requestId = `sound-${index}-${count}`;
        const { status } = await serve({ requestId, body: Buffer.from(requestId) });
        scenario.soundStatuses.push(status);
      }
    }
  },
);

When(
  '{int} relay prompts of kind {string} with the parts {string} crash servers, with {int} sound ones with the parts {string} after each',
  { timeout: 60_000 },
  async (count: number, kind: string, deadlyParts: string, sound: number, soundParts: string) => {
    const pools = [{ name: 'pool', mostConnections: 0, engine: ENGINE }];
    const routes = [createRoute(kind, 2)];
    scenario.relay.configure(createRelayConfiguration({ routes, pools }));
    scenario.soundStatuses = [];
    const statusOf = async (requestId: string) => {
      const body = Buffer.from(requestId);
      return (await serve({ requestId, body, promptParts: createParts(soundParts, requestId) }))
        .status;
    };
    for (let index = 0; index < count; index += 1) {
      const requestId = `deadly-${index}`;
      const body = Buffer.from(`${CRASH} ${index}`);
      const promptParts = createParts(deadlyParts, requestId);
      scenario.lastRefusal = (await serve({ requestId, body, promptParts })).refusal;
      for (let each = 0; each < sound; each += 1)
        scenario.soundStatuses.push(await statusOf(`sound-${index}-${each}`));
    }
  },
);

Then('at most {int} relay servers have crashed', (most: number) => {
  const { size } = scenario.upstream.crashed;
  assert.ok(size > 0 && size <= most, `${size} servers crashed`);
});

Then('the crashing relay request is refused as not run, with a time to retry', () => {
  const { lastRefusal } = scenario;
  assert.equal(lastRefusal?.code, 'quarantined');
  assert.equal(lastRefusal.run, 'not run');
  assert.ok(lastRefusal.retryAfterMs! > 0, `retry after ${lastRefusal.retryAfterMs} ms`);
});

Then('every sound relay request was answered', () => {
  assert.deepEqual(new Set(scenario.soundStatuses), new Set([200]));
});

When('request {string} is on two servers of the simulated fleet that crash', (suspect: string) => {
  crashServer(suspect);
  crashServer(suspect);
});

When(
  'request {string} is on one more server of the simulated fleet that crashes',
  (suspect: string) => crashServer(suspect),
);

When(
  'a prompt with {int} parts that have ids of {int} digits is on three servers of the simulated fleet that crash',
  (count: number, digits: number) => {
    const promptParts = Array.from({ length: count }, (_, index) => ({
      id: `${index}`.padStart(digits, '0'),
      tokens: 10,
    }));
    scenario.suspects = listCrashSuspects(createRelayRequest({ promptParts }), 'team');
    for (let crash = 0; crash < 3; crash += 1) crashServer(...scenario.suspects);
  },
);

Then(
  'all VMs of the simulated fleet refuse the prompt with long ids within {int} ms',
  async (ms: number) => {
    const { simulation, suspects } = scenario;
    await simulation.advance(ms);
    assert.equal(listRefusing(...suspects).length, simulation.liveVms.length);
  },
);

Then('no VM of the simulated fleet has lost contact', async () => {
  const { simulation } = scenario;
  await simulation.advance(3000);
  const { liveVms } = simulation;
  assert.deepEqual(
    new Set(liveVms.map(({ fleet }) => fleet.peers.length)),
    new Set([liveVms.length - 1]),
  );
});

When('a VM of the simulated fleet is replaced', SIMULATION, async () => {
  const { simulation } = scenario;
  await simulation.replace(simulation.liveVms.at(-1)!);
});

/** Names the parts of a prompt as suspects. */
function listParts(parts: string): string[] {
  return parts.split(', ').map((part) => `part ${part}`);
}

/** Names parts that many prompts have. */
function listSharedParts(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `part shared-${index}`);
}

When('servers answer the parts {string} at all VMs of the simulated fleet', (parts: string) => {
  const { liveVms, clock } = scenario.simulation;
  const suspects = listParts(parts);
  liveVms.forEach(({ crashes }) =>
    crashes.recordAnswered(suspects, () => suspects, clock.monotonicMs()),
  );
});

When(
  'the parts {string} are on {int} servers of the simulated fleet that crash',
  (parts: string, count: number) => {
    for (let crash = 0; crash < count; crash += 1) crashServer(...listParts(parts));
  },
);

Then(
  'no VM of the simulated fleet refuses the part {string} after {int} ms',
  SIMULATION,
  async (part: string, ms: number) => {
    await scenario.simulation.advance(ms);
    assert.deepEqual(listRefusing(...listParts(part)), []);
  },
);

Then('all VMs of the simulated fleet refuse the part {string}', (part: string) => {
  assert.equal(listRefusing(...listParts(part)).length, scenario.simulation.liveVms.length);
});

When('a server answers {string} at a VM of the simulated fleet', (suspect: string) => {
  const { liveVms, clock } = scenario.simulation;
  liveVms[0]!.crashes.recordAnswered([], () => [suspect], clock.monotonicMs());
});

Then(
  /^all VMs of the simulated fleet refuse "(.*)" (?:within|after) (\d+) ms$/,
  SIMULATION,
  async (suspect: string, ms: string) => {
    const { simulation } = scenario;
    await simulation.advance(Number(ms));
    assert.equal(listRefusing(suspect).length, simulation.liveVms.length);
  },
);

Then('no VM of the simulated fleet refuses {string}', (suspect: string) => {
  assert.deepEqual(listRefusing(suspect), []);
});

Then(
  'no VM of the simulated fleet refuses {string} after {int} ms',
  SIMULATION,
  async (suspect: string, ms: number) => {
    await scenario.simulation.advance(ms);
    assert.deepEqual(listRefusing(suspect), []);
  },
);

Then(
  'at most a fifth of the VMs of the simulated fleet end the quarantine of {string} in any {int} ms',
  SIMULATION,
  async (suspect: string, windowMs: number) => {
    const { simulation } = scenario;
    const size = simulation.liveVms.length;
    let before = listRefusing(suspect).length;
    while (before > 0) {
      await simulation.advance(windowMs);
      const after = listRefusing(suspect).length;
      assert.ok(before - after <= size / 5, `${before - after} of ${size} ended at once`);
      before = after;
    }
  },
);

function configureStreams(kind = 'stream', attempts = 2): void {
  const pools = [
    { name: 'pool', mostConnections: 0, engine: scenario.engines ? ENGINE : undefined },
  ];
  const routes = [createRoute(kind, attempts)];
  scenario.relay.configure(createRelayConfiguration({ routes, pools }));
}

async function servePrompt(
  requestId: string,
  parts: string,
  body = requestId,
): Promise<StatusSink> {
  return serve({ requestId, body: Buffer.from(body), promptParts: createParts(parts, requestId) });
}

/** Removes the entries of the servers that have crashed. */
function removeCrashed(): void {
  const { relay, upstream } = scenario;
  const nowMs = SystemClock.create().monotonicMs();
  upstream.crashed.forEach((id) => relay.catalog.apply({ id, server: undefined }, nowMs));
}

When(
  '{int} relay prompts of kind {string} with the parts {string} crash servers at once',
  async (count: number, kind: string, parts: string) => {
    configureStreams(kind);
    const indexes = Array.from({ length: count }, (_, index) => index);
    await Promise.all(
      indexes.map((index) => servePrompt(`deadly-${index}`, parts, `${CRASH} ${index}`)),
    );
    removeCrashed();
  },
);

Then(
  'at most {int} of {int} relay prompts with the parts {string} in {int} ms is refused after the first that is served',
  { timeout: 60_000 },
  async (most: number, count: number, parts: string, ms: number) => {
    const statuses: number[] = [];
    const clock = SystemClock.create();
    for (let index = 0; index < count; index += 1) {
      statuses.push((await servePrompt(`sound-${index}`, parts)).status);
      await clock.sleep(ms / count);
    }
    const first = statuses.indexOf(200);
    assert.ok(first >= 0, 'no sound prompt was served');
    const refused = statuses.slice(first).filter((status) => status !== 200);
    assert.ok(refused.length <= most, `${refused.length} refused`);
  },
);

Then(
  'the crashing relay prompts with the parts {string} are still refused',
  async (parts: string) => {
    const { refusal } = await servePrompt('deadly-again', parts, CRASH);
    assert.equal(refusal?.code, 'quarantined');
  },
);

When(
  '{int} relay prompts with the parts {string} crash servers in {int} ms',
  { timeout: 60_000 },
  async (count: number, parts: string, ms: number) => {
    const clock = SystemClock.create();
    for (let index = 0; index < count; index += 1) {
      await servePrompt(`other-${index}`, parts, `${CRASH} other ${index}`);
      removeCrashed();
      await clock.sleep(ms / count);
    }
  },
);

When(
  '{int} relay prompts of kind {string} with {int} sound parts and the part {string} crash servers, with {int} sound ones after each',
  { timeout: 60_000 },
  async (count: number, kind: string, parts: number, deadly: string, sound: number) => {
    configureStreams(kind);
    const shared = Array.from({ length: parts }, (_, index) => `s${index}`).join(', ');
    scenario.soundStatuses = [];
    for (let index = 0; index < count; index += 1) {
      const prompt = await servePrompt(
        `deadly-${index}`,
        `${shared}, ${deadly}`,
        `${CRASH} ${index}`,
      );
      scenario.lastRefusal = prompt.refusal;
      for (let each = 0; each < sound; each += 1) {
        const { status } = await servePrompt(`sound-${index}-${each}`, shared);
        scenario.soundStatuses.push(status);
      }
    }
  },
);

When(
  /^the same relay request of kind "(\w+)" arrives 5 times, its caller leaves after (\d+) ms, and its server (starts again|goes on)$/,
  { timeout: 60_000 },
  async (kind: string, ms: string, change: string) => {
    configureStreams(kind, 1);
    const { relay, upstream } = scenario;
    for (let index = 0; index < 5; index += 1) {
      const caller = new AbortController();
      const timer = setTimeout(() => caller.abort(), Number(ms));
      const before = upstream.sends.length;
      const sink = await serve(
        { requestId: `silent-${index}`, body: Buffer.from('x') },
        caller.signal,
      );
      clearTimeout(timer);
      scenario.lastRefusal = sink.refusal;
      const last = upstream.sends.slice(before).at(-1);
      const server = last && relay.catalog.find(last.server);
      if (server && change === 'starts again') {
        const restarted = { ...server, startedAtMs: server.startedAtMs + 1000 };
        relay.catalog.apply(
          { id: server.id, server: restarted },
          SystemClock.create().monotonicMs(),
        );
      }
    }
  },
);

Then('{int} sends to relay servers have been silent', (count: number) => {
  assert.equal(scenario.upstream.sends.length, count);
});

When(
  'the VMs of the simulated fleet have a request for a trial each {int} ms for {int} ms',
  SIMULATION,
  async (everyMs: number, ms: number) => {
    const { simulation } = scenario;
    await simulation.advance(3000);
    scenario.trialTimes = [];
    for (let passed = 0; passed < ms; passed += everyMs) {
      simulation.liveVms.forEach(({ fleet }) => {
        void fleet.acquireTrial('crash x').then((permit) => {
          if (permit) scenario.trialTimes.push(simulation.clock.monotonicMs());
        });
        void fleet.acquireTrial('crash y');
      });
      await simulation.advance(everyMs);
    }
  },
);

Then(
  'the VMs of the simulated fleet have made {int} trials, at most 1 in any {int} ms',
  (count: number, windowMs: number) => {
    const { trialTimes } = scenario;
    assert.equal(trialTimes.length, count);
    trialTimes.slice(1).forEach((time, index) => assert.ok(time - trialTimes[index]! >= windowMs));
  },
);

/** Sends a prompt to a VM; it is served, refused, or crashes its server. */
async function sendSimulated(vm: SimulatedVm, suspects: readonly string[], isDeadly: boolean) {
  const { clock } = scenario.simulation;
  const cause = vm.crashes.findCause(() => suspects, clock.monotonicMs());
  const permit = cause?.isUndecided ? await vm.fleet.acquireTrial(cause.group) : undefined;
  if (cause && !permit) return false;
  await clock.sleep(isDeadly ? 50 : ANSWER_MS);
  if (isDeadly) crashServer(...suspects);
  else vm.crashes.recordAnswered(suspects, () => suspects, clock.monotonicMs());
  permit?.end(isDeadly ? 'broken' : 'sound');
  return true;
}

When(
  'prompts with {int} shared parts and a bad one are on {int} servers of the simulated fleet that crash',
  SIMULATION,
  async (parts: number, count: number) => {
    await scenario.simulation.advance(3000);
    for (let crash = 0; crash < count; crash += 1)
      crashServer(...listSharedParts(parts), ...listParts('bad'));
    await scenario.simulation.advance(2000);
  },
);

When(
  /^(sound|bad) prompts with (?:these|the) (?:(\d+) parts|shared part alone) come to the simulated fleet ([\d.]+) times a second for (\d+) s$/,
  SIMULATION,
  async (kind: string, parts: string | null, rate: string, seconds: string) => {
    const { simulation } = scenario;
    const { clock, liveVms } = simulation;
    const startMs = clock.monotonicMs();
    scenario.sent = [];
    for (let index = 0; index < Number(rate) * Number(seconds); index += 1) {
      await simulation.advance(startMs + (index * 1000) / Number(rate) - clock.monotonicMs());
      const vm = liveVms[Math.floor(((index * GOLDEN_RATIO) % 1) * liveVms.length)]!;
      const suspects = [`prompt ${index}`, ...listSharedParts(Number(parts ?? 1))];
      const prompt: SentPrompt = { atMs: clock.monotonicMs(), isServed: undefined };
      scenario.sent.push(prompt);
      void sendSimulated(vm, suspects, kind === 'bad').then((isServed) => {
        prompt.isServed = isServed;
      });
    }
    await simulation.advance(ANSWER_MS + 200);
  },
);

Then(
  'the first of these prompts is served, and all that come {int} ms or more after it',
  (ms: number) => {
    const { sent } = scenario;
    assert.equal(sent[0]!.isServed, true, 'the first prompt was refused');
    const late = sent.filter(({ atMs }) => atMs >= sent[0]!.atMs + ms);
    const refused = late.filter(({ isServed }) => !isServed);
    assert.equal(refused.length, 0, `${refused.length} of ${late.length} were refused`);
  },
);

Then('at most {int} of these prompts have reached servers', (most: number) => {
  const reached = scenario.sent.filter(({ isServed }) => isServed).length;
  assert.ok(reached <= most, `${reached} prompts reached servers`);
});
