import type { EngineFailureReason } from '../backends/engine-failure.js';
import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { AttemptAction, AttemptEvent } from './attempt-events.js';
import { AttemptServers, provesNoEffect, type ServerRole } from './attempt-servers.js';
import type { AttemptLimits, AttemptState } from './attempt-state.js';

type Stepped = Extract<AttemptEvent, { readonly step: number }>;
type Step<Kind extends Stepped['kind']> = Extract<Stepped, { readonly kind: Kind }>;
type Ask = Extract<AttemptAction, { readonly step: number }>;

const MAX_ROUNDS = 8;
const MAX_RESUMES = 2;

/**
 * Decides what happens to one model request; it has no sockets and no timers. A request goes
 * through one or more rounds. Each round has its own grant and attempt id, and uses a server again
 * only if the earlier call had no effect there, so a cancel order for an old round that arrives
 * late cannot harm a newer one.
 */
export class AttemptMachine {
  private current: AttemptState = 'new';

  private step = 0;

  private round = 0;

  private grant: number | undefined;

  private readonly grants = new Set<number>();

  private readonly servers = AttemptServers.create();

  private retryAction: 'reserve' | 'prefill' = 'reserve';

  private prefillSent = false;

  private prefilledTokens: number | undefined;

  private transferred = false;

  private decodeMayHaveRun = false;

  private mayHaveRunBefore = false;

  private nextIndex = 0;

  private resumes = 0;

  private constructor(private readonly limits: AttemptLimits) {}

  /**
   * Creates the machine of a request.
   *
   * @param limits - limits of the request
   * @returns a machine that waits for `start`
   */
  static create(limits: AttemptLimits): AttemptMachine {
    return new AttemptMachine(limits);
  }

  /** Phase of the request. */
  get state(): AttemptState {
    return this.current;
  }

  /** Number of the present round, from 0. */
  get roundNumber(): number {
    return this.round;
  }

  /** Servers that are not to be chosen now. */
  get excluded(): ReadonlySet<string> {
    return this.servers.excluded;
  }

  /**
   * Tells whether an action is still wanted; a call must not be sent otherwise.
   *
   * @param step - step of the action
   * @returns false when the request has moved on
   */
  expects(step: number): boolean {
    return this.current !== 'ended' && this.step === step;
  }

  /**
   * Handles an event. Events of earlier steps have no effect, except that their grants are given
   * back.
   *
   * @param event - what happened
   * @param nowMs - monotonic time
   * @returns what has to be done, in order
   */
  handle(event: AttemptEvent, nowMs: number): readonly AttemptAction[] {
    if (event.kind === 'start') return this.start();
    if (event.kind === 'abort') return this.abort(event.code, event.message);
    if (!this.expects(event.step)) return this.discard(event);
    if (this.contradictsSend(event)) return [];
    switch (this.current) {
      case 'admitting':
        return this.inAdmitting(event);
      case 'reserving':
        return this.inReserving(event, nowMs);
      case 'prefilling':
        return this.inPrefilling(event, nowMs);
      case 'extending':
        return this.inExtending(event);
      case 'transferring':
        return this.inTransferring(event, nowMs);
      case 'decoding':
        return this.inDecoding(event, nowMs);
      case 'pausing':
        return event.kind === 'paused' ? this.resumeAfterPause(nowMs) : [];
      default:
        return [];
    }
  }

  private start(): readonly AttemptAction[] {
    return this.current === 'new' ? [this.ask('admitting', 'admit')] : [];
  }

  private abort(code: RefusalCode, message: string): readonly AttemptAction[] {
    if (this.current === 'ended') return [];
    return this.finish(Refusal.create(code, message));
  }

  /** Events that say that nothing was sent cannot follow the call of their step. */
  private contradictsSend({ kind }: Stepped): boolean {
    const unsent = kind === 'no-server' || kind === 'late' || kind === 'unsendable';
    return unsent && this.servers.current !== undefined;
  }

  private discard(event: Stepped): readonly AttemptAction[] {
    if (event.kind !== 'admitted' || this.grants.has(event.step)) return [];
    this.grants.add(event.step);
    return [{ kind: 'settle', grant: event.step, tokens: 0 }];
  }

  private inAdmitting(event: Stepped): readonly AttemptAction[] {
    if (event.kind === 'refused') return this.finish(event.refusal);
    if (event.kind !== 'admitted') return [];
    this.grant = event.step;
    this.grants.add(event.step);
    return [this.ask('reserving', 'reserve')];
  }

  private inReserving(event: Stepped, nowMs: number): readonly AttemptAction[] {
    switch (event.kind) {
      case 'sent':
        return this.noteCall(event, 'decode');
      case 'reserved':
        return this.servers.current ? [this.ask('prefilling', 'prefill')] : [];
      case 'refused':
        return this.finish(event.refusal);
      case 'no-server':
        return this.pause('reserve', nowMs);
      case 'failed':
        return this.failReserve(event, nowMs);
      default:
        return [];
    }
  }

  private failReserve({ reason }: Step<'failed'>, nowMs: number): readonly AttemptAction[] {
    this.servers.exclude(reason, 'decode');
    if (!this.mayRetry(nowMs)) return this.finishFailed('no decode engine took the request');
    return [this.ask('reserving', 'reserve')];
  }

  private inPrefilling(event: Stepped, nowMs: number): readonly AttemptAction[] {
    switch (event.kind) {
      case 'sent':
        this.prefillSent = true;
        return this.noteCall(event, 'prefill');
      case 'late':
        return this.finish(
          Refusal.create('overloaded', 'the first token can no longer come in time'),
        );
      case 'unsendable':
        return this.beginRound(nowMs, Refusal.create('overloaded', 'no turn came in time'));
      case 'refused':
        return this.finish(event.refusal);
      case 'no-server':
        return this.pause('prefill', nowMs);
      case 'prefilled':
        return this.prefillSent ? this.afterPrefill(event) : [];
      case 'failed':
        return this.failPrefill(event, nowMs);
      default:
        return [];
    }
  }

  private failPrefill({ reason }: Step<'failed'>, nowMs: number): readonly AttemptAction[] {
    this.servers.exclude(reason, 'prefill');
    if (!provesNoEffect(reason)) return this.beginRound(nowMs);
    this.prefillSent = false;
    if (!this.mayRetry(nowMs)) return this.finishFailed('no prefill engine took the request');
    return [this.ask('prefilling', 'prefill')];
  }

  private afterPrefill({ promptTokens }: Step<'prefilled'>): readonly AttemptAction[] {
    this.prefilledTokens = promptTokens;
    const excess = promptTokens - this.limits.promptTokens;
    if (excess <= 0) return [this.ask('transferring', 'transfer')];
    this.move('extending');
    return [{ kind: 'extend', step: this.step, tokens: excess }];
  }

  private inExtending(event: Stepped): readonly AttemptAction[] {
    if (event.kind === 'refused') return this.finish(event.refusal);
    return event.kind === 'extended' ? [this.ask('transferring', 'transfer')] : [];
  }

  private inTransferring(event: Stepped, nowMs: number): readonly AttemptAction[] {
    if (event.kind === 'sent') return this.noteCall(event, 'decode');
    if (event.kind === 'transferred') return this.servers.current ? this.afterTransfer() : [];
    if (event.kind !== 'failed') return [];
    if (event.reason !== 'gone') {
      this.servers.exclude(event.reason);
      return this.beginRound(nowMs);
    }
    const waste = this.takeWaste('expired');
    return [...waste, ...this.beginRound(nowMs)];
  }

  private afterTransfer(): readonly AttemptAction[] {
    this.transferred = true;
    // The prefill engine gives up the result once it has been transferred.
    this.servers.clearAll('prefill');
    return this.askDecode();
  }

  private inDecoding(event: Stepped, nowMs: number): readonly AttemptAction[] {
    switch (event.kind) {
      case 'sent':
        this.decodeMayHaveRun = true;
        return this.noteCall(event, 'decode');
      case 'token':
        return this.takeToken(event, nowMs);
      case 'end':
        return this.takeEnd(event, nowMs);
      case 'failed':
        return this.failDecode(event.reason, nowMs);
      default:
        return [];
    }
  }

  private takeToken({ index, text }: Step<'token'>, nowMs: number): readonly AttemptAction[] {
    if (!this.decodeMayHaveRun || index < this.nextIndex) return [];
    if (index > this.nextIndex) return this.failDecode('broken', nowMs);
    this.nextIndex += 1;
    this.resumes = 0;
    return [{ kind: 'emit', event: { kind: 'token', index, text } }];
  }

  private takeEnd(event: Step<'end'>, nowMs: number): readonly AttemptAction[] {
    if (!this.decodeMayHaveRun) return [];
    const { reason, promptTokens, completionTokens } = event;
    if (completionTokens !== this.nextIndex) return this.failDecode('broken', nowMs);
    this.servers.clearCurrent('decode');
    const usage = { promptTokens, completionTokens };
    return [
      { kind: 'emit', event: { kind: 'end', reason, usage } },
      ...this.closeRound(promptTokens + completionTokens),
      ...this.end(),
    ];
  }

  private failDecode(reason: EngineFailureReason, nowMs: number): readonly AttemptAction[] {
    if (provesNoEffect(reason) || reason === 'gone') {
      this.decodeMayHaveRun = this.mayHaveRunBefore;
    }
    const resumable = reason === 'broken' || reason === 'silent';
    if (resumable && this.resumes < MAX_RESUMES) {
      this.resumes += 1;
      return this.askDecode();
    }
    if (this.nextIndex > 0) return this.finishFailed('the answer broke off');
    if (reason !== 'gone') this.servers.exclude(reason);
    return this.beginRound(nowMs);
  }

  private pause(action: 'reserve' | 'prefill', nowMs: number): readonly AttemptAction[] {
    if (nowMs >= this.limits.capacityDeadlineMs) {
      if (this.servers.anyFailed) return this.finishFailed('every usable server failed');
      return this.finish(Refusal.create('overloaded', 'no server has room'));
    }
    this.retryAction = action;
    return [this.ask('pausing', 'pause')];
  }

  private resumeAfterPause(nowMs: number): readonly AttemptAction[] {
    // A server whose call had an unknown result may be used again only under a new attempt id.
    if (this.servers.readmitAll()) return this.beginRound(nowMs);
    const state = this.retryAction === 'reserve' ? 'reserving' : 'prefilling';
    return [this.ask(state, this.retryAction)];
  }

  private beginRound(nowMs: number, otherwise?: Refusal): readonly AttemptAction[] {
    if (this.round + 1 >= MAX_ROUNDS || !this.mayRetry(nowMs)) {
      const message = 'the request failed and there is no time to run it again';
      return otherwise ? this.finish(otherwise) : this.finishFailed(message);
    }
    const closing = this.closeRound(this.usedTokens());
    this.round += 1;
    this.servers.readmitBusy();
    return [...closing, this.ask('admitting', 'admit')];
  }

  private finishFailed(message: string): readonly AttemptAction[] {
    return this.finish(Refusal.create('server_failed', message));
  }

  private finish(cause: Refusal): readonly AttemptAction[] {
    const run = this.decodeMayHaveRun ? 'unknown' : cause.run;
    const { retryAfterMs } = cause;
    const refusal = Refusal.create(cause.code, cause.message, { run, retryAfterMs });
    return [
      { kind: 'emit', event: { kind: 'error', refusal } },
      ...this.closeRound(this.usedTokens()),
      ...this.end(),
    ];
  }

  private end(): readonly AttemptAction[] {
    this.current = 'ended';
    return [];
  }

  private closeRound(usedTokens: number): readonly AttemptAction[] {
    const actions: AttemptAction[] = [...this.takeWaste('abandoned')];
    actions.push({ kind: 'close', round: this.round, release: this.servers.holders });
    if (this.grant !== undefined) {
      actions.push({ kind: 'settle', grant: this.grant, tokens: usedTokens });
    }
    this.resetRound();
    return actions;
  }

  private resetRound(): void {
    this.grant = undefined;
    this.servers.beginAttempt();
    this.prefillSent = false;
    this.prefilledTokens = undefined;
    this.transferred = false;
    this.resumes = 0;
  }

  private usedTokens(): number {
    if (!this.prefillSent) return 0;
    return (this.prefilledTokens ?? this.limits.promptTokens) + this.nextIndex;
  }

  private takeWaste(cause: 'expired' | 'abandoned'): readonly AttemptAction[] {
    if (this.prefilledTokens === undefined || this.transferred) return [];
    this.transferred = true;
    return [{ kind: 'waste', tokens: this.prefilledTokens, cause }];
  }

  private mayRetry(nowMs: number): boolean {
    return nowMs < this.limits.retryDeadlineMs;
  }

  private noteCall({ server }: Step<'sent'>, role: ServerRole): readonly AttemptAction[] {
    this.servers.call(server, role);
    return [];
  }

  private askDecode(): readonly AttemptAction[] {
    this.mayHaveRunBefore = this.decodeMayHaveRun;
    this.move('decoding');
    return [{ kind: 'decode', step: this.step, fromIndex: this.nextIndex }];
  }

  private ask(state: AttemptState, kind: Exclude<Ask['kind'], 'extend' | 'decode'>): Ask {
    this.move(state);
    return { kind, step: this.step };
  }

  private move(state: AttemptState): void {
    this.current = state;
    this.step += 1;
    this.servers.beginStep();
  }
}
