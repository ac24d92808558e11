import { carriesData, EventSplitter, isEventStream } from './event-splitter.js';
import { Run, type Job, type RunResult, type ProgressTimeout } from './run.js';
import type { RunContext } from './run-context.js';
import type { DecodeScheduler, DecodeSlot } from './decode-scheduler.js';
import { computeReservedTokens } from './reservation-size.js';
import type { CatalogServer } from './server-catalog.js';
import { toSendResult, type SendKind } from './send-charges.js';
import { pickPrefillServer } from './server-picker.js';
import {
  provesNotRun,
  type OpenAnswer,
  type PrefillResult,
  type UpstreamFailure,
} from './upstream.js';

/** Time without events after which a stream is resumed at another engine, in milliseconds. */
const RESUME_TIMEOUT_MS = 3000;

/** Time by which a stream outlives the patience of its callers, in milliseconds: events are on their way. */
const PATIENCE_MARGIN_MS = 200;

/**
 * Time from the first event of an answer after which a request is taken not to crash its server, in
 * milliseconds: one that does crashes it when the answer begins, which may be after the first event.
 */
const SOUND_ANSWER_MS = 1000;

/** Time granted to a prefill engine in addition to three times the expected time, in milliseconds. */
const PREFILL_SLACK_MS = 900;

/** Time that prefill and KV transfer take in an idle pool, in milliseconds. */
const IDLE_START_MS = 200;

/** Minimum remaining time for which starting a response is worthwhile, in milliseconds. */
const MIN_ANSWER_MS = 1500;

/** Maximum number of successive reservations of one request. */
const MAX_ROUNDS = 4;

/** Prefill speed of an engine of which too little is known, in prompt tokens per millisecond. */
const ASSUMED_PREFILL_TOKENS_PER_MS = 40;

/** Bounds of the prefill speed from which the expected time is computed, in prompt tokens per millisecond. */
const MIN_PREFILL_TOKENS_PER_MS = 5;
const MAX_PREFILL_TOKENS_PER_MS = 80;

/** Number of events after which their pace is recorded. */
const PACE_EVENTS = 16;

/** Duration of a write from which the caller counts as slow, in milliseconds. */
const SLOW_WRITE_MS = 20;

/**
 * Age of a slot from which it is not used any more when its server is leaving, in milliseconds. The server may
 * have been leaving for as long, and soon gets nothing more.
 */
const LEAVING_SLOT_MS = 1500;

/** Sends of a round in which a prefill engine reads the prompt. */
const ROUND_SENDS: readonly SendKind[] = ['prefill', 'run'];

type StepResult<Value> =
  { readonly kind: 'ok'; readonly value: Value } | { readonly kind: 'again' } | RunResult;

/** Runs a streaming request on a prefill engine and a decode engine. */
export class StagedRun extends Run {
  private readonly events = EventSplitter.create();

  /** True once status and headers have been sent to the caller. */
  private headSent = false;

  /** Monotonic times of the first and the last event of the current send, in milliseconds. */
  private eventTimes: { readonly firstMs: number; readonly lastMs: number } | undefined;

  /** Events of the current send since the last record of their pace. */
  private pace: { readonly sinceMs: number; readonly events: number } | undefined;

  /** When the slot of the current round was reserved, as monotonic time in milliseconds. */
  private reservedMs = -Infinity;

  /** Prefill time, in milliseconds; only recorded when no other prompt was queued ahead. */
  private prefillMs: number | undefined;

  private constructor(
    context: RunContext,
    job: Job,
    private readonly scheduler: DecodeScheduler,
  ) {
    super(context, job);
  }

  /**
   * Creates a run.
   *
   * @param context - services that all runs share
   * @param job - the admitted request
   * @param scheduler - the decode scheduler of the pool
   * @returns a run that has not started
   */
  static create(context: RunContext, job: Job, scheduler: DecodeScheduler): StagedRun {
    return new StagedRun(context, job, scheduler);
  }

  protected override async run(): Promise<RunResult> {
    for (let round = 0; round < MAX_ROUNDS && !this.job.signal.aborted; round += 1) {
      const end = await this.runRound();
      if (end) return end;
    }
    return this.finishUnserved('no engine accepted the request');
  }

  protected override canRun({ stage }: CatalogServer): boolean {
    return stage === 'decode' || stage === 'both';
  }

  private get kvTokens(): number {
    return computeReservedTokens(this.job.request);
  }

  private async runRound(): Promise<RunResult | undefined> {
    if (this.isQuarantined()) return this.finishUnserved('the request may not be sent again');
    const reserved = await this.reserve();
    if (reserved.kind !== 'ok') return finalResult(reserved);
    const slot = reserved.value;
    try {
      const prefilled = await this.prefill();
      if (prefilled.kind !== 'ok') {
        slot.limitCharge.refund();
        this.releaseUnused(slot);
        return finalResult(prefilled);
      }
      const end = await this.decode(slot, prefilled.value);
      return finalResult(end);
    } finally {
      slot.releaseLoad();
      this.scheduler.dispatch();
    }
  }

  private async reserve(): Promise<StepResult<DecodeSlot>> {
    const { request, pool, team, priority, signal } = this.job;
    const { nowMs } = this;
    const outcome = await this.scheduler.acquire({
      requestId: request.requestId,
      team: team ?? '',
      kvTokens: this.kvTokens,
      priority,
      ...this.reservationDeadlines(nowMs),
      pool,
      excluded: this.excluded,
      signal,
    });
    const waitedMs = Math.round(this.nowMs - nowMs);
    if (outcome.kind === 'failed') {
      this.recordDecision('place', 'none', outcome.failure.message, { waitedMs });
      if (this.headSent || this.mayHaveRun || signal.aborted)
        return this.finishUnserved('no decode slot became free for the request');
      return { kind: 'refused', refusal: outcome.failure };
    }
    this.reservedMs = this.nowMs;
    const { server, granter = 'none' } = outcome.value;
    const { promptTokens = 0, outputTokens } = request;
    const facts = { waitedMs, granter, kvTokens: this.kvTokens, promptTokens, outputTokens };
    this.recordDecision('place', server.id, 'reserved', facts);
    return { kind: 'ok', value: outcome.value };
  }

  /** Deadlines for getting a decode slot, counted from arrival, or from now when a broken stream is resumed. */
  private reservationDeadlines(nowMs: number) {
    const { request, route, endByMs, insideRate } = this.job;
    const sinceMs = this.headSent ? nowMs : request.arrivedMs;
    const endMs = Math.min(endByMs - MIN_ANSWER_MS, sinceMs + route.patienceMs - IDLE_START_MS);
    return {
      startByMs: sinceMs + route.targetMs - IDLE_START_MS,
      giveUpMs: endMs,
      insideRate: insideRate || this.headSent,
    };
  }

  private async prefill(): Promise<StepResult<PrefillResult | undefined>> {
    const { catalog, loads, capacities, upstream, metrics } = this.context;
    const { request, pool } = this.job;
    const promptTokens = request.promptTokens ?? 0;
    const tried = new Set<string>();
    while (!this.job.signal.aborted) {
      const servers = catalog
        .usable(pool.name, this.nowMs)
        .filter(({ id, stage }) => stage === 'prefill' && !tried.has(id));
      await this.context.borrow(servers);
      const allowed = this.selectAllowed(servers);
      const choice = pickPrefillServer(allowed, tried, promptTokens, this.pickerFacts);
      if (!choice) {
        // Without a prefill engine, the decode engine prefills the prompt itself, at half the speed.
        return { kind: 'ok', value: undefined };
      }
      // A prompt that was read must still be able to run.
      const { server, tokensAhead } = choice;
      const settle = this.prepaySends(ROUND_SENDS) ? this.beginSend('prefill', server) : undefined;
      if (!settle) return this.finishUnserved('the request may not be sent again');
      const releaseLoad = loads.add(server.id, { prefillTokens: promptTokens });
      const sentMs = this.nowMs;
      const tokens = tokensAhead + promptTokens;
      const expectedMs = tokens / this.prefillSpeed(server);
      const timeout = this.startProgressTimeout(3 * expectedMs + PREFILL_SLACK_MS);
      const outcome = await upstream.prefill(
        server,
        request,
        this.sendOptions(server, timeout.signal),
      );
      timeout.stop();
      releaseLoad();
      const tookMs = Math.round(this.nowMs - sentMs);
      const failure = outcome.kind === 'failed' ? outcome.failure : undefined;
      settle(toSendResult(failure));
      this.recordDecision('prefill', server.id, failure ?? 'read', { tookMs, tokensAhead });
      if (outcome.kind === 'ok' || timeout.expired())
        capacities.recordPrefill(server, tokens, tookMs, this.nowMs);
      if (outcome.kind === 'ok') {
        metrics.timing('prefill.ms', tookMs);
        if (tokensAhead === 0) this.prefillMs = tookMs;
        this.context.health.record(server.id, 'answered', this.nowMs);
        if (!this.job.signal.aborted) return outcome;
        upstream.discard(outcome.value);
        break;
      }
      this.recordPrefillFailure(server, timeout.expired() ? 'silent' : outcome.failure, sentMs);
      tried.add(server.id);
    }
    return this.finishUnserved('the request ended before its prompt was read');
  }

  /** Prompt tokens that an engine is expected to read per millisecond. */
  private prefillSpeed(server: CatalogServer): number {
    const learned = this.context.capacities.prefillSpeed(server, this.nowMs);
    const speed = learned ?? ASSUMED_PREFILL_TOKENS_PER_MS;
    return Math.max(MIN_PREFILL_TOKENS_PER_MS, Math.min(MAX_PREFILL_TOKENS_PER_MS, speed));
  }

  private recordPrefillFailure(
    server: CatalogServer,
    failure: UpstreamFailure,
    sentMs: number,
  ): void {
    this.recordUnansweredCall(server, failure, sentMs);
    if (failure === 'cancelled') return;
    this.recordFailure(server, failure);
    this.excluded.delete(server.id);
  }

  /**
   * Time without events after which the current send is aborted, in milliseconds. Only a stream that may
   * go on elsewhere is aborted while its caller still waits: the engine may be slow and sound.
   */
  private get idleTimeoutMs(): number {
    const { route } = this.job;
    const toleratedMs = route.patienceMs + PATIENCE_MARGIN_MS;
    const resumable = route.resumable && this.runs + 1 < route.attempts;
    return resumable ? Math.min(RESUME_TIMEOUT_MS, toleratedMs) : toleratedMs;
  }

  private async decode(
    slot: DecodeSlot,
    prefill: PrefillResult | undefined,
  ): Promise<StepResult<never> | RunResult> {
    const { upstream, health } = this.context;
    const { server, reservation } = slot;
    const isEvacuated = this.isEvacuated(server) || (prefill && this.isEvacuated(prefill.server));
    if (isEvacuated || this.hasLeft(server) || !this.mayBegin(slot))
      return this.moveElsewhere(slot, prefill);
    const settle = this.beginSend('run', server, slot.limitCharge);
    if (!settle) {
      this.releaseUnused(slot, prefill);
      return this.finishUnserved('the request may not be sent again');
    }
    const resumeAfter = this.headSent ? this.events.lastEventId : undefined;
    const timeout = this.startProgressTimeout(this.idleTimeoutMs);
    const sentMs = this.nowMs;
    const outcome = await upstream.send(server, this.job.request, {
      ...this.sendOptions(server, timeout.signal),
      reservation,
      ...(prefill ? { prefill } : {}),
      ...(resumeAfter === undefined ? {} : { resumeAfter }),
    });
    const tookMs = Math.round(this.nowMs - sentMs);
    const failure = outcome.kind === 'failed' ? outcome.failure : undefined;
    settle(toSendResult(failure));
    this.recordDecision('decode', server.id, failure ?? 'answer', { tookMs, runs: this.runs });
    if (outcome.kind === 'failed') {
      timeout.stop();
      return this.handleDecodeFailure(
        slot,
        prefill,
        timeout.expired() ? 'silent' : outcome.failure,
        sentMs,
      );
    }
    this.mayHaveRun = true;
    this.runs += 1;
    const end = await this.forward(server, outcome.value, timeout);
    timeout.stop();
    const good = end.kind === 'answered' && end.status < 500;
    if (good && this.prefillMs !== undefined) {
      const cost = {
        prefillMs: this.prefillMs,
        decodeMs: this.nowMs - sentMs,
        kvTokens: this.kvTokens,
      };
      this.context.costs.add(this.job.pool.name, cost, this.nowMs);
    }
    if (!this.job.sink.closed) health.record(server.id, good ? 'answered' : 'failed', this.nowMs);
    return end;
  }

  private async forward(
    server: CatalogServer,
    answer: OpenAnswer,
    timeout: ProgressTimeout,
  ): Promise<StepResult<never> | RunResult> {
    const { sink } = this.job;
    const { status } = answer.head;
    const continued = this.headSent;
    if (continued && status !== 200) return this.finishUnserved('the stream was not continued');
    if (!continued) sink.writeHead(answer.head);
    this.headSent = true;
    this.eventTimes = undefined;
    this.pace = undefined;
    const begunMs = this.nowMs;
    try {
      for await (const chunk of answer.body) {
        const complete = status === 200 ? this.events.push(chunk) : chunk;
        // Only events are progress: a stalled server may send comments or parts of an event for ever.
        if (status !== 200 || carriesData(complete)) {
          timeout.refresh();
          if (status === 200) this.noteEvent(server);
        }
        if (complete.length > 0) await this.write(complete);
        if (this.events.isOversized) return this.handleBrokenStream(server);
      }
    } catch {
      // A call that this VM has given up says by its silence what a break says at once.
      const silentSinceMs = timeout.signal.aborted ? (this.lastEventMs ?? begunMs) : undefined;
      return this.handleBrokenStream(server, silentSinceMs);
    }
    if (status === 200 && isEventStream(answer.head) && this.events.endsInsideEvent) {
      return this.handleBrokenStream(server);
    }
    if (status === 200) this.recordAnswered();
    const rest = this.events.flush();
    if (rest.length > 0) await sink.write(rest);
    sink.end();
    return { kind: 'answered', server: server.id, status };
  }

  /** Monotonic time of the last event of the current send, in milliseconds. */
  private get lastEventMs(): number | undefined {
    return this.eventTimes?.lastMs;
  }

  /** How long the server of the current send has generated events, in milliseconds. */
  private get answeredMs(): number {
    return this.eventTimes ? this.eventTimes.lastMs - this.eventTimes.firstMs : 0;
  }

  /** Writes to the caller; while it reads slowly, the time between events says nothing of the engine. */
  private async write(events: Buffer): Promise<void> {
    const startedMs = this.nowMs;
    await this.job.sink.write(events);
    if (this.nowMs - startedMs > SLOW_WRITE_MS) this.pace = undefined;
  }

  private noteEvent(server: CatalogServer): void {
    this.recordPace(server);
    const { nowMs, answeredMs: beforeMs } = this;
    this.eventTimes = { firstMs: this.eventTimes?.firstMs ?? nowMs, lastMs: nowMs };
    if (beforeMs < SOUND_ANSWER_MS && this.answeredMs >= SOUND_ANSWER_MS) this.recordAnswered();
  }

  /** Records the time between events once per PACE_EVENTS events. */
  private recordPace(server: CatalogServer): void {
    const { nowMs, pace } = this;
    const events = pace ? pace.events + 1 : 0;
    this.pace = { sinceMs: pace?.sinceMs ?? nowMs, events };
    if (!pace || events < PACE_EVENTS) return;
    const { loads, capacities } = this.context;
    const { running } = loads.totalAt(server.id);
    capacities.recordEvents(server, running, events, nowMs - pace.sinceMs, nowMs);
    this.pace = { sinceMs: nowMs, events: 0 };
  }

  private handleBrokenStream(
    server: CatalogServer,
    silentSinceMs = this.nowMs,
  ): StepResult<never> | RunResult {
    const { route, sink, signal } = this.job;
    this.events.dropPartial();
    const { answeredMs } = this;
    if (answeredMs < SOUND_ANSWER_MS)
      this.recordUnanswered(server, { answeredMs, silentMs: this.nowMs - silentSinceMs });
    const resumable = route.resumable && this.runs < route.attempts && !signal.aborted;
    if (resumable && this.prepayRound()) {
      this.recordDecision('stream', 'again', 'the stream ended before it was complete', {
        server: server.id,
      });
      this.excluded.add(server.id);
      return { kind: 'again' };
    }
    sink.abort();
    return { kind: 'cut', server: server.id, reason: 'the stream ended before it was complete' };
  }

  private handleDecodeFailure(
    slot: DecodeSlot,
    prefill: PrefillResult | undefined,
    failure: UpstreamFailure,
    sentMs: number,
  ): StepResult<never> | RunResult {
    const { server } = slot;
    const notRun = provesNotRun(failure);
    if (!notRun) {
      this.mayHaveRun = true;
      this.runs += 1;
    }
    if (failure === 'unsent' || failure === 'cancelled') this.releaseUnused(slot, prefill);
    this.recordUnansweredCall(server, failure, sentMs);
    if (failure !== 'cancelled') this.recordFailure(server, failure);
    // An expired prefill handle is no evidence against the decode engine.
    if (failure === 'not-run') this.excluded.delete(server.id);
    const { route, signal } = this.job;
    const retryable = notRun || (route.resumable && this.runs < route.attempts);
    if (retryable && !signal.aborted && this.prepayRound()) return { kind: 'again' };
    return this.finishUnserved('the decode engine did not run or complete the request');
  }

  /** Returns whether the server of the slot may have been leaving for too long since it was reserved. */
  private hasLeft(server: CatalogServer): boolean {
    const ageMs = this.nowMs - this.reservedMs;
    if (ageMs < LEAVING_SLOT_MS || !this.context.catalog.hasLeft(server)) return false;
    const reason = 'the server has begun to leave since its slot was reserved';
    this.recordDecision('leaving', server.id, reason, { ageMs: Math.round(ageMs) });
    this.context.metrics.increment('servers.slotsLeft');
    return true;
  }

  /** Returns whether a reserved slot may still be used under the rates of its server. */
  private mayBegin({ server, limitCharge }: DecodeSlot): boolean {
    if (limitCharge.mayBegin(this.nowMs)) return true;
    const reason = 'the server takes fewer requests than when its slot was reserved';
    this.recordDecision('limit', server.id, reason);
    return false;
  }

  /** Gives up a slot whose server may not get the request any more, and begins another round if it is covered. */
  private moveElsewhere(slot: DecodeSlot, prefill: PrefillResult | undefined): StepResult<never> {
    slot.limitCharge.refund();
    this.releaseUnused(slot, prefill);
    if (this.prepayRound()) return { kind: 'again' };
    return this.finishUnserved('the request may not be sent again');
  }

  private releaseUnused(slot: DecodeSlot, prefill?: PrefillResult): void {
    const { upstream } = this.context;
    upstream.release(slot.server, slot.reservation);
    if (prefill) upstream.discard(prefill);
  }

  /** Charges the sends of another round. */
  private prepayRound(): boolean {
    const { catalog } = this.context;
    const hasPrefill = catalog
      .usable(this.job.pool.name, this.nowMs)
      .some(({ stage }) => stage === 'prefill');
    return this.prepaySends(hasPrefill ? ROUND_SENDS : ['run']);
  }

  private finishUnserved(message: string): RunResult {
    if (!this.headSent) return this.refuseUnserved(message);
    this.job.sink.abort();
    return { kind: 'cut', server: '', reason: message };
  }
}

function finalResult(step: StepResult<unknown>): RunResult | undefined {
  return step.kind === 'again' || step.kind === 'ok' ? undefined : step;
}
