import type { Grant } from '../admission/grant.js';
import type { EngineCall, Prefill } from '../backends/engine.js';
import type { EngineFailure } from '../backends/engine-failure.js';
import type { EngineServer } from '../domain/backend-server.js';
import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { AnswerEvent, ModelAnswer, ModelRequest } from '../domain/request.js';
import type { Model, Preset } from '../domain/route.js';
import { formatAddress } from '../domain/vm.js';
import type { Outcome } from '../kernel/outcome.js';
import type { AttemptAction, AttemptEvent } from './attempt-events.js';
import { AttemptMachine } from './attempt-machine.js';
import { PendingAnswer } from './pending-answer.js';
import { createAttempt, type Attempt } from './attempt.js';
import type { RunContext } from './run-context.js';
import { RunTelemetry } from './run-telemetry.js';

const SERVER_RETRY_DELAY_MS = 10;

// An engine may handle a cancel call before a call that is in progress on another connection, so a
// second cancel call follows after this delay.
const SECOND_CANCEL_DELAY_MS = 500;

type ActionHandlers = {
  readonly [Kind in AttemptAction['kind']]: (
    action: Extract<AttemptAction, { readonly kind: Kind }>,
  ) => unknown;
};

/** Runs the actions of the state machine of one request. */
export class ModelRun {
  private readonly machine: AttemptMachine;

  private readonly answer = PendingAnswer.create();

  private readonly telemetry: RunTelemetry;

  private readonly abortController = new AbortController();

  private readonly grants = new Map<number, Grant>();

  private readonly firstTokenDeadlineMs: number;

  private attempt: Attempt;

  private grant: Grant | undefined;

  private readonly actions: ActionHandlers = {
    admit: ({ step }) => this.admit(step),
    reserve: ({ step }) => this.reserve(step),
    prefill: ({ step }) => this.prefill(step),
    extend: ({ step, tokens }) => this.extend(step, tokens),
    transfer: ({ step }) => this.transfer(step),
    decode: ({ step, fromIndex }) => this.decode(step, fromIndex),
    pause: ({ step }) => this.pause(step),
    emit: ({ event }) => this.emit(event),
    close: ({ release }) => this.closeAttempt(release),
    settle: ({ grant, tokens }) => this.settle(grant, tokens),
    waste: ({ tokens, cause }) => this.telemetry.recordWaste(tokens, cause),
  };

  private constructor(
    private readonly context: RunContext,
    readonly request: ModelRequest,
    private readonly model: Model,
    preset: Preset,
  ) {
    const { arrivedMs, promptTokens } = request;
    this.firstTokenDeadlineMs = arrivedMs + Math.max(preset.firstTokenMs, preset.queueMs);
    this.machine = AttemptMachine.create({
      promptTokens,
      capacityDeadlineMs: this.firstTokenDeadlineMs,
      retryDeadlineMs: arrivedMs + preset.queueMs + context.settings.timeouts.prefillMs,
    });
    this.attempt = createAttempt(this.context.kernel);
    this.telemetry = RunTelemetry.create(context.kernel, request, () => this.attemptId);
  }

  /**
   * Creates a run without sending any call.
   *
   * @param context - services and settings that all runs share
   * @param request - the request
   * @param model - model of the request
   * @param preset - the preset in force
   * @returns a run that has not started
   */
  static create(
    context: RunContext,
    request: ModelRequest,
    model: Model,
    preset: Preset,
  ): ModelRun {
    return new ModelRun(context, request, model, preset);
  }

  /** Id of the current attempt. */
  get attemptId(): string {
    return this.attempt.attemptId;
  }

  /**
   * Starts the first attempt.
   *
   * @returns the answer as soon as its first event is available, or a refusal
   */
  begin(): Promise<Outcome<ModelAnswer, Refusal>> {
    this.dispatch({ kind: 'start' });
    return this.answer.first;
  }

  /**
   * Aborts the run; has no effect after its end.
   *
   * @param code - code of the refusal or of the error event
   * @param message - explanation for the caller
   */
  abort(code: RefusalCode, message: string): void {
    this.dispatch({ kind: 'abort', code, message });
  }

  /**
   * Waits for the end of the run.
   *
   * @returns a promise that resolves after the last event
   */
  finished(): Promise<void> {
    return this.answer.finished;
  }

  private dispatch(event: AttemptEvent): void {
    const actions = this.machine.handle(event, this.context.clock.monotonicMs());
    actions.forEach((action) => this.runAction(action));
  }

  private runAction<Kind extends AttemptAction['kind']>(
    action: Extract<AttemptAction, { readonly kind: Kind }>,
  ): void {
    this.actions[action.kind](action);
  }

  private async admit(step: number): Promise<void> {
    const { kernel, deathWatch } = this.context;
    // Admission can recognize a suspect only after the engine death that it caused has been reported.
    if (this.machine.attemptNumber > 0) await deathWatch.probesFinished();
    if (!this.machine.expects(step)) return;
    const { requestId, team, model, promptTokens, maxTokens, fingerprint, arrivedMs } =
      this.request;
    const span = this.telemetry.beginSpan('admission');
    const outcome = await kernel.find('admission').admit({
      ...{ requestId, team, model, promptTokens, maxTokens, fingerprint, arrivedMs },
      signal: this.abortController.signal,
    });
    span.end({ outcome: outcome.kind });
    if (outcome.kind === 'failed') {
      this.dispatch({ kind: 'refused', step, refusal: outcome.failure });
      return;
    }
    this.grants.set(step, outcome.value);
    this.grant = outcome.value;
    this.dispatch({ kind: 'admitted', step });
  }

  private async reserve(step: number): Promise<void> {
    const { kernel, settings } = this.context;
    const { request, attempt } = this;
    const blocks = this.countBlocks();
    const suspect = this.grant?.suspect ?? false;
    const { excluded } = this.machine;
    const server = kernel.find('routing').chooseDecode(request, blocks, excluded, suspect);
    if (!server) {
      this.reportNoServer(step, 'decode');
      return;
    }
    this.telemetry.recordServerChoice('decode-server', server, { blocks, excluded: excluded.size });
    attempt.decodeServer = server;
    this.recordSend(step, server);
    this.assign(server, 'decode');
    const call = this.createCall(settings.timeouts.engineMs, request.traceparent);
    const engine = kernel.find('backends').engine(server);
    const outcome = await engine.reserve(call, request.model, blocks);
    if (outcome.kind === 'ok') {
      attempt.reservation = outcome.value;
      this.dispatch({ kind: 'reserved', step });
      return;
    }
    kernel.find('routing').unassign(attempt.attemptId, server.name, 'decode');
    this.handleCallFailure(step, attempt, server, outcome.failure);
  }

  private async prefill(step: number): Promise<void> {
    const { kernel, settings, clock } = this.context;
    const { request, attempt } = this;
    const routing = kernel.find('routing');
    if (clock.monotonicMs() + routing.prefillWaitMs(request.model) > this.firstTokenDeadlineMs) {
      this.dispatch({ kind: 'late', step });
      return;
    }
    const { excluded } = this.machine;
    const server = routing.choosePrefill(request, excluded, this.grant?.suspect ?? false);
    if (!server) {
      this.reportNoServer(step, 'prefill');
      return;
    }
    if (!(await this.context.deathWatch.isRecovered(server))) {
      this.dispatch({ kind: 'no-server', step });
      return;
    }
    if (!this.machine.expects(step)) return;
    if (!(await this.ensureSendable(step))) return;
    this.telemetry.recordServerChoice('prefill-server', server, { excluded: excluded.size });
    attempt.prefillServer = server;
    this.recordSend(step, server);
    this.assign(server, 'prefill');
    this.context.deathWatch.attemptStarted(server.name, attempt.attemptId, request.fingerprint);
    const span = this.telemetry.beginSpan('prefill', server);
    const call = this.createCall(settings.timeouts.prefillMs, span.traceparent);
    const engine = kernel.find('backends').engine(server);
    // A request that is retried has waited longest, so it goes first with priority 0.
    const priority = this.machine.attemptNumber > 0 ? 0 : 1;
    const outcome = await engine.prefill(call, request.model, request.prompt, priority);
    span.end({ outcome: outcomeName(outcome) });
    if (outcome.kind === 'ok') this.recordPrefill(attempt, server, outcome.value);
    else this.reportConnectionLoss(server, outcome.failure, attempt.attemptId);
    this.context.deathWatch.attemptEnded(server.name, attempt.attemptId);
    routing.unassign(attempt.attemptId, server.name, 'prefill');
    if (outcome.kind === 'failed') this.handleCallFailure(step, attempt, server, outcome.failure);
    else this.dispatch({ kind: 'prefilled', step, promptTokens: outcome.value.promptTokens });
  }

  /** Renews a debit that became too old while the reservation at the decode engine was made. */
  private async ensureSendable(step: number): Promise<boolean> {
    const { grant } = this;
    if (grant?.sendable()) return true;
    this.telemetry.recordDecision('admission', 'renew', 'the debit is too old to send');
    const renewed = await grant?.renew();
    if (!this.machine.expects(step)) return false;
    if (renewed?.kind === 'failed') {
      this.dispatch({ kind: 'refused', step, refusal: renewed.failure });
      return false;
    }
    if (grant?.sendable()) return true;
    this.telemetry.recordDecision('admission', 'again', 'the renewed debit is too old to send');
    this.dispatch({ kind: 'unsendable', step });
    return false;
  }

  private recordPrefill(attempt: Attempt, server: EngineServer, prefill: Prefill): void {
    Object.assign(attempt, { prefill });
    const computed = Math.max(0, prefill.promptTokens - prefill.cachedTokens);
    this.context.kernel.find('routing').observePrefill(attempt.attemptId, server.name, computed);
  }

  private async extend(step: number, tokens: number): Promise<void> {
    const outcome = await this.grant?.extend(tokens);
    if (outcome?.kind === 'failed') {
      this.dispatch({ kind: 'refused', step, refusal: outcome.failure });
    } else this.dispatch({ kind: 'extended', step });
  }

  private async transfer(step: number): Promise<void> {
    const { kernel, settings, deathWatch } = this.context;
    const { attempt } = this;
    const { decodeServer, prefillServer, reservation, prefill } = attempt;
    if (!decodeServer || !prefillServer || !reservation || !prefill) return;
    this.recordSend(step, decodeServer);
    deathWatch.attemptStarted(decodeServer.name, attempt.attemptId, this.request.fingerprint);
    const span = this.telemetry.beginSpan('transfer', decodeServer);
    const call = this.createCall(settings.timeouts.transferMs, span.traceparent);
    const engine = kernel.find('backends').engine(decodeServer);
    const source = formatAddress(prefillServer.address);
    const { reservationId } = reservation;
    const outcome = await engine.transfer(call, reservationId, prefill.prefillId, source);
    span.end({ outcome: outcomeName(outcome) });
    if (outcome.kind === 'ok') this.dispatch({ kind: 'transferred', step });
    else {
      this.reportConnectionLoss(decodeServer, outcome.failure, attempt.attemptId);
      this.handleCallFailure(step, attempt, decodeServer, outcome.failure);
    }
  }

  private async decode(step: number, fromIndex: number): Promise<void> {
    const { kernel, settings } = this.context;
    const { attempt } = this;
    const { decodeServer, reservation } = attempt;
    if (!decodeServer || !reservation) return;
    this.recordSend(step, decodeServer);
    const span = this.telemetry.beginSpan('decode', decodeServer);
    const call = this.createCall(settings.timeouts.betweenTokensMs, span.traceparent);
    const engine = kernel.find('backends').engine(decodeServer);
    const { maxTokens } = this.request;
    const events = engine.decode(call, reservation.reservationId, maxTokens, fromIndex);
    await events.forEach((event) => {
      if (event.kind === 'failed') {
        span.end({ outcome: event.failure.reason });
        this.handleCallFailure(step, attempt, decodeServer, event.failure);
      } else {
        if (event.kind === 'end') span.end({ outcome: 'ok', tokens: event.completionTokens });
        this.dispatch({ ...event, step });
      }
    });
    span.end({ outcome: 'broken' });
    // Has no effect if the stream ended with an end or failure event.
    this.dispatch({ kind: 'failed', step, reason: 'broken' });
  }

  private async pause(step: number): Promise<void> {
    await this.context.clock.sleep(SERVER_RETRY_DELAY_MS, this.abortController.signal);
    this.dispatch({ kind: 'paused', step });
  }

  private emit(event: AnswerEvent): void {
    if (!this.answer.started && event.kind !== 'error') {
      this.telemetry.recordFirstToken(this.context.clock.monotonicMs());
    }
    this.answer.push(event);
    if (event.kind === 'token') return;
    this.telemetry.recordOutcome(event);
    // Calls are still open only when the run ends with an error; an end event closes the last call.
    if (event.kind === 'error') this.abortController.abort();
    this.answer.finish();
  }

  private closeAttempt(release: readonly string[]): void {
    const { kernel, holdReleaser, deathWatch } = this.context;
    const { attempt } = this;
    for (const server of attempt.servers.values()) {
      kernel.find('routing').unassign(attempt.attemptId, server.name);
      deathWatch.attemptEnded(server.name, attempt.attemptId);
      if (release.includes(server.name))
        holdReleaser.release(server, attempt.attemptId, attempt.owner);
    }
    this.attempt = createAttempt(this.context.kernel);
  }

  private settle(step: number, tokens: number): void {
    this.grants.get(step)?.settle(tokens);
    this.grants.delete(step);
  }

  private reportNoServer(step: number, phase: 'prefill' | 'decode'): void {
    if (this.hasServer(phase)) {
      this.dispatch({ kind: 'no-server', step });
      return;
    }
    const refusal = Refusal.create('no_server', `no ${phase} engine serves the model`);
    this.dispatch({ kind: 'refused', step, refusal });
  }

  private hasServer(phase: 'prefill' | 'decode'): boolean {
    const servers = this.context.kernel.find('configuration').current()?.servers.values() ?? [];
    return [...servers].some(
      (server) =>
        server.kind === 'engine' &&
        server.models.includes(this.request.model) &&
        (server.role === phase || server.role === 'both'),
    );
  }

  private recordSend(step: number, server: EngineServer): void {
    this.attempt.servers.set(server.name, server);
    this.dispatch({ kind: 'sent', step, server: server.name });
  }

  private handleCallFailure(
    step: number,
    attempt: Attempt,
    server: EngineServer,
    failure: EngineFailure,
  ): void {
    this.reportConnectionLoss(server, failure);
    if (!this.machine.expects(step)) {
      this.context.holdReleaser.release(
        server,
        attempt.attemptId,
        attempt.owner,
        SECOND_CANCEL_DELAY_MS,
      );
      return;
    }
    this.telemetry.recordDecision('failure', server.name, failure.message, {
      reason: failure.reason,
    });
    this.dispatch({ kind: 'failed', step, reason: failure.reason });
  }

  /**
   * Reports a lost or refused connection to the death watch. An attempt whose first call was refused
   * has not run at the engine, so a death does not count against it.
   */
  private reportConnectionLoss(
    server: EngineServer,
    { reason }: EngineFailure,
    startedAttemptId?: string,
  ): void {
    const { deathWatch } = this.context;
    if (startedAttemptId && reason === 'refused')
      deathWatch.attemptEnded(server.name, startedAttemptId);
    if (reason === 'broken' || reason === 'refused') deathWatch.connectionLost(server);
  }

  private assign(server: EngineServer, phase: 'prefill' | 'decode'): void {
    const { fingerprint, promptTokens } = this.request;
    this.context.kernel.find('routing').assign({
      server: server.name,
      attemptId: this.attempt.attemptId,
      fingerprint,
      phase,
      blocks: this.countBlocks(),
      promptTokens,
      suspect: this.grant?.suspect ?? false,
    });
  }

  private countBlocks(): number {
    const { promptTokens, maxTokens } = this.request;
    return Math.ceil((promptTokens + maxTokens) / this.model.kvBlockTokens);
  }

  private createCall(progressMs: number, traceparent: string | undefined): EngineCall {
    const { requestId, team } = this.request;
    const { attemptId, owner } = this.attempt;
    const { signal } = this.abortController;
    return { requestId, attemptId, owner, team, traceparent, progressMs, signal };
  }
}

function outcomeName(outcome: Outcome<unknown, EngineFailure>): string {
  return outcome.kind === 'ok' ? 'ok' : outcome.failure.reason;
}
