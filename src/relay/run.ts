import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { RelayPool, RelayRoute } from './relay-configuration.js';
import type { AnswerSink, RelayRequest } from './relay-request.js';
import type { CrashCause } from './crash-ledger.js';
import { listCrashSuspects, listSharedParts } from './crash-suspects.js';
import type { RunContext } from './run-context.js';
import type { TrialPermit } from './crash-trials.js';
import { SendCharges, type SendKind, type SendResult } from './send-charges.js';
import type { CatalogServer } from './server-catalog.js';
import { NO_SHARE_RETRY_MS } from './server-limits.js';
import { provesNotRun, type SendOptions, type UpstreamFailure } from './upstream.js';

/** A request that has been admitted. */
export interface Job {
  readonly request: RelayRequest;
  readonly route: RelayRoute;
  readonly pool: RelayPool;
  readonly team: string | undefined;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Priority that is sent to servers; undefined where all requests of the pool have the same. */
  readonly serverPriority: number | undefined;
  /** False when the team has exhausted its rate and the request runs on capacity that others leave. */
  readonly insideRate: boolean;
  /** Monotonic deadline for the caller's final answer, in milliseconds. */
  readonly endByMs: number;
  readonly sink: AnswerSink;
  /** Aborted when the caller disconnects or at `endByMs`. */
  readonly signal: AbortSignal;
}

/** How a run ended. */
export type RunResult =
  | { readonly kind: 'answered'; readonly server: string; readonly status: number }
  | { readonly kind: 'cut'; readonly server: string; readonly reason: string }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Retry delay for the caller when no server can accept the request now, in milliseconds. */
const NO_SERVER_RETRY_MS = 500;

/** Retry delay for the caller when all servers are in evacuated zones, in milliseconds. */
const EVACUATED_RETRY_MS = 1000;

/** Retry delay for the caller while a trial shows whether requests like its own crash servers, in milliseconds. */
const TRIAL_RETRY_MS = 1000;

/** Silence of a server from which on it may have crashed, in milliseconds. */
const SILENT_MS = 500;

/** Aborts a call to a server that makes no progress in time. */
export interface ProgressTimeout {
  /** Aborted at the end of the run or when the timeout expires. */
  readonly signal: AbortSignal;
  /** Restarts the timeout. */
  readonly refresh: () => void;
  readonly stop: () => void;
  /** True when the timeout, and not the end of the run, aborted the call. */
  readonly expired: () => boolean;
}

/** Runs one admitted request on servers of a pool. */
export abstract class Run {
  /** Ids of servers that this request is not sent to again. */
  protected readonly excluded = new Set<string>();

  /** True once a server may have started to process the request. */
  protected mayHaveRun = false;

  /** Number of sends that may have been processed by a server. */
  protected runs = 0;

  /** When a server last refused this request, as monotonic time in milliseconds, by server id. */
  private readonly refusedMs = new Map<string, number>();

  private readonly charges: SendCharges;

  /** Aborted when the request has ended, so that no server goes on with an answer that nobody reads. */
  private readonly ended = new AbortController();

  /** Set when the request is sent to learn whether one of its prompt parts crashes servers. */
  private trial: TrialPermit | undefined;

  /** What may crash a server; computed when it is first needed. */
  private suspects: readonly string[] | undefined;

  protected constructor(
    protected readonly context: RunContext,
    protected readonly job: Job,
  ) {
    const budget = context.retryBudget(job.pool.name);
    this.charges = SendCharges.create(budget, context.fleetContact);
  }

  /**
   * Runs the request to completion; afterwards the caller has the answer, or the result says why not.
   *
   * @returns how the run ended; a refusal still has to be sent
   */
  async execute(): Promise<RunResult> {
    try {
      const result = this.refuseEvacuated() ?? (await this.runUnlessQuarantined());
      this.charges.refundUnused(this.nowMs);
      return result;
    } finally {
      this.trial?.end('unused');
      this.ended.abort();
    }
  }

  private async runUnlessQuarantined(): Promise<RunResult> {
    const cause = this.findCrashCause();
    if (cause?.isUndecided) await this.acquireTrial(cause);
    return this.isQuarantined() ? this.refuseUnserved('the request may not be sent') : this.run();
  }

  /** Returns whether a server can run the request, rather than only read its prompt. */
  protected canRun(_server: CatalogServer): boolean {
    return true;
  }

  /** Refuses the request at once when all servers that can run it are in evacuated zones. */
  private refuseEvacuated(): RunResult | undefined {
    const { catalog, metrics } = this.context;
    const canRun = (server: CatalogServer) => this.canRun(server);
    if (!catalog.allEvacuated(this.job.pool.name, this.nowMs, canRun)) return undefined;
    const reason = 'all servers of the pool are in evacuated availability zones';
    this.recordDecision('evacuation', 'refuse', reason);
    metrics.increment('evacuations.refused');
    return this.refuse('no_server', reason, EVACUATED_RETRY_MS);
  }

  /** Runs the request; sends that were charged in advance and not used are refunded afterwards. */
  protected abstract run(): Promise<RunResult>;

  protected get nowMs(): number {
    return this.context.clock.monotonicMs();
  }

  protected get remainingMs(): number {
    return this.job.endByMs - this.nowMs;
  }

  protected get pickerFacts() {
    const { loads, health, capacities, availabilityZone } = this.context;
    return { loads, health, capacities, availabilityZone, nowMs: this.nowMs };
  }

  protected sendOptions(server: CatalogServer, signal: AbortSignal): SendOptions {
    const { team, serverPriority: priority } = this.job;
    return {
      deadlineMs: Math.max(1, Math.floor(this.remainingMs)),
      team,
      ...(priority === undefined ? {} : { priority }),
      signal,
      // The server may send a copy of its refusal on the connection, with the id of the request.
      connectedAfterMs: Math.max(
        this.context.health.brokenMs(server.id),
        this.refusedMs.get(server.id) ?? -Infinity,
      ),
    };
  }

  /** Starts a progress timeout for a call; without a time the call is only aborted at the end of the run. */
  protected startProgressTimeout(ms: number | undefined): ProgressTimeout {
    const { signal } = this.job;
    const timeout = new AbortController();
    const timer = ms === undefined ? undefined : setTimeout(() => timeout.abort(), ms);
    return {
      signal: AbortSignal.any([signal, timeout.signal, this.ended.signal]),
      refresh: () => timer?.refresh(),
      stop: () => clearTimeout(timer),
      expired: () => timeout.signal.aborted && !signal.aborted,
    };
  }

  /** Charges several sends in advance, so that they are not begun unless the retry budget covers all. */
  protected prepaySends(kinds: readonly SendKind[]): boolean {
    return this.charges.prepay(kinds, this.nowMs) || this.recordUncovered();
  }

  /**
   * Charges a send that is about to leave; undefined when the retry budget or the limit of the server does
   * not cover it or the request crashes servers. A reserved place is charged to the limit already.
   */
  protected beginSend(
    kind: SendKind,
    server: CatalogServer,
    limitCharge = this.context.limits.tryAcquire(server, this.nowMs),
  ): ((result: SendResult) => void) | undefined {
    if (!limitCharge) return undefined;
    if (this.isEvacuated(server)) {
      limitCharge.refund();
      return undefined;
    }
    const isQuarantined = this.isQuarantined();
    const settle = isQuarantined ? undefined : this.charges.begin(kind, this.nowMs);
    if (!settle) {
      limitCharge.refund();
      if (!isQuarantined) this.recordUncovered();
      return undefined;
    }
    limitCharge.begin(this.nowMs);
    return (result) => {
      if (result === 'unsent') limitCharge.refund();
      settle(result, this.nowMs);
    };
  }

  /** Returns whether a server that was chosen earlier is in a zone that has been evacuated since. */
  protected isEvacuated(server: CatalogServer): boolean {
    if (!this.context.catalog.isEvacuated(server)) return false;
    const reason = 'the availability zone of the server has been evacuated';
    this.recordDecision('evacuation', server.id, reason);
    this.context.metrics.increment('evacuations.avoided');
    return true;
  }

  /** Lists the servers that may get another request now, as far as the limits that they name allow. */
  protected selectAllowed(servers: readonly CatalogServer[]): CatalogServer[] {
    const allowed = this.context.limits.select(servers, this.nowMs);
    if (allowed.length > 0 && allowed.length < servers.length)
      this.context.metrics.increment('limits.elsewhere');
    return allowed;
  }

  protected refuseBeyondLimits(waitMs: number, servers: number): RunResult {
    const retryAfterMs = Number.isFinite(waitMs) ? waitMs : NO_SHARE_RETRY_MS;
    const reason = 'the rates of the servers are used up';
    const facts = { servers, retryAfterMs: Math.round(retryAfterMs) };
    this.recordDecision('limit', 'refuse', reason, facts);
    this.context.metrics.increment('limits.refused');
    return this.refuse('overloaded', reason, retryAfterMs);
  }

  private recordUncovered(): false {
    const { retryBudget, fleetContact } = this.context;
    const contact = fleetContact();
    const { used, left } = retryBudget(this.job.pool.name).assess(contact, this.nowMs);
    const { size: vms, reachable } = contact;
    const facts = { used, left: Math.round(10 * left) / 10, vms, reachable };
    this.recordDecision('retry', 'refuse', 'the retry budget does not cover another send', facts);
    this.context.metrics.increment('retries.refused');
    return false;
  }

  protected recordFailure(server: CatalogServer, failure: UpstreamFailure): void {
    const { health, metrics } = this.context;
    this.excluded.add(server.id);
    if (provesNotRun(failure)) this.refusedMs.set(server.id, this.nowMs);
    metrics.increment('upstream.failures', { reason: failure });
    if (failure === 'unsent') health.record(server.id, 'unreachable', this.nowMs);
    else if (failure === 'silent') health.record(server.id, 'silent', this.nowMs);
    else if (failure === 'broken') health.record(server.id, 'broken', this.nowMs);
    else if (failure === 'not-run') health.record(server.id, 'full', this.nowMs);
  }

  /**
   * Records that a connection broke, or that its server was silent, before the server had answered, so that the
   * request may be the cause. A connection that this VM has closed itself is no evidence unless the server was
   * silent; then its next start is the evidence.
   */
  protected recordUnanswered(
    server: CatalogServer,
    { answeredMs = 0, silentMs = 0 }: { answeredMs?: number; silentMs?: number } = {},
  ): void {
    const isSilent = silentMs >= SILENT_MS;
    if (this.job.signal.aborted && !isSilent) return;
    const [fingerprint = ''] = this.listSuspects();
    const parts = this.job.request.promptParts.map(({ id }) => id).join(' ');
    const facts = { fingerprint, runs: this.runs, answeredMs: Math.round(answeredMs) };
    const end = { answeredMs, isSilent };
    this.context.crashes.recordUnanswered(server, this.listSuspects(), this.nowMs, end);
    this.trial?.end('broken');
    const reason = isSilent
      ? 'the server was silent before it had answered'
      : 'the connection broke before the server had answered';
    this.recordDecision('unanswered', server.id, reason, { ...facts, ...(parts ? { parts } : {}) });
    this.context.metrics.increment('upstream.unanswered');
  }

  /** Records a call without an answer when the request may be the cause. */
  protected recordUnansweredCall(
    server: CatalogServer,
    failure: UpstreamFailure,
    sentMs: number,
  ): void {
    const silentMs = failure === 'silent' || failure === 'cancelled' ? this.nowMs - sentMs : 0;
    if (failure === 'broken' || silentMs > 0) this.recordUnanswered(server, { silentMs });
  }

  /** Records that a server has answered, so that the request does not crash servers. */
  protected recordAnswered(): void {
    const parts = listSharedParts(this.job.request);
    this.context.crashes.recordAnswered(parts, () => this.listSuspects(), this.nowMs);
    this.trial?.end('sound');
  }

  /** Returns whether the request must not be sent because it crashes servers. */
  protected isQuarantined(): boolean {
    const cause = this.findCrashCause();
    if (!cause) return false;
    const facts = describeCause(cause);
    if (cause.isUndecided && this.trial && !this.mayHaveRun) return false;
    this.recordDecision('crashes', 'refuse', 'servers crash when they run the request', facts);
    this.context.metrics.increment('requests.quarantined');
    return true;
  }

  /** Asks for a trial, because another part may crash servers in place of those of the request. */
  private async acquireTrial(cause: CrashCause): Promise<void> {
    const { metrics } = this.context;
    this.trial = await this.context.acquireTrial(cause.group);
    metrics.increment('trials.asked', { result: this.trial ? 'granted' : 'refused' });
    if (!this.trial) return;
    const reason = 'another prompt part may crash servers';
    this.recordDecision('crashes', 'try', reason, describeCause(cause));
    metrics.increment('requests.tried');
  }

  private findCrashCause(): CrashCause | undefined {
    return this.context.crashes.findCause(() => this.listSuspects(), this.nowMs);
  }

  private listSuspects(): readonly string[] {
    this.suspects ??= listCrashSuspects(this.job.request, this.job.team);
    return this.suspects;
  }

  protected recordDecision(
    step: string,
    choice: string,
    reason: string,
    facts: Readonly<Record<string, string | number | boolean>> = {},
  ): void {
    const { requestId, arrivedMs } = this.job.request;
    const atMs = Math.round(this.nowMs - arrivedMs);
    this.context.decisions.record({ requestId, step, choice, reason, facts: { atMs, ...facts } });
  }

  protected refuse(code: RefusalCode, message: string, retryAfterMs?: number): RunResult {
    const run = this.mayHaveRun ? 'unknown' : 'not run';
    return { kind: 'refused', refusal: Refusal.create(code, message, { run, retryAfterMs }) };
  }

  /** Creates the refusal that applies when no server is left to try. */
  protected refuseUnserved(message: string): RunResult {
    if (this.job.sink.closed) return this.refuse('cancelled', 'the caller has left');
    if (this.remainingMs <= 0)
      return this.refuse('server_timeout', 'the time for the request is over');
    if (this.mayHaveRun) return this.refuse('server_failed', message);
    const cause = this.findCrashCause();
    if (cause) {
      return this.refuse(
        'quarantined',
        'servers crash when they run the request',
        cause.isUndecided ? TRIAL_RETRY_MS : cause.remainingMs,
      );
    }
    return this.refuse('overloaded', message, NO_SERVER_RETRY_MS);
  }
}

function describeCause({ suspect, crashes, remainingMs, isUndecided }: CrashCause) {
  return { suspect, crashes, remainingMs: Math.round(remainingMs), isUndecided };
}
