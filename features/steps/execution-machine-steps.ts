import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';

import type { EngineFailureReason } from '../../src/backends/engine-failure.js';
import { Refusal } from '../../src/domain/refusal.js';
import type { AnswerEvent } from '../../src/domain/request.js';
import type { AttemptAction, AttemptEvent } from '../../src/execution/attempt-events.js';
import { AttemptMachine } from '../../src/execution/attempt-machine.js';
import { readSeed } from '../support/seed.js';

interface Command {
  readonly pick: number;
  readonly choice: number;
  readonly server: string;
  readonly reason: EngineFailureReason;
  readonly advanceMs: number;
  readonly crossed: boolean;
  readonly abort: boolean;
}

type StepAction = Extract<AttemptAction, { readonly step: number }>;

interface Send {
  readonly step: number;
  readonly kind: StepAction['kind'];
  readonly attempt: number;
  readonly server: string;
  endedWithoutCancel: boolean;
}

const REASONS: readonly EngineFailureReason[] = [
  'busy',
  'gone',
  'refused',
  'broken',
  'silent',
  'rejected',
];

const commands: fc.Arbitrary<Command[]> = fc.array(
  fc.record({
    pick: fc.oneof({ weight: 6, arbitrary: fc.constant(0) }, fc.nat(5)),
    choice: fc.oneof({ weight: 3, arbitrary: fc.constant(0) }, { weight: 2, arbitrary: fc.nat(9) }),
    server: fc.constantFrom('a', 'b', 'c'),
    reason: fc.constantFrom(...REASONS),
    advanceMs: fc.oneof({ weight: 9, arbitrary: fc.constant(1) }, fc.nat(400)),
    crossed: fc.integer({ min: 0, max: 12 }).map((value) => value === 0),
    abort: fc.integer({ min: 0, max: 200 }).map((value) => value === 0),
  }),
  { minLength: 1, maxLength: 120, size: 'max' },
);

/** Simulates admission and the engines, and records what is needed to check the guarantees. */
class RequestSimulation {
  private readonly machine = AttemptMachine.create({
    promptTokens: 10,
    capacityDeadlineMs: 1000,
    retryDeadlineMs: 1500,
  });

  private readonly pendingActions: StepAction[] = [];

  private readonly sends: Send[] = [];

  private readonly emitted: AnswerEvent[] = [];

  private readonly granted = new Set<number>();

  private readonly settled: number[] = [];

  private readonly released = new Map<number, readonly string[]>();

  private readonly tokenAttempts = new Set<number>();

  private nowMs = 0;

  run(list: readonly Command[]): void {
    this.handle({ kind: 'start' });
    list.forEach((command) => this.apply(command));
    this.handle({ kind: 'abort', code: 'cancelled', message: 'the caller closed the connection' });
    // A grant that arrives after the end must be settled.
    this.pendingActions
      .filter((ask) => ask.kind === 'admit')
      .forEach(({ step }) => this.grant(step));
    this.check();
  }

  private apply(command: Command): void {
    this.nowMs += command.advanceMs;
    if (command.abort) this.handle({ kind: 'abort', code: 'key_withdrawn', message: 'withdrawn' });
    const ask = this.pendingActions.at(-1 - (command.pick % this.pendingActions.length));
    if (!ask) return;
    const event = command.crossed
      ? createCrossed(ask.step, command)
      : this.createAnswer(ask, command);
    if (event.kind === 'admitted') this.grant(event.step);
    else if (event.kind === 'sent') this.send(ask, event.server);
    else this.deliver(event, ask);
  }

  private grant(step: number): void {
    const asked = this.pendingActions.some((ask) => ask.kind === 'admit' && ask.step === step);
    if (!asked) return;
    this.granted.add(step);
    this.handle({ kind: 'admitted', step });
  }

  private send(ask: StepAction, server: string): void {
    const { step, kind } = ask;
    if (!this.machine.expects(step) || this.findSend(step)) return;
    if (kind !== 'reserve' && kind !== 'prefill') {
      const reserved = this.sends.findLast((send) => send.kind === 'reserve');
      if (!reserved) return;
      this.recordSend(ask, reserved.server);
      return;
    }
    if (this.machine.excluded.has(server)) return;
    this.recordSend(ask, server);
  }

  private recordSend({ step, kind }: StepAction, server: string): void {
    const attempt = this.machine.attemptNumber;
    this.sends.push({ step, kind, attempt, server, endedWithoutCancel: false });
    this.handle({ kind: 'sent', step, server });
  }

  private deliver(event: AttemptEvent, ask: StepAction): void {
    const current = this.machine.expects(ask.step);
    const send = this.findSend(ask.step);
    if (current && send) this.recordEnd(event, send);
    this.handle(event);
  }

  private recordEnd(event: AttemptEvent, send: Send): void {
    const engineStep = send.kind === 'reserve' || send.kind === 'prefill';
    if (event.kind === 'failed' && (event.reason === 'refused' || event.reason === 'busy')) {
      Object.assign(send, { endedWithoutCancel: engineStep || send.kind === 'decode' });
    }
    if (event.kind === 'failed' && event.reason === 'gone' && send.kind === 'decode') {
      Object.assign(send, { endedWithoutCancel: true });
    }
    if (event.kind === 'transferred' && send.kind === 'transfer') {
      this.sends
        .filter((other) => other.kind === 'prefill' && other.attempt === send.attempt)
        .forEach((other) => Object.assign(other, { endedWithoutCancel: true }));
    }
  }

  private createAnswer(ask: StepAction, command: Command): AttemptEvent {
    const { step, kind } = ask;
    if (kind === 'admit') {
      return command.choice < 9 ? { kind: 'admitted', step } : createRefused(step);
    }
    if (kind === 'pause') return { kind: 'paused', step };
    if (kind === 'extend')
      return command.choice < 8 ? { kind: 'extended', step } : createRefused(step);
    if (!this.findSend(step)) return createUnsent(ask, command);
    if (command.choice > 5) return { kind: 'failed', step, reason: command.reason };
    if (kind === 'reserve') return { kind: 'reserved', step };
    if (kind === 'transfer') return { kind: 'transferred', step };
    if (kind === 'prefill') return { kind: 'prefilled', step, promptTokens: 8 + command.choice };
    return this.createDecoded(step, command);
  }

  private createDecoded(step: number, { choice, pick }: Command): AttemptEvent {
    const index = this.emitted.filter((event) => event.kind === 'token').length;
    if (choice < 3) return { kind: 'token', step, index, text: String(index) };
    if (choice === 3) return { kind: 'token', step, index: Math.max(0, index - 1), text: 'again' };
    if (choice === 4) return { kind: 'token', step, index: index + 1, text: 'gap' };
    const completionTokens = index + (pick % 2);
    return { kind: 'end', step, reason: 'stop', promptTokens: 10, completionTokens };
  }

  private findSend(step: number): Send | undefined {
    return this.sends.find((send) => send.step === step);
  }

  private handle(event: AttemptEvent): void {
    this.machine.handle(event, this.nowMs).forEach((action) => this.perform(action));
  }

  private perform(action: AttemptAction): void {
    if ('step' in action) this.pendingActions.push(action);
    if (action.kind === 'emit') this.emit(action.event);
    if (action.kind === 'settle') this.settled.push(action.grant);
    if (action.kind === 'close') {
      assert.ok(!this.released.has(action.attempt), 'an attempt was closed twice');
      this.released.set(action.attempt, action.release);
    }
  }

  private emit(event: AnswerEvent): void {
    this.emitted.push(event);
    if (event.kind === 'token') this.tokenAttempts.add(this.machine.attemptNumber);
  }

  private check(): void {
    const last = this.emitted.at(-1);
    assert.ok(last && last.kind !== 'token', 'an end or error event comes last');
    const tokens = this.emitted.slice(0, -1).map((event) => {
      assert.equal(event.kind, 'token', 'only one end event');
      return event.kind === 'token' ? event.index : -1;
    });
    assert.deepEqual(tokens, [...tokens.keys()], 'tokens in order without gap or duplicate');
    assert.deepEqual(
      this.settled.toSorted((a, b) => a - b),
      [...this.granted].toSorted((a, b) => a - b),
      'each grant is settled exactly once',
    );
    if (last.kind === 'end') assert.equal(last.usage.completionTokens, tokens.length);
    // An answer must not contain tokens of two generations.
    const [tokenAttempt = this.machine.attemptNumber, ...otherAttempts] = this.tokenAttempts;
    assert.equal(otherAttempts.length, 0, 'the answer contains tokens of several attempts');
    assert.equal(tokenAttempt, this.machine.attemptNumber, 'a new attempt started after a token');
    this.checkReleases(last);
    this.checkRunState(last);
  }

  private checkReleases(last: AnswerEvent): void {
    const lastAttempt = this.machine.attemptNumber;
    const decodeServer = this.sends.findLast((send) => send.kind === 'decode')?.server;
    this.sends.forEach(({ server, attempt, kind, endedWithoutCancel }) => {
      const decoded = last.kind === 'end' && attempt === lastAttempt && server === decodeServer;
      const released = this.released.get(attempt)?.includes(server) ?? false;
      assert.ok(
        released || endedWithoutCancel || decoded,
        `${kind} of attempt ${attempt} at ${server} was neither cancelled nor ended`,
      );
    });
  }

  private checkRunState(last: AnswerEvent): void {
    if (last.kind !== 'error' || last.refusal.run !== 'not run') return;
    const run = this.sends.filter((send) => send.kind === 'decode' && !send.endedWithoutCancel);
    assert.equal(run.length, 0, '"not run" although a decode may have run');
  }
}

function createRefused(step: number): AttemptEvent {
  return { kind: 'refused', step, refusal: Refusal.create('rate_exceeded', 'no tokens') };
}

function createUnsent({ step, kind }: StepAction, { choice, server }: Command): AttemptEvent {
  if (kind === 'transfer' || kind === 'decode' || choice < 7) return { kind: 'sent', step, server };
  if (choice === 7) return { kind: 'no-server', step };
  if (kind === 'reserve') return { kind: 'sent', step, server };
  return choice === 8 ? { kind: 'unsendable', step } : { kind: 'late', step };
}

function createCrossed(step: number, { choice, reason }: Command): AttemptEvent {
  const crossed: readonly AttemptEvent[] = [
    { kind: 'reserved', step },
    { kind: 'prefilled', step, promptTokens: 11 },
    { kind: 'extended', step },
    { kind: 'transferred', step },
    { kind: 'token', step, index: choice % 3, text: 'crossed' },
    { kind: 'paused', step },
    { kind: 'failed', step, reason },
    { kind: 'end', step, reason: 'stop', promptTokens: 1, completionTokens: choice % 3 },
    { kind: 'no-server', step },
    { kind: 'refused', step, refusal: Refusal.create('overloaded', 'crossed') },
  ];
  return crossed[choice % crossed.length] as AttemptEvent;
}

Then(
  'the attempt machine keeps its guarantees over {int} interleavings',
  { timeout: 60_000 },
  (runs: number) => {
    const property = fc.property(commands, (list) => {
      // Guards against lost, repeated or reordered tokens, leaked holds and grants settled twice.
      new RequestSimulation().run(list);
    });
    fc.assert(property, { numRuns: runs, seed: readSeed() });
  },
);
