import { randomUUID } from 'node:crypto';

import type { PlainFailure } from '../backends/plain-failure.js';
import type { PlainResponse } from '../backends/plain-service.js';
import type { PlainServer } from '../domain/backend-server.js';
import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { ServiceAnswer, ServiceRequest } from '../domain/request.js';
import type { Route } from '../domain/route.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { Settings } from '../settings/schema.js';
import { AtMostOnceExecutor, type DispatchResult } from './at-most-once-executor.js';
import { ServiceExecution } from './service-execution.js';
import { ServiceJob } from './service-job.js';

/** Maximum number of servers that are tried for one request. */
const MAX_SERVERS_TRIED = 3;

/** Codes of refusals after which the request may be sent to another server. */
const RETRYABLE_CODES: ReadonlySet<RefusalCode> = new Set(['server_failed', 'server_timeout']);

/** Minimum number of renewals of a debit that became too old, even after the queue time is over. */
const MIN_RENEWALS = 3;

/** Sends requests to servers of plain services; see docs/design.md, section 6.2. */
export class RoutedServiceExecution extends ServiceExecution {
  private running = 0;

  private atMostOnce: AtMostOnceExecutor | undefined;

  private constructor(
    private readonly kernel: Kernel,
    private readonly settings: Settings,
    private readonly clock: Clock,
  ) {
    super();
  }

  /**
   * Creates the service.
   *
   * @param kernel - finds other services
   * @param settings - idempotency window, partitions and deadlines
   * @param clock - source of time for deadlines
   * @returns a new service
   */
  static create(kernel: Kernel, settings: Settings, clock: Clock): RoutedServiceExecution {
    return new RoutedServiceExecution(kernel, settings, clock);
  }

  override async start(): Promise<void> {
    this.atMostOnce = AtMostOnceExecutor.create(
      this.kernel.find('log'),
      this.clock,
      this.settings.idempotency,
      (owner) => this.kernel.find('membership').hasEnded(owner),
    );
    await Promise.resolve();
  }

  override async stop(): Promise<void> {
    await this.flush();
  }

  override async run(
    request: ServiceRequest,
    route: Route,
    signal: AbortSignal,
  ): Promise<Outcome<ServiceAnswer, Refusal>> {
    this.running += 1;
    const job = ServiceJob.create(request, route, signal);
    try {
      return await (route.repeatable ? this.runRepeatable(job) : this.runOnce(job));
    } finally {
      job.replaceGrant(undefined);
      this.running -= 1;
    }
  }

  override active(): number {
    return this.running;
  }

  override async flush(): Promise<void> {
    await this.atMostOnce?.flush(this.settings.timeouts.shutdownMs);
  }

  private async runOnce(job: ServiceJob): Promise<Outcome<ServiceAnswer, Refusal>> {
    const { atMostOnce } = this;
    if (!atMostOnce) return fail(Refusal.create('not_ready', 'the daemon is starting'));
    // A team without tokens is refused before an intent is appended, which saves log appends.
    const admitted = await this.refreshGrant(job);
    if (admitted.kind === 'failed') return admitted;
    const owner = this.kernel.find('membership').self();
    const outcome = await atMostOnce.run(
      job.request,
      job.route,
      owner,
      (attemptId, mayStillSend) => this.dispatch(job, attemptId, mayStillSend),
      job.signal,
    );
    const replayed = outcome.kind === 'ok' && outcome.value.replayed;
    this.recordDecision(
      job,
      'at-most-once',
      outcome.kind === 'ok' ? 'answered' : outcome.failure.code,
      {
        replayed,
      },
    );
    return outcome;
  }

  private async runRepeatable(job: ServiceJob): Promise<Outcome<ServiceAnswer, Refusal>> {
    const excluded = new Set<string>();
    let refusal: Refusal | undefined;
    while (excluded.size < MAX_SERVERS_TRIED && !job.signal.aborted) {
      const result = await this.tryServer(job, excluded, randomUUID(), () => !job.signal.aborted);
      if (result.kind === 'answered') return succeed(result.answer);
      // A later refusal must not hide that an earlier send may have been run.
      if (refusal?.run !== 'unknown') refusal = result.refusal;
      if (!RETRYABLE_CODES.has(result.refusal.code)) break;
    }
    return fail(refusal ?? Refusal.create('cancelled', 'the caller closed the connection'));
  }

  private async dispatch(
    job: ServiceJob,
    attemptId: string,
    mayStillSend: () => boolean,
  ): Promise<DispatchResult> {
    const excluded = new Set<string>();
    let result = await this.tryServer(job, excluded, attemptId, mayStillSend);
    // A send is retried only if none of its bytes left this VM.
    while (
      result.kind === 'not run' &&
      RETRYABLE_CODES.has(result.refusal.code) &&
      excluded.size < MAX_SERVERS_TRIED
    ) {
      result = await this.tryServer(job, excluded, attemptId, mayStillSend);
    }
    return result;
  }

  private async tryServer(
    job: ServiceJob,
    excluded: Set<string>,
    attemptId: string,
    mayStillSend: () => boolean,
  ): Promise<DispatchResult> {
    const server = this.kernel.find('routing').chooseService(job.route.pool, excluded);
    if (!server) return { kind: 'not run', refusal: refuseNoServer(job.route) };
    excluded.add(server.name);
    return this.send(job, server, attemptId, mayStillSend);
  }

  private async send(
    job: ServiceJob,
    server: PlainServer,
    attemptId: string,
    mayStillSend: () => boolean,
  ): Promise<DispatchResult> {
    const fresh = await this.refreshGrant(job);
    if (fresh.kind === 'failed') return { kind: 'not run', refusal: fresh.failure };
    const refusal = this.checkBeforeSend(job, mayStillSend);
    if (refusal) return { kind: 'not run', refusal };
    const span = this.kernel.find('traces').startSpan('service', job.request.traceparent, {
      server: server.name,
      attemptId,
    });
    job.consumeGrant();
    const reply = await this.kernel
      .find('backends')
      .service(server)
      .send({
        method: job.request.method,
        target: job.request.target,
        headers: composeHeaders(job.request, attemptId, span.traceparent),
        body: job.request.body,
        timeoutMs: job.route.timeoutMs,
        // A request that may not be repeated is not aborted once it has been sent, to get its outcome.
        signal: job.route.repeatable ? job.signal : new AbortController().signal,
      });
    span.end({ outcome: reply.kind === 'ok' ? String(reply.value.status) : reply.failure.reason });
    if (reply.kind === 'ok') return this.handleReply(server, reply.value);
    return this.handleFailure(job, server, reply.failure);
  }

  private handleReply(server: PlainServer, reply: PlainResponse): DispatchResult {
    if (reply.draining) this.kernel.find('routing').observeDraining(server.name);
    const { status, headers, body } = reply;
    return { kind: 'answered', answer: { status, headers, body, replayed: false } };
  }

  private handleFailure(
    job: ServiceJob,
    server: PlainServer,
    failure: PlainFailure,
  ): DispatchResult {
    this.kernel.find('routing').observeFailure(server.name, failure.reason === 'refused');
    this.recordDecision(job, 'service-failure', server.name, { reason: failure.reason });
    const code = failure.reason === 'timeout' ? 'server_timeout' : 'server_failed';
    if (!failure.sent) {
      return { kind: 'not run', refusal: Refusal.create(code, failure.message) };
    }
    const refusal = Refusal.create(code, failure.message, { run: 'unknown' });
    return { kind: 'unknown', refusal };
  }

  private checkBeforeSend(job: ServiceJob, mayStillSend: () => boolean): Refusal | undefined {
    const { keyId } = job.request;
    if (keyId && this.kernel.find('configuration').withdrawn().has(keyId)) {
      return Refusal.create('key_withdrawn', 'the key has been withdrawn');
    }
    if (mayStillSend()) return undefined;
    if (job.signal.aborted) return Refusal.create('cancelled', 'the caller closed the connection');
    return Refusal.create('overloaded', 'the deadline for sending passed', { retryAfterMs: 1000 });
  }

  private async refreshGrant(job: ServiceJob): Promise<Outcome<void, Refusal>> {
    if (!job.hasGrant) {
      const admitted = await this.admit(job);
      if (admitted.kind === 'failed') return admitted;
    }
    // When the event loop lags by several seconds, several debits in a row become too old.
    const untilMs = this.clock.monotonicMs() + this.queueMs();
    for (let renewals = 0; !job.sendable; renewals += 1) {
      if (renewals >= MIN_RENEWALS && this.clock.monotonicMs() > untilMs) {
        return fail(
          Refusal.create(
            'overloaded',
            'the request could not be sent before its token debit became too old',
          ),
        );
      }
      const renewed = await job.renewGrant();
      if (renewed.kind === 'failed') return renewed;
    }
    return succeed(undefined);
  }

  /** Maximum time that a request may wait under the preset in force, in milliseconds. */
  private queueMs(): number {
    const state = this.kernel.find('configuration').current();
    return state?.presets.get(state.presetInForce)?.queueMs ?? 0;
  }

  private async admit(job: ServiceJob): Promise<Outcome<void, Refusal>> {
    const { request, route, signal } = job;
    if (!request.team) return succeed(undefined);
    job.replaceGrant(undefined);
    const span = this.kernel.find('traces').startSpan('admission', request.traceparent);
    const admitted = await this.kernel.find('admission').admit({
      requestId: request.requestId,
      team: request.team,
      model: undefined,
      promptTokens: route.tokens,
      maxTokens: 0,
      fingerprint: request.fingerprint,
      arrivedMs: request.arrivedMs,
      signal,
    });
    span.end({ outcome: admitted.kind === 'ok' ? 'admitted' : admitted.failure.code });
    if (admitted.kind === 'failed') return admitted;
    job.replaceGrant(admitted.value);
    return succeed(undefined);
  }

  private recordDecision(
    job: ServiceJob,
    step: string,
    choice: string,
    facts: Record<string, string | number | boolean>,
  ): void {
    const { requestId } = job.request;
    this.kernel
      .find('decisions')
      .record({ requestId, step, choice, reason: job.route.path, facts });
  }
}

function composeHeaders(
  request: ServiceRequest,
  attemptId: string,
  traceparent: string,
): Record<string, string> {
  return {
    ...request.headers,
    'x-request-id': request.requestId,
    'x-attempt-id': attemptId,
    ...(request.team ? { 'x-team': request.team } : {}),
    ...(request.idempotencyKey ? { 'idempotency-key': request.idempotencyKey } : {}),
    traceparent,
  };
}

function refuseNoServer(route: Route): Refusal {
  return Refusal.create('no_server', `no server of pool ${route.pool} accepts requests`, {
    retryAfterMs: 1000,
  });
}
