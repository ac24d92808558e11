import { randomUUID } from 'node:crypto';

import { Refusal } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { PeerHandlers } from '../peers/peers.js';
import type { Settings } from '../settings/schema.js';
import { AdmissionStatistics } from './admission-statistics.js';
import { AdmissionTask } from './admission-task.js';
import { Admission, type AdmissionRequest } from './admission.js';
import { DeathReports } from './death-reports.js';
import { FleetView } from './fleet-view.js';
import type { Grant } from './grant.js';
import { HomeAssignment } from './home-assignment.js';
import type { ShareGrant } from './home-shares.js';
import { SharedGrant } from './shared-grant.js';
import {
  type Admitted,
  type DebitPart,
  sumGranted,
  type WaitingRequest,
} from './waiting-request.js';

/** Interval at which gauges are reported and unused state is evicted. */
const TICK_INTERVAL_MS = 1000;

/** Retry delay returned to a sender that has been removed from the fleet. */
const REMOVED_SENDER_RETRY_MS = 1000;

/** Refusal codes that count as unserved demand of a team. */
const UNSERVED_CODES = new Set<string>(['rate_exceeded', 'overloaded']);

/** Admission whose team rates are shared by home VMs; see docs/design.md, section 6.1. */
export class SharedAdmission extends Admission {
  private readonly homeAssignment: HomeAssignment;

  private readonly task: AdmissionTask;

  private readonly deathReports: DeathReports;

  private readonly fleet: FleetView;

  private readonly statistics = AdmissionStatistics.create();

  private stopped = false;

  private tickSleep = new AbortController();

  private constructor(
    private readonly kernel: Kernel,
    settings: Pick<Settings, 'rates'>,
    private readonly clock: Clock,
  ) {
    super();
    this.homeAssignment = HomeAssignment.create(settings.rates.homeCount);
    this.task = AdmissionTask.create(kernel, clock, this.homeAssignment);
    this.deathReports = DeathReports.create(kernel, clock);
    this.fleet = FleetView.create(kernel, clock, () => undefined);
  }

  /**
   * Creates the service.
   *
   * @param kernel - finds the other services
   * @param settings - number of homes per team
   * @param clock - source of time
   * @returns a new service
   */
  static create(kernel: Kernel, settings: Pick<Settings, 'rates'>, clock: Clock): SharedAdmission {
    return new SharedAdmission(kernel, settings, clock);
  }

  /** Number of teams that have a token bucket on this VM. */
  get bucketCount(): number {
    return this.task.bucketCount;
  }

  override async start(): Promise<void> {
    const membership = this.kernel.find('membership');
    this.kernel.find('peers').handle(this.createHandlers());
    this.task.run();
    void membership.changes().forEach(() => this.task.send({ kind: 'facts-changed' }));
    void membership.reincarnations().forEach(() => this.task.send({ kind: 'reset' }));
    const configuration = this.kernel.find('configuration');
    void configuration.changes().forEach(() => this.task.send({ kind: 'facts-changed' }));
    void this.tick();
    await Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.stopped = true;
    this.tickSleep.abort();
    this.task.send({ kind: 'stop' });
    await Promise.resolve();
  }

  override async admit(request: AdmissionRequest): Promise<Outcome<Grant, Refusal>> {
    const enqueuedMs = this.clock.monotonicMs();
    const tokens = Math.ceil(request.promptTokens + request.maxTokens);
    const refusal = this.findImmediateRefusal(request, tokens);
    const outcome = refusal ? fail(refusal) : await this.wait(request, tokens, enqueuedMs);
    this.recordOutcome(request, tokens, enqueuedMs, outcome);
    if (outcome.kind === 'failed') return outcome;
    return succeed(this.createGrant(request, outcome.value));
  }

  override homes(team: string): readonly string[] {
    const epoch = this.kernel.find('membership').current();
    return this.homeAssignment.homes(team, epoch).map((home) => home.vm);
  }

  override reportDeath(
    server: string,
    fingerprints: readonly string[],
    incarnation = '',
  ): Promise<void> {
    return this.deathReports.add({ deathId: randomUUID(), server, fingerprints, incarnation });
  }

  override capacityChanged(): void {
    this.task.send({ kind: 'wake' });
  }

  /** Returns the refusal of a request that is not queued at all, or undefined when it may wait. */
  private findImmediateRefusal(request: AdmissionRequest, tokens: number): Refusal | undefined {
    if (request.signal.aborted)
      return Refusal.create('cancelled', 'the caller closed the connection');
    if (!this.kernel.find('membership').leaseLive()) {
      return Refusal.create('isolated', 'this VM has lost contact with the others');
    }
    const preset = this.fleet.preset();
    if (!preset) return Refusal.create('not_ready', 'the configuration has not been read yet');
    if (preset.maintenance) return Refusal.create('maintenance', 'the system is under maintenance');
    const retryAfterMs = this.deathReports.remainingMs(request.fingerprint);
    if (retryAfterMs !== undefined) {
      const message = 'servers died while they ran this request';
      return Refusal.create('quarantined', message, { retryAfterMs });
    }
    return this.checkBurst(request.team, tokens);
  }

  private checkBurst(team: string, tokens: number): Refusal | undefined {
    const limits = this.fleet.limitsOf(team);
    if (!limits) return Refusal.create('key_unknown', 'the team of this key does not exist');
    const homes = Math.max(1, this.homes(team).length);
    const limit = homes * Math.floor(limits.burst / homes);
    if (tokens <= limit) return undefined;
    const message = `the request needs ${tokens} tokens, the team can use at most ${limit} at once`;
    return Refusal.create('prompt_exceeds_burst', message);
  }

  private wait(
    request: AdmissionRequest,
    tokens: number,
    enqueuedMs: number,
  ): Promise<Outcome<Admitted, Refusal>> {
    const preset = this.fleet.preset();
    const firstTokenDueMs = request.arrivedMs + (preset?.firstTokenMs ?? 0);
    return this.enqueue(request.signal, {
      requestId: request.requestId,
      team: request.team,
      weight: this.fleet.team(request.team)?.weight ?? 1,
      cost: tokens,
      maxRefundTokens: request.maxTokens,
      promptTokens: request.promptTokens,
      firstTokenDueMs,
      startByMs: firstTokenDueMs - this.estimatePrefillMs(request),
      model: request.model ?? '',
      enqueuedMs,
      deadlineMs: Math.max(enqueuedMs, request.arrivedMs + (preset?.queueMs ?? 0)),
      waitsFor: 'capacity',
      late: false,
      finished: false,
    });
  }

  /** Estimates the duration of a request's own prefill, without the queue ahead of it. */
  private estimatePrefillMs({ model, promptTokens }: AdmissionRequest): number {
    if (!model) return 0;
    const routing = this.kernel.find('routing');
    return routing.prefillWaitMs(model, promptTokens) - routing.prefillWaitMs(model);
  }

  private enqueue(
    signal: AbortSignal | undefined,
    request: Omit<WaitingRequest, 'finish'>,
  ): Promise<Outcome<Admitted, Refusal>> {
    return new Promise((resolve) => {
      const waiting: WaitingRequest = Object.assign(request, { finish: resolve });
      const abandon = () => this.task.send({ kind: 'abandon', request: waiting });
      signal?.addEventListener('abort', abandon, { once: true });
      Object.assign(waiting, {
        finish: (outcome: Outcome<Admitted, Refusal>) => {
          signal?.removeEventListener('abort', abandon);
          resolve(outcome);
        },
      });
      this.task.send({ kind: 'wait', request: waiting });
    });
  }

  private createGrant(request: AdmissionRequest, admitted: Admitted): Grant {
    const { team } = request;
    let maxRefundTokens = request.maxTokens;
    return SharedGrant.create(admitted, this.deathReports.isSuspect(request.fingerprint), {
      clock: this.clock,
      leaseLive: () => this.kernel.find('membership').leaseLive(),
      refund: (parts: readonly DebitPart[], unusedTokens: number) => {
        this.task.send({ kind: 'settle', team, parts, unusedTokens, maxRefundTokens });
        maxRefundTokens = 0;
      },
      refundAll: (parts: readonly DebitPart[]) => {
        this.task.send({
          kind: 'settle',
          team,
          parts,
          unusedTokens: sumGranted(parts),
          maxRefundTokens: 0,
        });
      },
      debit: (tokens: number) => this.extend(request, Math.ceil(tokens)),
    });
  }

  /**
   * Debits more tokens for a request that has been admitted. The debit is served before all waiting
   * requests of its team.
   */
  private extend(request: AdmissionRequest, tokens: number): Promise<Outcome<Admitted, Refusal>> {
    const enqueuedMs = this.clock.monotonicMs();
    const refusal = this.checkBurst(request.team, tokens);
    if (refusal) return Promise.resolve(fail(refusal));
    return this.enqueue(undefined, {
      requestId: request.requestId,
      team: request.team,
      weight: this.fleet.team(request.team)?.weight ?? 1,
      cost: tokens,
      maxRefundTokens: 0,
      promptTokens: 0,
      firstTokenDueMs: -Infinity,
      startByMs: -Infinity,
      model: '',
      enqueuedMs,
      deadlineMs: enqueuedMs + (this.fleet.preset()?.queueMs ?? 0),
      waitsFor: 'tokens',
      late: false,
      finished: false,
    });
  }

  private createHandlers(): PeerHandlers {
    return {
      debit: async (call) => {
        const epoch = () => BigInt(this.kernel.find('membership').current().epoch);
        if (!call.sender || (await this.kernel.find('membership').hasEnded(call.sender))) {
          return { granted: 0n, retryAfterMs: REMOVED_SENDER_RETRY_MS, epoch: epoch() };
        }
        const debit = { team: call.team, tokens: Number(call.tokens), debitId: call.debitId };
        const grant = await this.task.ask<ShareGrant>((reply) => ({
          kind: 'peer-debit',
          debit,
          reply,
        }));
        const { granted, retryAfterMs } = grant;
        return { granted: BigInt(granted), retryAfterMs, epoch: epoch() };
      },
      refund: async (call) => {
        const refund = { team: call.team, tokens: Number(call.tokens), debitId: call.debitId };
        await this.task.ask<void>((reply) => ({ kind: 'peer-refund', refund, reply }));
        return {};
      },
      reportDeaths: async (call) => {
        const { sender } = call;
        if (!sender || (await this.kernel.find('membership').hasEnded(sender))) return {};
        call.deaths.forEach((death) => {
          void this.deathReports.add(death);
        });
        return {};
      },
    };
  }

  private recordOutcome(
    request: AdmissionRequest,
    tokens: number,
    enqueuedMs: number,
    outcome: Outcome<Admitted, Refusal>,
  ): void {
    const nowMs = this.clock.monotonicMs();
    const code = outcome.kind === 'ok' ? 'admitted' : outcome.failure.code;
    const metrics = this.kernel.find('metrics');
    if (outcome.kind === 'ok') metrics.increment('admission.admitted');
    else metrics.increment('admission.refused', { code });
    metrics.timing('admission.wait', nowMs - enqueuedMs);
    const served = outcome.kind === 'ok';
    if (served || UNSERVED_CODES.has(code)) {
      this.statistics.record(request.team, tokens, served, nowMs);
    }
    this.kernel.find('decisions').record({
      requestId: request.requestId,
      step: 'admission',
      choice: outcome.kind === 'ok' ? 'admitted' : 'refused',
      reason:
        outcome.kind === 'ok' ? "the team's home VMs granted the tokens" : outcome.failure.message,
      facts: { code, tokens, ...this.collectFacts(request, nowMs - enqueuedMs, outcome) },
    });
  }

  private collectFacts(
    request: AdmissionRequest,
    waitedMs: number,
    outcome: Outcome<Admitted, Refusal>,
  ): Record<string, string | number | boolean> {
    const limits = this.fleet.limitsOf(request.team);
    const parts = outcome.kind === 'ok' ? outcome.value.funding.parts : [];
    return {
      team: request.team,
      model: request.model ?? '',
      waitedMs: Math.round(waitedMs),
      waiting: this.task.waitingCount,
      rate: limits?.rate ?? 0,
      burst: limits?.burst ?? 0,
      homes: this.homes(request.team).join(' '),
      parts: parts.map((part) => `${part.home.vm}=${part.granted}`).join(' '),
      ...this.collectRefusalFacts(request, outcome),
    };
  }

  private collectRefusalFacts(
    request: AdmissionRequest,
    outcome: Outcome<Admitted, Refusal>,
  ): Record<string, number> {
    if (outcome.kind === 'ok') return {};
    const retryAfterMs = outcome.failure.retryAfterMs ?? 0;
    const facts = { retryAfterMs, ...this.task.describeSupply(request.team) };
    if (!request.model) return facts;
    return { ...facts, headroom: this.kernel.find('routing').headroom(request.model) };
  }

  private async tick(): Promise<void> {
    while (!this.stopped) {
      this.task.send({ kind: 'tick' });
      const metrics = this.kernel.find('metrics');
      metrics.gauge('admission.queue_length', this.task.waitingCount);
      metrics.gauge('admission.buckets', this.task.bucketCount);
      const rateOf = (team: string) => this.fleet.limitsOf(team)?.rate ?? 0;
      const worst = this.statistics.findWorstServed(rateOf, this.clock.monotonicMs());
      if (worst) metrics.gauge('admission.worst_served', worst.share, { team: worst.team });
      this.tickSleep = new AbortController();
      await this.clock.sleep(TICK_INTERVAL_MS, this.tickSleep.signal);
    }
  }
}
