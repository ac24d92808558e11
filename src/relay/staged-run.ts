import { EventSplitter } from './event-splitter.js';
import { Run, type Job, type RunResult, type ProgressTimeout } from './run.js';
import type { RunContext } from './run-context.js';
import type { DecodeScheduler, DecodeReservation } from './decode-scheduler.js';
import { computeReservedTokens } from './reservation-size.js';
import type { CatalogServer } from './server-catalog.js';
import { pickPrefillServer } from './server-picker.js';
import {
  provesNotRun,
  type OpenAnswer,
  type PrefillResult,
  type UpstreamFailure,
} from './upstream.js';

/** Longest silence of a stream before it is given up, in milliseconds; callers wait about as long. */
const STREAM_IDLE_TIMEOUT_MS = 3000;

/** Silence of a prefill engine beyond the expected time, in milliseconds. */
const PREFILL_SLACK_MS = 900;

/** Time that prefill and transfer take in an idle pool, in milliseconds. */
const IDLE_START_MS = 200;

/** Shortest time that is worth starting an answer for, in milliseconds. */
const MIN_ANSWER_MS = 1500;

/** Most places that one request takes in turn. */
const MAX_ROUNDS = 4;

/** Prompt tokens that a prefill engine reads in a millisecond, until it has been measured. */
const ASSUMED_PREFILL_TOKENS_PER_MS = 40;

type StepResult<Value> =
  { readonly kind: 'ok'; readonly value: Value } | { readonly kind: 'again' } | RunResult;

/** Runs a stream on a prefill engine and a decode engine. */
export class StagedRun extends Run {
  private readonly events = EventSplitter.create();

  private headSent = false;

  /** Time that the prompt took when no other was before it, in milliseconds. */
  private prefillMs: number | undefined;

  private constructor(
    context: RunContext,
    job: Job,
    private readonly scheduler: DecodeScheduler,
  ) {
    super(context, job);
  }

  /**
   * Prepares a run.
   *
   * @param context - what all runs share
   * @param job - the admitted request
   * @param scheduler - the decode places of the pool
   * @returns a run that has not begun
   */
  static create(context: RunContext, job: Job, scheduler: DecodeScheduler): StagedRun {
    return new StagedRun(context, job, scheduler);
  }

  override async execute(): Promise<RunResult> {
    for (let round = 0; round < MAX_ROUNDS && !this.job.signal.aborted; round += 1) {
      const end = await this.runRound();
      if (end) return end;
    }
    return this.finishUnserved('no engine took the request');
  }

  private get kvTokens(): number {
    return computeReservedTokens(this.job.request);
  }

  private async runRound(): Promise<RunResult | undefined> {
    const reserved = await this.reserve();
    if (reserved.kind !== 'ok') return finalResult(reserved);
    const place = reserved.value;
    try {
      const prefilled = await this.prefill();
      if (prefilled.kind !== 'ok') {
        this.context.upstream.release(place.server, place.reservation);
        return finalResult(prefilled);
      }
      const end = await this.decode(place, prefilled.value);
      return finalResult(end);
    } finally {
      place.releaseLoad();
      this.scheduler.dispatch();
    }
  }

  private async reserve(): Promise<StepResult<DecodeReservation>> {
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
      if (this.headSent || this.mayHaveRun) return this.finishUnserved('no place to go on');
      return { kind: 'refused', refusal: outcome.failure };
    }
    const { server } = outcome.value;
    const { promptTokens = 0, outputTokens } = request;
    const facts = { waitedMs, kvTokens: this.kvTokens, promptTokens, outputTokens };
    this.recordDecision('place', server.id, 'reserved', facts);
    return { kind: 'ok', value: outcome.value };
  }

  /** Times by which a place is of use: for a broken stream they count from now, not from its arrival. */
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
    const { catalog, loads, upstream, metrics } = this.context;
    const { request, pool } = this.job;
    const promptTokens = request.promptTokens ?? 0;
    const tried = new Set<string>();
    while (!this.job.signal.aborted) {
      const servers = catalog
        .usable(pool.name, this.nowMs)
        .filter(({ stage }) => stage === 'prefill');
      const choice = pickPrefillServer(servers, tried, this.pickerFacts);
      if (!choice) {
        // A decode engine reads a prompt itself, at half the speed, when no prefill engine is left.
        return { kind: 'ok', value: undefined };
      }
      if (tried.size > 0 && !this.acquireSend()) return this.finishUnserved('no prefill engine');
      const { server, tokensAhead } = choice;
      const free = loads.add(server.id, { prefillTokens: promptTokens });
      const sentMs = this.nowMs;
      const expectedMs = (tokensAhead + promptTokens) / ASSUMED_PREFILL_TOKENS_PER_MS;
      const watch = this.startProgressTimeout(3 * expectedMs + PREFILL_SLACK_MS);
      const outcome = await upstream.prefill(
        server,
        request,
        this.sendOptions(server, watch.signal),
      );
      watch.stop();
      free();
      const tookMs = Math.round(this.nowMs - sentMs);
      const failure = outcome.kind === 'failed' ? outcome.failure : '';
      this.recordDecision('prefill', server.id, failure || 'read', { tookMs, tokensAhead });
      if (outcome.kind === 'ok') {
        this.recordSend();
        metrics.timing('prefill.ms', tookMs);
        if (tokensAhead === 0) this.prefillMs = tookMs;
        this.context.health.record(server.id, 'answered', this.nowMs);
        if (!this.job.signal.aborted) return outcome;
        upstream.discard(outcome.value);
        break;
      }
      this.recordPrefillFailure(server, watch.expired() ? 'silent' : outcome.failure);
      tried.add(server.id);
    }
    return this.finishUnserved('the request ended before its prompt was read');
  }

  private recordPrefillFailure(server: CatalogServer, failure: UpstreamFailure): void {
    if (failure !== 'unsent') this.recordSend();
    if (failure === 'cancelled') return;
    this.recordFailure(server, failure);
    this.excluded.delete(server.id);
  }

  private async decode(
    place: DecodeReservation,
    prefill: PrefillResult | undefined,
  ): Promise<StepResult<never> | RunResult> {
    const { upstream, health } = this.context;
    const { server, reservation } = place;
    const resumeAfter = this.headSent ? this.events.lastEventId : undefined;
    const watch = this.startProgressTimeout(STREAM_IDLE_TIMEOUT_MS);
    const sentMs = this.nowMs;
    const outcome = await upstream.send(server, this.job.request, {
      ...this.sendOptions(server, watch.signal),
      reservation,
      ...(prefill ? { prefill } : {}),
      ...(resumeAfter === undefined ? {} : { resumeAfter }),
    });
    const tookMs = Math.round(this.nowMs - sentMs);
    const failure = outcome.kind === 'failed' ? outcome.failure : '';
    this.recordDecision('decode', server.id, failure || 'answer', { tookMs, runs: this.runs });
    if (outcome.kind === 'failed') {
      watch.stop();
      return this.handleDecodeFailure(place, prefill, watch.expired() ? 'silent' : outcome.failure);
    }
    this.mayHaveRun = true;
    this.runs += 1;
    const end = await this.forward(server, outcome.value, watch);
    watch.stop();
    const good = end.kind === 'answered' && end.status < 500;
    if (good && this.prefillMs !== undefined) {
      const cost = {
        prefillMs: this.prefillMs,
        decodeMs: this.nowMs - sentMs,
        kvTokens: this.kvTokens,
      };
      this.context.costAverage(this.job.pool.name).add(cost);
    }
    if (!this.job.sink.closed) health.record(server.id, good ? 'answered' : 'failed', this.nowMs);
    return end;
  }

  private async forward(
    server: CatalogServer,
    answer: OpenAnswer,
    watch: ProgressTimeout,
  ): Promise<StepResult<never> | RunResult> {
    const { sink } = this.job;
    const { status } = answer.head;
    const continued = this.headSent;
    if (continued && status !== 200) return this.finishUnserved('the stream was not continued');
    if (!continued) sink.writeHead(answer.head);
    this.headSent = true;
    try {
      for await (const piece of answer.body) {
        watch.refresh();
        const whole = status === 200 ? this.events.push(piece) : piece;
        if (whole.length > 0) await sink.write(whole);
      }
    } catch {
      return this.handleBrokenStream(server);
    }
    const rest = this.events.flush();
    if (rest.length > 0) await sink.write(rest);
    sink.end();
    return { kind: 'answered', server: server.id, status };
  }

  private handleBrokenStream(server: CatalogServer): StepResult<never> | RunResult {
    const { route, sink, signal } = this.job;
    this.events.dropPartial();
    const resumable = route.resumable && this.runs < route.attempts && !signal.aborted;
    if (resumable && this.acquireSend()) {
      this.recordDecision('stream', 'again', 'the stream broke off', { server: server.id });
      this.excluded.add(server.id);
      return { kind: 'again' };
    }
    sink.abort();
    return { kind: 'cut', server: server.id, reason: 'the stream broke off' };
  }

  private handleDecodeFailure(
    { server, reservation }: DecodeReservation,
    prefill: PrefillResult | undefined,
    failure: UpstreamFailure,
  ): StepResult<never> | RunResult {
    const { upstream } = this.context;
    if (failure !== 'unsent') this.recordSend();
    const unrun = provesNotRun(failure);
    if (!unrun) {
      this.mayHaveRun = true;
      this.runs += 1;
    }
    if (failure === 'unsent' || failure === 'cancelled') {
      upstream.release(server, reservation);
      if (prefill) upstream.discard(prefill);
    }
    if (failure !== 'cancelled') this.recordFailure(server, failure);
    // A handle that has lapsed says nothing against the decode engine.
    if (failure === 'not-run') this.excluded.delete(server.id);
    const { route, signal } = this.job;
    const again = unrun || (route.resumable && this.runs < route.attempts);
    if (again && !signal.aborted && this.acquireSend()) return { kind: 'again' };
    return this.finishUnserved('the decode engine gave no answer');
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
