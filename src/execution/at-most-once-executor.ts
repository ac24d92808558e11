import { createHash, randomUUID } from 'node:crypto';

import { Refusal } from '../domain/refusal.js';
import type { ServiceAnswer, ServiceRequest } from '../domain/request.js';
import type { Route } from '../domain/route.js';
import type { Incarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { LogService } from '../infrastructure/log-service.js';
import type { LedgerDecision } from './execution-ledger.js';
import type { StoredOutcome } from './execution-record.js';
import { hashKey, partitionOf, readIssueTime } from './idempotency-key.js';
import { PartitionLog } from './partition-log.js';
import { PendingRecords } from './pending-records.js';

/** Maximum size of an answer body that is stored for replays, in bytes. */
const MAX_STORED_BODY_BYTES = 65_536;

/** Interval between evictions of expired idempotency keys, in milliseconds. */
const EVICTION_INTERVAL_MS = 60_000;

/**
 * Time for which idempotency keys are kept beyond the window in which they are accepted, in
 * milliseconds. The margin covers clocks that differ between VMs.
 */
const EVICTION_MARGIN_MS = 120_000;

/** Result of a dispatch; `unknown` when the request may have run but its answer is not known. */
export type DispatchResult =
  | { readonly kind: 'answered'; readonly answer: ServiceAnswer }
  | { readonly kind: 'not run'; readonly refusal: Refusal }
  | { readonly kind: 'unknown'; readonly refusal: Refusal };

/** Sends the request; calls `mayStillSend` right before writing the first byte. */
export type Dispatch = (attemptId: string, mayStillSend: () => boolean) => Promise<DispatchResult>;

/** Settings of at-most-once execution; see docs/settings.md. */
export interface AtMostOnceOptions {
  readonly partitions: number;
  readonly windowMs: number;
  readonly intentMs: number;
}

/** Checks whether the process that wrote an intent has provably stopped running. */
export type GoneCheck = (owner: Incarnation) => Promise<boolean>;

interface Attempt {
  readonly key: string;
  readonly attemptId: string;
  readonly partition: PartitionLog;
  readonly sendDeadline: { readonly monotonicMs: number; readonly wallMs: number };
  readonly answerDeadlineMs: number;
}

/**
 * Runs requests that may not be repeated. An intent is appended to the log before a request is sent,
 * and a request is sent only if its intent is the first one of its idempotency key that was not
 * abandoned. See docs/design.md, section 6.2.
 */
export class AtMostOnceExecutor {
  private readonly partitions = new Map<string, PartitionLog>();

  private readonly pending: PendingRecords;

  private lastEvictionMs = 0;

  private constructor(
    private readonly log: LogService,
    private readonly clock: Clock,
    private readonly options: AtMostOnceOptions,
    private readonly isGone: GoneCheck,
  ) {
    this.pending = PendingRecords.create(clock);
  }

  /**
   * Creates an executor.
   *
   * @param log - stores intents and outcomes
   * @param clock - source of time for deadlines
   * @param options - number of partitions, window and deadlines
   * @param isGone - checks whether the owner of an intent has provably stopped running
   * @returns a new executor
   */
  static create(
    log: LogService,
    clock: Clock,
    options: AtMostOnceOptions,
    isGone: GoneCheck,
  ): AtMostOnceExecutor {
    return new AtMostOnceExecutor(log, clock, options, isGone);
  }

  /**
   * Runs a request unless another attempt with the same idempotency key may have run it.
   *
   * @param request - the request
   * @param route - the matched route
   * @param owner - this VM's incarnation
   * @param dispatch - sends the request
   * @param signal - aborts when the caller disconnects; a request that was already sent is not aborted
   * @returns the answer, the stored answer of an earlier attempt, or a refusal
   */
  async run(
    request: ServiceRequest,
    route: Route,
    owner: Incarnation,
    dispatch: Dispatch,
    signal: AbortSignal,
  ): Promise<Outcome<ServiceAnswer, Refusal>> {
    const issued = readIssueTime(
      request.idempotencyKey,
      this.clock.wallMs(),
      this.options.windowMs,
    );
    if (issued.kind === 'failed') return issued;
    this.evictExpired();
    const attempt = this.beginAttempt(request, route);
    const appended = await attempt.partition.append({
      format: 1,
      kind: 'intent',
      key: attempt.key,
      attemptId: attempt.attemptId,
      bodyHash: hashBody(request),
      vm: owner.vm,
      incarnation: owner.incarnation,
      issuedMs: issued.value,
    });
    if (appended.kind === 'failed' && appended.failure.reason !== 'unknown') {
      return fail(refuseLogUnavailable());
    }
    const decision = await this.readDecision(attempt, signal);
    return this.applyDecision(decision, attempt, dispatch, signal);
  }

  /** Number of records that the log has not accepted yet. */
  get pendingRecords(): number {
    return this.pending.size;
  }

  /**
   * Waits until the log has accepted all pending records.
   *
   * @param timeoutMs - maximum wait, in milliseconds
   */
  async flush(timeoutMs: number): Promise<void> {
    await this.pending.flush(timeoutMs);
  }

  private beginAttempt(request: ServiceRequest, route: Route): Attempt {
    const key = hashKey(request.team ?? '', route.path, request.idempotencyKey ?? '');
    const monotonicMs = this.clock.monotonicMs();
    return {
      key,
      attemptId: randomUUID(),
      partition: this.partition(partitionOf(key, this.options.partitions)),
      sendDeadline: {
        monotonicMs: monotonicMs + this.options.intentMs,
        wallMs: this.clock.wallMs() + this.options.intentMs,
      },
      answerDeadlineMs: monotonicMs + this.options.intentMs + route.timeoutMs,
    };
  }

  private readDecision(attempt: Attempt, signal: AbortSignal): Promise<LedgerDecision> {
    return attempt.partition.readUntil(
      attempt.key,
      attempt.attemptId,
      (decision) => decision.kind !== 'missing',
      attempt.sendDeadline.monotonicMs,
      signal,
    );
  }

  private async applyDecision(
    decision: LedgerDecision,
    attempt: Attempt,
    dispatch: Dispatch,
    signal: AbortSignal,
  ): Promise<Outcome<ServiceAnswer, Refusal>> {
    if (decision.kind === 'dispatch') return this.dispatchOnce(attempt, dispatch, signal);
    if (decision.kind === 'wait') {
      const later = await this.waitForHolder(decision.holder, attempt, signal);
      if (later.kind !== 'wait') return this.applyDecision(later, attempt, dispatch, signal);
    }
    if (decision.kind === 'replay') return succeed(createReplayedAnswer(decision.outcome));
    if (decision.kind === 'unknown') return fail(refuseUnknown());
    // This attempt is never sent, so its intent must not block later attempts.
    this.abandon(attempt);
    if (decision.kind === 'missing') return fail(refuseLogUnavailable());
    if (decision.kind === 'reused') {
      return fail(
        Refusal.create('idempotency_key_reused', 'the Idempotency-Key came with another body'),
      );
    }
    return fail(refuseUnknown());
  }

  private async waitForHolder(
    holder: Incarnation,
    attempt: Attempt,
    signal: AbortSignal,
  ): Promise<LedgerDecision> {
    const resolved = (decision: LedgerDecision) => decision.kind !== 'wait';
    if (await this.isGone(holder)) {
      // The log may already contain the outcome although this VM has not read it yet.
      const graceDeadlineMs = Math.min(
        attempt.answerDeadlineMs,
        this.clock.monotonicMs() + this.options.intentMs,
      );
      return attempt.partition.readUntil(
        attempt.key,
        attempt.attemptId,
        resolved,
        graceDeadlineMs,
        signal,
      );
    }
    return attempt.partition.readUntil(
      attempt.key,
      attempt.attemptId,
      resolved,
      attempt.answerDeadlineMs,
      signal,
    );
  }

  private async dispatchOnce(
    attempt: Attempt,
    dispatch: Dispatch,
    signal: AbortSignal,
  ): Promise<Outcome<ServiceAnswer, Refusal>> {
    const { monotonicMs, wallMs } = attempt.sendDeadline;
    const mayStillSend = () =>
      !signal.aborted && this.clock.monotonicMs() < monotonicMs && this.clock.wallMs() < wallMs;
    if (!mayStillSend()) {
      this.abandon(attempt);
      return fail(refuseLogUnavailable());
    }
    const result = await dispatch(attempt.attemptId, mayStillSend);
    if (result.kind === 'not run') {
      this.abandon(attempt);
      return fail(result.refusal);
    }
    if (result.kind === 'unknown') {
      this.pending.add(attempt.partition, { ...recordBase(attempt), kind: 'unknown' });
      return fail(result.refusal);
    }
    await this.storeOutcome(attempt, result.answer);
    return succeed(result.answer);
  }

  private async storeOutcome(attempt: Attempt, answer: ServiceAnswer): Promise<void> {
    const record: StoredOutcome = {
      ...recordBase(attempt),
      kind: 'outcome',
      status: answer.status,
      headers: { ...answer.headers },
      body:
        answer.body.length <= MAX_STORED_BODY_BYTES ? answer.body.toString('base64') : undefined,
    };
    const stored = await attempt.partition.append(record);
    if (stored.kind === 'failed') this.pending.add(attempt.partition, record);
  }

  private abandon(attempt: Attempt): void {
    this.pending.add(attempt.partition, { ...recordBase(attempt), kind: 'abandoned' });
  }

  private partition(stream: string): PartitionLog {
    const existing = this.partitions.get(stream);
    if (existing) return existing;
    const created = PartitionLog.create(stream, this.log, this.clock);
    this.partitions.set(stream, created);
    return created;
  }

  private evictExpired(): void {
    if (this.clock.monotonicMs() - this.lastEvictionMs < EVICTION_INTERVAL_MS) return;
    this.lastEvictionMs = this.clock.monotonicMs();
    const beforeMs = this.clock.wallMs() - this.options.windowMs - EVICTION_MARGIN_MS;
    this.partitions.forEach((partition) => partition.evictExpired(beforeMs));
  }
}

function recordBase(attempt: Attempt): { format: 1; key: string; attemptId: string } {
  return { format: 1, key: attempt.key, attemptId: attempt.attemptId };
}

function hashBody(request: ServiceRequest): string {
  return createHash('sha256')
    .update(`${request.method} ${request.target}\n`)
    .update(request.body)
    .digest('hex');
}

function createReplayedAnswer(outcome: StoredOutcome): ServiceAnswer {
  const truncated = outcome.body === undefined;
  return {
    status: outcome.status,
    headers: truncated ? { ...outcome.headers, 'x-cuminspar-body': 'not stored' } : outcome.headers,
    body: Buffer.from(outcome.body ?? '', 'base64'),
    replayed: true,
  };
}

function refuseLogUnavailable(): Refusal {
  return Refusal.create('log_unavailable', 'the log service did not confirm the intent in time', {
    retryAfterMs: 1000,
  });
}

function refuseUnknown(): Refusal {
  return Refusal.create(
    'outcome_unknown',
    'an earlier attempt with this Idempotency-Key may have run; it is not run again',
    { run: 'unknown' },
  );
}
