import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';

import { Given, Then, When, world } from '@cucumber/cucumber';
import fc from 'fast-check';

import { Refusal } from '../../src/domain/refusal.js';
import {
  AtMostOnceExecutor,
  type DispatchResult,
} from '../../src/execution/at-most-once-executor.js';
import { ExecutionLedger } from '../../src/execution/execution-ledger.js';
import type { ExecutionRecord } from '../../src/execution/execution-record.js';
import { readIssueTime } from '../../src/execution/idempotency-key.js';
import { createIdempotencyKey } from '../../harness/idempotency-key.js';
import { ScheduledClock } from '../support/scheduled-clock.js';
import { ScheduledLog, type LogFault } from '../support/scheduled-log.js';
import { createServiceRequest, ORDER_ROUTE } from '../support/service-requests.js';

/** Result of a send: an answer, a lost connection, or the death of the daemon. */
type SimulatedDispatchResult = 'answered' | 'unknown' | 'dies';

interface SentRequest {
  readonly key: string;
  /** Index of the request in its schedule. */
  readonly request: number;
}

interface Answer {
  readonly key: string;
  readonly daemon: number;
  /** Index of the request in its schedule. */
  readonly request: number;
  readonly result: string;
}

interface History {
  readonly sent: SentRequest[];
  readonly answers: Answer[];
}

interface IdempotencyWorld {
  daemons: number;
  histories: History[];
  result: string;
  ledger: ExecutionLedger;
}

const scenario = world as unknown as IdempotencyWorld;

/** Represents a process that was killed: nothing after it is run. */
const NEVER = new Promise<never>(() => {});

const OPTIONS = { partitions: 1, windowMs: 3_600_000, intentMs: 400 };

/** Runs one schedule: each request goes to a daemon; some daemons die after they have sent it. */
async function runSchedule(
  scheduler: fc.Scheduler,
  faults: readonly LogFault[],
  requests: readonly { daemon: number; key: number; end: SimulatedDispatchResult }[],
): Promise<History> {
  const clock = ScheduledClock.create(scheduler);
  const log = ScheduledLog.create(scheduler, faults);
  const history: History = { sent: [], answers: [] };
  const keys = [0, 1].map(() => createIdempotencyKey(clock.wallMs()));
  const daemons = [0, 1, 2].map(() =>
    AtMostOnceExecutor.create(log, clock, OPTIONS, () => Promise.resolve(false)),
  );
  const runs = requests.map(async (request, index) => {
    const key = keys[request.key] ?? '';
    const dispatch = async (
      attemptId: string,
      mayStillSend: () => boolean,
    ): Promise<DispatchResult> => {
      await scheduler.schedule(Promise.resolve(), 'dispatch');
      if (!mayStillSend()) return { kind: 'not run', refusal: createLateRefusal() };
      history.sent.push({ key, request: index });
      if (request.end === 'dies') await NEVER;
      if (request.end === 'unknown') return { kind: 'unknown', refusal: createRefusal() };
      const answer = { status: 200, headers: {}, body: Buffer.from(attemptId), replayed: false };
      return { kind: 'answered', answer };
    };
    const daemon = daemons[request.daemon];
    if (!daemon) return;
    const { signal } = new AbortController();
    const owner = { vm: `vm-${request.daemon}`, incarnation: 'a' };
    const outcome = await daemon.run(
      createServiceRequest(key),
      ORDER_ROUTE,
      owner,
      dispatch,
      signal,
    );
    const result =
      outcome.kind === 'ok' ? outcome.value.body.toString() : `refused ${outcome.failure.run}`;
    history.answers.push({ key, daemon: request.daemon, request: index, result });
  });
  const all = Promise.all(runs);
  const dead = requests.some(({ end }) => end === 'dies');
  await (dead ? scheduler.waitIdle() : scheduler.waitFor(all));
  return history;
}

function createLateRefusal(): Refusal {
  return Refusal.create('overloaded', 'the deadline for sending passed');
}

function createRefusal(): Refusal {
  return Refusal.create('server_failed', 'the connection was lost', { run: 'unknown' });
}

Given('an idempotency model with {int} daemons that share one log', (daemons: number) => {
  scenario.daemons = daemons;
});

When(
  'the idempotency model runs {int} schedules',
  { timeout: 60_000 },
  async (schedules: number) => {
    scenario.histories = [];
    const fault = fc.constantFrom<LogFault>(
      'none',
      'none',
      'none',
      'unavailable',
      'lost',
      'dropped',
      'late',
      'stale',
    );
    const request = fc.record({
      daemon: fc.nat({ max: scenario.daemons - 1 }),
      key: fc.nat({ max: 1 }),
      end: fc.constantFrom<SimulatedDispatchResult>('answered', 'answered', 'unknown', 'dies'),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.array(fault, { maxLength: 20 }),
        fc.array(request, { minLength: 2, maxLength: 4 }),
        async (scheduler, faults, requests) => {
          const history = await runSchedule(scheduler, faults, requests);
          scenario.histories.push(history);
          const sent = history.sent.map(({ key }) => key);
          assert.equal(sent.length, new Set(sent).size, 'a key was sent twice');
        },
      ),
      { numRuns: schedules },
    );
  },
);

Then('in every schedule each idempotency key was sent at most once', () => {
  assert.ok(scenario.histories.length > 0);
  assert.ok(
    scenario.histories.some(({ sent }) => sent.length > 0),
    'the model sent no request',
  );
  scenario.histories.forEach(({ sent }) => {
    const keys = sent.map(({ key }) => key);
    assert.equal(keys.length, new Set(keys).size);
  });
});

Then('in every schedule an attempt that was refused as not run was not sent', () => {
  scenario.histories.forEach(({ sent, answers }) => {
    const notRun = answers.filter(({ result }) => result === 'refused not run');
    notRun.forEach(({ request }) => assert.ok(!sent.some((send) => send.request === request)));
  });
});

Then('in every schedule all answers to one idempotency key are equal', () => {
  assert.ok(
    scenario.histories.some(({ answers, sent }) => answers.length > sent.length),
    'no request was repeated',
  );
  scenario.histories.forEach(({ answers }) => {
    const bodies = answers.filter(({ result }) => !result.startsWith('refused'));
    const byKey = new Map(bodies.map(({ key, result }) => [key, result]));
    bodies.forEach(({ key, result }) => assert.equal(result, byKey.get(key)));
  });
});

When(
  'the idempotency key is {string} at an age of {int} ms and a window of {int} ms',
  (kind: string, ageMs: number, windowMs: number) => {
    const nowMs = 1_700_000_000_000;
    const keys: Record<string, string | undefined> = {
      none: undefined,
      text: 'order-17',
      'uuid v4': randomUUID(),
      'uuid v7': createIdempotencyKey(nowMs - ageMs),
    };
    const outcome = readIssueTime(keys[kind], nowMs, windowMs);
    scenario.result = outcome.kind === 'ok' ? 'accepted' : outcome.failure.code;
  },
);

Then('the idempotency check says {string}', (result: string) => {
  assert.equal(scenario.result, result);
});

function createRecord(kind: string, attemptId: string, bodyHash: string): ExecutionRecord {
  const base = { format: 1 as const, key: 'key', attemptId };
  if (kind === 'intent') {
    return { ...base, kind, bodyHash, vm: 'vm-1', incarnation: 'a', issuedMs: 0 };
  }
  if (kind === 'outcome') return { ...base, kind, status: 200, headers: {}, body: '' };
  return { ...base, kind: kind as 'abandoned' | 'unknown' };
}

Given('an idempotency ledger that holds {string} of the first attempt', (kinds: string) => {
  scenario.ledger = ExecutionLedger.create();
  kinds.split(', ').forEach((kind) => scenario.ledger.apply(createRecord(kind, 'first', 'body')));
});

When('a second attempt with {word} body is read', (body: string) => {
  scenario.ledger.apply(createRecord('intent', 'second', body === 'another' ? 'other' : 'body'));
});

When('a second attempt with the same body is read', () => {
  scenario.ledger.apply(createRecord('intent', 'second', 'body'));
});

Then('the idempotency ledger decides {string} for the second attempt', (decision: string) => {
  assert.equal(scenario.ledger.decide('key', 'second').kind, decision);
});
