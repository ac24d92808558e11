import type { EngineFailureReason } from '../backends/engine-failure.js';
import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { AttemptAction, AttemptEvent } from './attempt-events.js';
import { AttemptServers, provesNoEffect, type ServerRole } from './attempt-servers.js';
import type { AttemptLimits, AttemptState } from './attempt-state.js';

type StepEvent = Extract<AttemptEvent, { readonly step: number }>;
type StepEventOf<Kind extends StepEvent['kind']> = Extract<StepEvent, { readonly kind: Kind }>;
type StepAction = Extract<AttemptAction, { readonly step: number }>;

const MAX_ATTEMPTS = 8;
const MAX_RESUMES = 2;

/**
 * State machine of one model request, without sockets and timers. A request is run in one or more
 * attempts. Each attempt has its own grant and attempt id, and reuses a server only if the earlier
 * call had no effect there, so that a late cancel call for an old attempt cannot affect a newer one.
 */
export class AttemptMachine {
  private current: AttemptState = 'new';

  private step = 0;

  private attempt = 0;

  private grant: number | undefined;

  private readonly grants = new Set<number>();

  private readonly servers = AttemptServers.create();

  private retryAction: 'reserve' | 'prefill' = 'reserve';

  private prefillSent = false;

  private prefilledTokens: number | undefined;

  private transferred = false;

  private decodeMayHaveRun = false;

  private decodeMayHaveRunBefore = false;

  private nextIndex = 0;

  private resumes = 0;

  private constructor(private readonly limits: AttemptLimits) {}

  /**
   * Creates the state machine of a request.
   *
   * @param limits - limits of the request
   * @returns a state machine that expects the event `start`
   */
  static create(limits: AttemptLimits): AttemptMachine {
    return new AttemptMachine(limits);
  }

  /** Current state of the request. */
  get state(): AttemptState {
    return this.current;
  }

  /** Number of the current attempt, counted from 0. */
  get attemptNumber(): number {
    return this.attempt;
  }

  /** Servers that must not be chosen now. */
  get excluded(): ReadonlySet<string> {
    return this.servers.excluded;
  }

  /**
   * Checks whether an action is still current; if not, its call must not be sent.
   *
   * @param step - step of the action
   * @returns false when the request has ended or is in a later step
   */
  expects(step: number): boolean {
    return this.current !== 'ended' && this.step === step;
  }

  /**
   * Handles an event. Events of earlier steps have no effect, except that a grant that arrives late
   * is settled with 0 tokens.
   *
   * @param event - what happened
   * @param nowMs - monotonic time, in milliseconds
   * @returns the actions to run, in order
   */
  handle(event: AttemptEvent, nowMs: number): readonly AttemptAction[] {
    if (event.kind === 'start') return this.start();
    if (event.kind === 'abort') return this.abort(event.code, event.message);
    if (!this.expects(event.step)) return this.settleStaleGrant(event);
    if (this.contradictsSend(event)) return [];
    switch (this.current) {
      case 'admitting':
        return this.handleAdmitting(event);
      case 'reserving':
        return this.handleReserving(event, nowMs);
      case 'prefilling':
        return this.handlePrefilling(event, nowMs);
      case 'extending':
        return this.handleExtending(event);
      case 'transferring':
        return this.handleTransferring(event, nowMs);
      case 'decoding':
        return this.handleDecoding(event, nowMs);
      case 'pausing':
        return event.kind === 'paused' ? this.resumeAfterPause(nowMs) : [];
      default:
        return [];
    }
  }

  private start(): readonly AttemptAction[] {
    return this.current === 'new' ? [this.requestAction('admitting', 'admit')] : [];
  }

  private abort(code: RefusalCode, message: string): readonly AttemptAction[] {
    if (this.current === 'ended') return [];
    return this.finish(Refusal.create(code, message));
  }

  /** Detects events that report that nothing was sent although the step has already sent its call. */
  private contradictsSend({ kind }: StepEvent): boolean {
    const unsent = kind === 'no-server' || kind === 'late' || kind === 'unsendable';
    return unsent && this.servers.current !== undefined;
  }

  private settleStaleGrant(event: StepEvent): readonly AttemptAction[] {
    if (event.kind !== 'admitted' || this.grants.has(event.step)) return [];
    this.grants.add(event.step);
    return [{ kind: 'settle', grant: event.step, tokens: 0 }];
  }

  private handleAdmitting(event: StepEvent): readonly AttemptAction[] {
    if (event.kind === 'refused') return this.finish(event.refusal);
    if (event.kind !== 'admitted') return [];
    this.grant = event.step;
    this.grants.add(event.step);
    return [this.requestAction('reserving', 'reserve')];
  }

  private handleReserving(event: StepEvent, nowMs: number): readonly AttemptAction[] {
    switch (event.kind) {
      case 'sent':
        return this.recordCall(event, 'decode');
      case 'reserved':
        return this.servers.current ? [this.requestAction('prefilling', 'prefill')] : [];
      case 'refused':
        return this.finish(event.refusal);
      case 'no-server':
        return this.pause('reserve', nowMs);
      case 'failed':
        return this.handleReserveFailure(event, nowMs);
      default:
        return [];
    }
  }

  private handleReserveFailure(
    { reason }: StepEventOf<'failed'>,
    nowMs: number,
  ): readonly AttemptAction[] {
    this.servers.exclude(reason, 'decode');
    if (!this.mayRetry(nowMs))
      return this.finishWithServerFailure('no decode engine accepted the request');
    return [this.requestAction('reserving', 'reserve')];
  }

  private handlePrefilling(event: StepEvent, nowMs: number): readonly AttemptAction[] {
    switch (event.kind) {
      case 'sent':
        this.prefillSent = true;
        return this.recordCall(event, 'prefill');
      case 'late':
        return this.finish(
          Refusal.create('overloaded', 'the first token cannot arrive before its deadline'),
        );
      case 'unsendable':
        return this.beginAttempt(
          nowMs,
          Refusal.create(
            'overloaded',
            'the request could not be sent before its token debit became too old',
          ),
        );
      case 'refused':
        return this.finish(event.refusal);
      case 'no-server':
        return this.pause('prefill', nowMs);
      case 'prefilled':
        return this.prefillSent ? this.afterPrefill(event) : [];
      case 'failed':
        return this.handlePrefillFailure(event, nowMs);
      default:
        return [];
    }
  }

  private handlePrefillFailure(
    { reason }: StepEventOf<'failed'>,
    nowMs: number,
  ): readonly AttemptAction[] {
    this.servers.exclude(reason, 'prefill');
    if (!provesNoEffect(reason)) return this.beginAttempt(nowMs);
    this.prefillSent = false;
    if (!this.mayRetry(nowMs))
      return this.finishWithServerFailure('no prefill engine accepted the request');
    return [this.requestAction('prefilling', 'prefill')];
  }

  private afterPrefill({ promptTokens }: StepEventOf<'prefilled'>): readonly AttemptAction[] {
    this.prefilledTokens = promptTokens;
    const excess = promptTokens - this.limits.promptTokens;
    if (excess <= 0) return [this.requestAction('transferring', 'transfer')];
    this.enterState('extending');
    return [{ kind: 'extend', step: this.step, tokens: excess }];
  }

  private handleExtending(event: StepEvent): readonly AttemptAction[] {
    if (event.kind === 'refused') return this.finish(event.refusal);
    return event.kind === 'extended' ? [this.requestAction('transferring', 'transfer')] : [];
  }

  private handleTransferring(event: StepEvent, nowMs: number): readonly AttemptAction[] {
    if (event.kind === 'sent') return this.recordCall(event, 'decode');
    if (event.kind === 'transferred') return this.servers.current ? this.afterTransfer() : [];
    if (event.kind !== 'failed') return [];
    if (event.reason !== 'gone') {
      this.servers.exclude(event.reason);
      return this.beginAttempt(nowMs);
    }
    const waste = this.reportWaste('expired');
    return [...waste, ...this.beginAttempt(nowMs)];
  }

  private afterTransfer(): readonly AttemptAction[] {
    this.transferred = true;
    // The prefill engine releases the result once it has been transferred.
    this.servers.clearHolds('prefill');
    return this.requestDecode();
  }

  private handleDecoding(event: StepEvent, nowMs: number): readonly AttemptAction[] {
    switch (event.kind) {
      case 'sent':
        this.decodeMayHaveRun = true;
        return this.recordCall(event, 'decode');
      case 'token':
        return this.handleToken(event, nowMs);
      case 'end':
        return this.handleEnd(event, nowMs);
      case 'failed':
        return this.handleDecodeFailure(event.reason, nowMs);
      default:
        return [];
    }
  }

  private handleToken(
    { index, text }: StepEventOf<'token'>,
    nowMs: number,
  ): readonly AttemptAction[] {
    if (!this.decodeMayHaveRun || index < this.nextIndex) return [];
    if (index > this.nextIndex) return this.handleDecodeFailure('broken', nowMs);
    this.nextIndex += 1;
    this.resumes = 0;
    return [{ kind: 'emit', event: { kind: 'token', index, text } }];
  }

  private handleEnd(event: StepEventOf<'end'>, nowMs: number): readonly AttemptAction[] {
    if (!this.decodeMayHaveRun) return [];
    const { reason, promptTokens, completionTokens } = event;
    if (completionTokens !== this.nextIndex) return this.handleDecodeFailure('broken', nowMs);
    this.servers.clearCurrentHold('decode');
    const usage = { promptTokens, completionTokens };
    return [
      { kind: 'emit', event: { kind: 'end', reason, usage } },
      ...this.closeAttempt(promptTokens + completionTokens),
      ...this.end(),
    ];
  }

  private handleDecodeFailure(
    reason: EngineFailureReason,
    nowMs: number,
  ): readonly AttemptAction[] {
    if (provesNoEffect(reason) || reason === 'gone') {
      this.decodeMayHaveRun = this.decodeMayHaveRunBefore;
    }
    const resumable = reason === 'broken' || reason === 'silent';
    if (resumable && this.resumes < MAX_RESUMES) {
      this.resumes += 1;
      return this.requestDecode();
    }
    if (this.nextIndex > 0)
      return this.finishWithServerFailure('the answer ended before it was complete');
    if (reason !== 'gone') this.servers.exclude(reason);
    return this.beginAttempt(nowMs);
  }

  private pause(action: 'reserve' | 'prefill', nowMs: number): readonly AttemptAction[] {
    if (nowMs >= this.limits.capacityDeadlineMs) {
      if (this.servers.anyFailed) return this.finishWithServerFailure('every usable server failed');
      return this.finish(Refusal.create('overloaded', 'no server has free capacity'));
    }
    this.retryAction = action;
    return [this.requestAction('pausing', 'pause')];
  }

  private resumeAfterPause(nowMs: number): readonly AttemptAction[] {
    // A server at which a call ended with an unknown result may be reused only with a new attempt id.
    if (this.servers.resetExcluded()) return this.beginAttempt(nowMs);
    const state = this.retryAction === 'reserve' ? 'reserving' : 'prefilling';
    return [this.requestAction(state, this.retryAction)];
  }

  private beginAttempt(nowMs: number, fallback?: Refusal): readonly AttemptAction[] {
    if (this.attempt + 1 >= MAX_ATTEMPTS || !this.mayRetry(nowMs)) {
      const message =
        'the request failed and cannot be retried: its attempts or its time are used up';
      return fallback ? this.finish(fallback) : this.finishWithServerFailure(message);
    }
    const closing = this.closeAttempt(this.usedTokens());
    this.attempt += 1;
    this.servers.resetBusy();
    return [...closing, this.requestAction('admitting', 'admit')];
  }

  private finishWithServerFailure(message: string): readonly AttemptAction[] {
    return this.finish(Refusal.create('server_failed', message));
  }

  private finish(cause: Refusal): readonly AttemptAction[] {
    const run = this.decodeMayHaveRun ? 'unknown' : cause.run;
    const { retryAfterMs } = cause;
    const refusal = Refusal.create(cause.code, cause.message, { run, retryAfterMs });
    return [
      { kind: 'emit', event: { kind: 'error', refusal } },
      ...this.closeAttempt(this.usedTokens()),
      ...this.end(),
    ];
  }

  private end(): readonly AttemptAction[] {
    this.current = 'ended';
    return [];
  }

  private closeAttempt(usedTokens: number): readonly AttemptAction[] {
    const actions: AttemptAction[] = [...this.reportWaste('abandoned')];
    actions.push({ kind: 'close', attempt: this.attempt, release: this.servers.holdingServers });
    if (this.grant !== undefined) {
      actions.push({ kind: 'settle', grant: this.grant, tokens: usedTokens });
    }
    this.resetAttempt();
    return actions;
  }

  private resetAttempt(): void {
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

  private reportWaste(cause: 'expired' | 'abandoned'): readonly AttemptAction[] {
    if (this.prefilledTokens === undefined || this.transferred) return [];
    this.transferred = true;
    return [{ kind: 'waste', tokens: this.prefilledTokens, cause }];
  }

  private mayRetry(nowMs: number): boolean {
    return nowMs < this.limits.retryDeadlineMs;
  }

  private recordCall({ server }: StepEventOf<'sent'>, role: ServerRole): readonly AttemptAction[] {
    this.servers.recordCall(server, role);
    return [];
  }

  private requestDecode(): readonly AttemptAction[] {
    this.decodeMayHaveRunBefore = this.decodeMayHaveRun;
    this.enterState('decoding');
    return [{ kind: 'decode', step: this.step, fromIndex: this.nextIndex }];
  }

  private requestAction(
    state: AttemptState,
    kind: Exclude<StepAction['kind'], 'extend' | 'decode'>,
  ): StepAction {
    this.enterState(state);
    return { kind, step: this.step };
  }

  private enterState(state: AttemptState): void {
    this.current = state;
    this.step += 1;
    this.servers.beginStep();
  }
}
