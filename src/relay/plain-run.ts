import type { Outcome } from '../kernel/outcome.js';
import { EventSplitter, isEventStream } from './event-splitter.js';
import { computeRefusalProbability } from './load-shedding.js';
import { Run, type Job, type RunResult } from './run.js';
import type { RunContext } from './run-context.js';
import type { CatalogServer } from './server-catalog.js';
import { listPlainServers, pickPlainServer, type PickerFacts } from './server-picker.js';
import { toSendResult, type SendResult } from './send-charges.js';
import { provesNotRun, type OpenAnswer, type UpstreamFailure } from './upstream.js';

/** Responses up to this size are buffered until they are complete, so that a broken one can be retried. */
const MAX_BUFFERED_BYTES = 262_144;

/** Lowest HTTP status of server errors. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Multiple of the route's target after which an idempotent request is sent to another server. */
const ATTEMPT_TIMEOUT_FACTOR = 3;

/**
 * Time after which a refused request may be retried, in milliseconds: a few times the age of the load
 * data that caused the refusal, with jitter so that callers do not all retry at once.
 */
const MIN_RETRY_AFTER_MS = 300;
const RETRY_AFTER_JITTER_MS = 600;

/** Lower bound of the time limit for an attempt, in milliseconds. */
const MIN_ATTEMPT_TIMEOUT_MS = 600;

interface BufferedAnswer {
  readonly answer: OpenAnswer;
  readonly chunks: readonly Buffer[];
  /** The rest of the body after the buffered chunks; undefined when they are the complete body. */
  readonly rest: AsyncIterator<Buffer> | undefined;
}

/** Runs a request on a server of a plain pool. */
export class PlainRun extends Run {
  /** A server's error response, delivered when no other server returns a better one. */
  private failedAnswer: { buffered: BufferedAnswer; server: CatalogServer } | undefined;

  /**
   * Creates a run.
   *
   * @param context - services that all runs share
   * @param job - the admitted request
   * @returns a run that has not started
   */
  static create(context: RunContext, job: Job): PlainRun {
    return new PlainRun(context, job);
  }

  protected override async run(): Promise<RunResult> {
    await this.context.borrow(this.listLeft());
    const refusal = this.refuseLimited() ?? this.shedLoad();
    if (refusal) return refusal;
    while (!this.job.signal.aborted) {
      const server = this.chooseServer();
      const settle = server && this.beginSend('run', server);
      if (!server || !settle) break;
      const end = await this.attempt(server, settle);
      if (end) return end;
    }
    const { failedAnswer } = this;
    if (failedAnswer && !this.job.sink.closed) {
      return this.deliver(failedAnswer.buffered, failedAnswer.server);
    }
    const limited = this.mayHaveRun ? undefined : this.refuseLimited();
    return limited ?? this.refuseUnserved('no server accepted the request');
  }

  private listLeft(): CatalogServer[] {
    const known = this.context.catalog.usable(this.job.pool.name, this.nowMs);
    return known.filter(({ id }) => !this.excluded.has(id));
  }

  /** Refuses the request when all servers that are left have named a limit that is used up. */
  private refuseLimited(): RunResult | undefined {
    const left = this.listLeft();
    const waitMs = this.context.limits.estimateWaitMs(left, 1, this.nowMs);
    return waitMs > 0 ? this.refuseBeyondLimits(waitMs, left.length) : undefined;
  }

  /** Refuses, before anything is sent, the fraction of requests that the servers could not serve in time. */
  private shedLoad(): RunResult | undefined {
    const { catalog, loads, limits, capacities } = this.context;
    const { pool, priority, insideRate } = this.job;
    const shedding = this.context.shedding(pool.name);
    shedding.record(priority, this.nowMs);
    const known = catalog.usable(pool.name, this.nowMs);
    const allowed = capacities.adjust(limits.select(known, this.nowMs), this.nowMs);
    const servers = listPlainServers(allowed, this.plainFacts);
    const overall = computeRefusalProbability(servers, loads, insideRate);
    const probability = shedding.computeProbability(priority, overall, this.nowMs);
    if (probability <= Math.random()) return undefined;
    const retryAfterMs = MIN_RETRY_AFTER_MS + Math.random() * RETRY_AFTER_JITTER_MS;
    const { running } = loads.sum(servers);
    const part = Math.round(100 * probability);
    const facts = { part, priority, running, servers: servers.length };
    this.context.metrics.increment('requests.shed', { pool: pool.name, priority: `${priority}` });
    this.recordDecision(
      'server',
      'refuse',
      'the servers have more requests than they can answer',
      facts,
    );
    return this.refuse('overloaded', 'the servers cannot answer in time', retryAfterMs);
  }

  private chooseServer(): CatalogServer | undefined {
    const { catalog, capacities } = this.context;
    const known = catalog.usable(this.job.pool.name, this.nowMs);
    const servers = capacities.adjust(this.selectAllowed(known), this.nowMs);
    const server = pickPlainServer(servers, this.excluded, this.plainFacts);
    if (!server) {
      this.recordDecision('server', 'none', 'no server of the pool is left', {
        known: known.length,
      });
    }
    return known.find(({ id }) => id === server?.id);
  }

  private async attempt(
    server: CatalogServer,
    settle: (result: SendResult) => void,
  ): Promise<RunResult | undefined> {
    const { loads, health } = this.context;
    const releaseLoad = loads.add(server.id, { running: 1 });
    const before = { running: loads.totalAt(server.id).running, sentMs: this.nowMs };
    const timeout = this.startProgressTimeout(this.attemptTimeoutMs);
    try {
      const outcome = await this.exchange(server, timeout.signal, settle);
      timeout.stop();
      if (outcome.kind === 'failed') {
        const failure = timeout.expired() ? 'silent' : outcome.failure;
        if (failure === 'silent') this.recordPace(server, before);
        if (failure === 'not-run') this.context.capacities.recordRefusal(server, this.nowMs);
        return this.handleFailure(server, failure, before.sentMs);
      }
      const buffered = outcome.value;
      const { status } = buffered.answer.head;
      if (status < MIN_SERVER_ERROR_STATUS && !buffered.rest) this.recordPace(server, before);
      health.record(
        server.id,
        status >= MIN_SERVER_ERROR_STATUS ? 'failed' : 'answered',
        this.nowMs,
      );
      if (status >= MIN_SERVER_ERROR_STATUS && this.mayRunAgain()) {
        this.recordDecision('answer', 'again', 'the server failed', { server: server.id, status });
        this.excluded.add(server.id);
        this.failedAnswer = { buffered, server };
        return undefined;
      }
      return await this.deliver(buffered, server);
    } finally {
      timeout.stop();
      releaseLoad();
    }
  }

  /** Records how long the server took under the load before and after. */
  private recordPace(server: CatalogServer, before: { running: number; sentMs: number }): void {
    const { loads, capacities } = this.context;
    const running = (before.running + loads.totalAt(server.id).running) / 2;
    capacities.recordAnswer(server, running, this.nowMs - before.sentMs, this.nowMs);
  }

  private async exchange(
    server: CatalogServer,
    signal: AbortSignal,
    settle: (result: SendResult) => void,
  ): Promise<Outcome<BufferedAnswer, UpstreamFailure>> {
    const { upstream } = this.context;
    const sentMs = this.nowMs;
    const outcome = await upstream.send(server, this.job.request, this.sendOptions(server, signal));
    const failure = outcome.kind === 'failed' ? outcome.failure : undefined;
    settle(toSendResult(failure));
    if (!failure || !provesNotRun(failure)) {
      this.mayHaveRun = true;
      this.runs += 1;
    }
    const tookMs = Math.round(this.nowMs - sentMs);
    this.recordDecision('send', server.id, failure ?? 'answer', { tookMs, runs: this.runs });
    if (outcome.kind === 'failed') return outcome;
    return bufferAnswer(this.checkEnd(outcome.value));
  }

  /** Makes a stream that ends inside an event a truncated answer. */
  private checkEnd(answer: OpenAnswer): OpenAnswer {
    const { head, body } = answer;
    const isStream = this.job.route.kind === 'stream' && head.status === 200 && isEventStream(head);
    return isStream ? { head, body: requireWholeEvents(body) } : answer;
  }

  private async deliver({ answer, chunks, rest }: BufferedAnswer, server: CatalogServer) {
    const { sink } = this.job;
    const { status } = answer.head;
    const isAnswered = status < MIN_SERVER_ERROR_STATUS;
    if (!rest) {
      if (isAnswered) this.recordAnswered();
      sink.send(answer.head, chunks);
      return { kind: 'answered' as const, server: server.id, status };
    }
    sink.writeHead(answer.head);
    for (const chunk of chunks) await sink.write(chunk);
    try {
      for (;;) {
        const next = await rest.next();
        if (next.done) break;
        await sink.write(next.value);
      }
    } catch {
      this.recordUnanswered(server);
      sink.abort();
      return {
        kind: 'cut' as const,
        server: server.id,
        reason: 'the response ended before it was complete',
      };
    }
    if (isAnswered) this.recordAnswered();
    sink.end();
    return { kind: 'answered' as const, server: server.id, status };
  }

  private handleFailure(
    server: CatalogServer,
    failure: UpstreamFailure,
    sentMs: number,
  ): RunResult | undefined {
    this.recordUnansweredCall(server, failure, sentMs);
    if (failure !== 'cancelled') this.recordFailure(server, failure);
    if (provesNotRun(failure) || this.mayRunAgain()) return undefined;
    return this.refuseUnserved('the server did not return a complete response');
  }

  private mayRunAgain(): boolean {
    return this.isRepeatable(0) && !this.job.signal.aborted;
  }

  /** Returns whether the request may run again, counting a number of runs that have not ended yet. */
  private isRepeatable(running: number): boolean {
    const { route } = this.job;
    return route.kind === 'idempotent' && this.runs + running < route.attempts;
  }

  private get plainFacts(): PickerFacts {
    return { ...this.pickerFacts, repeatable: this.isRepeatable(1) };
  }

  /** Time limit for a response, after which another server is tried; undefined when none may be tried. */
  private get attemptTimeoutMs(): number | undefined {
    if (!this.isRepeatable(1)) return undefined;
    const { route } = this.job;
    return Math.max(MIN_ATTEMPT_TIMEOUT_MS, route.targetMs * ATTEMPT_TIMEOUT_FACTOR);
  }
}

async function* requireWholeEvents(body: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  const events = EventSplitter.create();
  for await (const chunk of body) {
    events.push(chunk);
    if (events.isOversized) throw new Error('an event is too large');
    yield chunk;
  }
  if (events.endsInsideEvent) throw new Error('the stream ended inside an event');
}

async function bufferAnswer(answer: OpenAnswer): Promise<Outcome<BufferedAnswer, UpstreamFailure>> {
  const body = answer.body[Symbol.asyncIterator]();
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    while (size <= MAX_BUFFERED_BYTES) {
      const next = await body.next();
      if (next.done) return { kind: 'ok', value: { answer, chunks, rest: undefined } };
      chunks.push(next.value);
      size += next.value.length;
    }
    return { kind: 'ok', value: { answer, chunks, rest: body } };
  } catch {
    return { kind: 'failed', failure: 'broken' };
  }
}
