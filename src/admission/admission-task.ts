import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { fail, succeed } from '../kernel/outcome.js';
import { Task } from '../kernel/task.js';
import type { AdmissionMessage, FundingAttempt } from './admission-message.js';
import { FleetView } from './fleet-view.js';
import type { HomeAssignment } from './home-assignment.js';
import { IndexedHeap } from './indexed-heap.js';
import { ModelCapacity } from './model-capacity.js';
import { ModelQueues, type ModelQueue } from './model-queues.js';
import { TeamDemand } from './team-demand.js';
import { TeamSupplies } from './team-supplies.js';
import { MIN_TOKEN_WAIT_MS, type TeamSupply } from './team-supply.js';
import { createEmptyGrant, TokenCollector } from './token-collector.js';
import {
  type DebitPart,
  type Funding,
  sumGranted,
  type SlotHold,
  type WaitingRequest,
} from './waiting-request.js';
import { WakeTimer } from './wake-timer.js';

/**
 * How often capacity is polled while requests wait for it. Load also changes without a wake-up
 * message.
 */
const CAPACITY_POLL_INTERVAL_MS = 20;

/**
 * Maximum time for which a team is blocked before its homes are asked again. Refunds from other VMs
 * may have reached the homes in the meantime.
 */
const MAX_BLOCK_MS = 250;

/** Schedules the waiting requests of this VM and refuses those that wait past their deadline. */
export class AdmissionTask extends Task<AdmissionMessage> {
  private readonly modelQueues = ModelQueues.create();

  private readonly supplies = TeamSupplies.create(this.modelQueues);

  private readonly demand = TeamDemand.create();

  private readonly deadlines = IndexedHeap.create<WaitingRequest>(
    (left, right) => left.deadlineMs < right.deadlineMs,
  );

  private readonly fleet: FleetView;

  private readonly capacity: ModelCapacity;

  private readonly collector: TokenCollector;

  private readonly wakeTimer: WakeTimer;

  private stopped = false;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    homeAssignment: HomeAssignment,
  ) {
    super();
    this.fleet = FleetView.create(kernel, clock, () => this.send({ kind: 'wake' }));
    this.capacity = ModelCapacity.create(kernel, this.fleet);
    this.collector = TokenCollector.create(kernel, clock, homeAssignment, this.fleet, (attempt) =>
      this.send({ kind: 'collected', attempt }),
    );
    this.wakeTimer = WakeTimer.create(clock, () => this.send({ kind: 'wake' }));
  }

  /**
   * Creates the task. It handles messages once `run` has been called.
   *
   * @param kernel - finds the services that the task uses
   * @param clock - source of time
   * @param homeAssignment - assigns home VMs to teams
   * @returns a new task
   */
  static create(kernel: Kernel, clock: Clock, homeAssignment: HomeAssignment): AdmissionTask {
    return new AdmissionTask(kernel, clock, homeAssignment);
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.deadlines.size;
  }

  /** Number of teams that have a token bucket on this VM. */
  get bucketCount(): number {
    return this.collector.bucketCount;
  }

  /**
   * Describes the last known token supply of a team.
   *
   * @param team - name of the team
   * @returns facts for the decision record
   */
  describeSupply(team: string): Record<string, number> {
    return this.supplies.getOrCreate(team).describe(this.clock.monotonicMs());
  }

  protected override receive(message: AdmissionMessage): void {
    switch (message.kind) {
      case 'wait':
        this.enqueue(message.request);
        break;
      case 'abandon':
        this.refuse(message.request, 'cancelled', 'the caller closed the connection');
        break;
      case 'collected':
        this.endDebit(message.attempt);
        break;
      case 'settle':
        this.settle(message.team, message.parts, message.unusedTokens, message.maxRefundTokens);
        break;
      case 'peer-debit':
        message.reply(
          this.stopped ? createEmptyGrant() : this.collector.debitForPeer(message.debit),
        );
        return;
      case 'peer-refund':
        this.collector.refundForPeer(message.refund);
        this.recordRefund(message.refund.team, message.refund.tokens);
        message.reply();
        break;
      case 'reset':
        this.collector.reset();
        break;
      case 'facts-changed':
        this.collector.applyFleetChanges();
        break;
      case 'tick':
        this.collector.applyFleetChanges();
        this.evictIdle();
        break;
      case 'stop':
        this.stop();
        break;
      default:
    }
    this.serve();
  }

  private enqueue(request: WaitingRequest): void {
    if (request.finished) return;
    this.deadlines.upsert(request);
    this.recordDemand(request);
    const modelQueue = this.modelQueues.getOrCreate(request.model);
    modelQueue.reserve.recordOutput(request.maxRefundTokens);
    const evicted = modelQueue.onTimeQueue.push(request);
    if (evicted) this.refuseOverloaded(evicted);
    this.unblockForSmaller(request);
  }

  private recordDemand({ team, cost }: WaitingRequest): void {
    const limits = this.fleet.limitsOf(team);
    const nowMs = this.clock.monotonicMs();
    if (!limits || !this.demand.exceeds(team, cost, limits, nowMs)) return;
    Object.assign(this.supplies.getOrCreate(team), { lastShortMs: nowMs });
  }

  /**
   * Unblocks a team that waits for tokens when the new request is small enough to be paid now. The
   * larger request that blocks the team keeps waiting.
   */
  private unblockForSmaller({ team, cost }: WaitingRequest): void {
    const supply = this.supplies.getOrCreate(team);
    const nowMs = this.clock.monotonicMs();
    const isShort = supply.msUntilAvailable(cost, nowMs) > 0;
    if (supply.waitsForTokens && !isShort) this.supplies.unblock(supply, nowMs);
  }

  /** Admits requests until capacity or tokens run out, then refuses those past their deadline. */
  private serve(): void {
    if (this.stopped) return;
    const nowMs = this.clock.monotonicMs();
    this.supplies.unblockExpired(nowMs);
    if (this.deadlines.size > 0 && !this.kernel.find('membership').leaseLive())
      this.refuseIsolated();
    this.modelQueues.all().forEach((modelQueue) => this.serveModel(modelQueue, nowMs));
    this.refuseExpired(nowMs);
    this.wakeTimer.set(this.findNextWakeMs(nowMs), nowMs);
  }

  private serveModel(modelQueue: ModelQueue, nowMs: number): void {
    this.modelQueues.releaseExpiredHolds(modelQueue, nowMs);
    while (this.serveNext(modelQueue, nowMs));
  }

  /**
   * Handles one request. A late request is considered only when no request that is still on time
   * can use the capacity.
   */
  private serveNext(modelQueue: ModelQueue, nowMs: number): boolean {
    const onTime = modelQueue.onTimeQueue.peek();
    if (onTime && this.capacity.missesFirstTokenTarget(onTime, nowMs)) {
      this.demote(modelQueue, onTime);
      return true;
    }
    const late = modelQueue.lateQueue.peek();
    const yields = onTime && late && this.yieldsTo(onTime, late, nowMs);
    const request = yields ? late : (onTime ?? late);
    if (!request) return false;
    const reserve = onTime ? 0 : this.capacity.lateReserve(modelQueue, request);
    if (!this.capacity.hasFreeSlot(modelQueue, reserve)) return false;
    request.waitsFor = 'tokens';
    const supply = this.supplies.getOrCreate(request.team);
    if (supply.isKnownShort(request.cost, nowMs)) {
      this.waitForTokens(supply, modelQueue, nowMs);
      return true;
    }
    const isExcess = supply.wasRecentlyShort(nowMs);
    if (
      !this.capacity.hasFreeSlot(
        modelQueue,
        isExcess ? this.capacity.excessReserve(modelQueue, request) : 0,
      )
    ) {
      this.supplies.blockUntil(supply, nowMs + CAPACITY_POLL_INTERVAL_MS);
      return true;
    }
    this.queueOf(modelQueue, request).take(request);
    this.collect(request, this.modelQueues.holdSlot(modelQueue, nowMs));
    return true;
  }

  /** A team beyond its rate is served after the late requests of teams within their rates. */
  private yieldsTo(onTime: WaitingRequest, late: WaitingRequest, nowMs: number): boolean {
    const isShort = ({ team }: WaitingRequest) =>
      this.supplies.getOrCreate(team).wasRecentlyShort(nowMs);
    return isShort(onTime) && !isShort(late);
  }

  private demote(modelQueue: ModelQueue, request: WaitingRequest): void {
    modelQueue.onTimeQueue.remove(request);
    Object.assign(request, { late: true });
    const evicted = modelQueue.lateQueue.push(request);
    if (evicted) this.refuseOverloaded(evicted);
  }

  private queueOf(modelQueue: ModelQueue, request: WaitingRequest): ModelQueue['onTimeQueue'] {
    return request.late ? modelQueue.lateQueue : modelQueue.onTimeQueue;
  }

  private collect(request: WaitingRequest, hold: SlotHold): void {
    const attempt = this.collector.collect(request, hold);
    if (attempt) this.finishAttempt(attempt);
    else this.supplies.beginDebit(this.supplies.getOrCreate(request.team), hold.heldSinceMs);
  }

  private endDebit(attempt: FundingAttempt): void {
    const supply = this.supplies.getOrCreate(attempt.request.team);
    this.supplies.endDebit(supply, this.clock.monotonicMs());
    this.finishAttempt(attempt);
  }

  private finishAttempt(attempt: FundingAttempt): void {
    const { request, hold, funding } = attempt;
    const { team, cost } = request;
    const complete = sumGranted(funding.parts) >= cost;
    if (complete && !request.finished) {
      this.finishAdmission(request, funding, hold);
      return;
    }
    hold.release();
    const supply = this.supplies.getOrCreate(team);
    supply.update(this.collector.readSupply(attempt));
    funding.parts.forEach((part) => this.collector.refund(team, part, part.granted));
    const modelQueue = this.modelQueues.getOrCreate(request.model);
    if (request.finished) {
      this.queueOf(modelQueue, request).refundCharge(request);
      return;
    }
    const evicted = this.queueOf(modelQueue, request).requeue(request);
    if (evicted) this.refuseOverloaded(evicted);
    this.waitForTokens(supply, modelQueue, this.clock.monotonicMs());
  }

  private finishAdmission(request: WaitingRequest, funding: Funding, hold: SlotHold): void {
    Object.assign(hold, { heldSinceMs: this.clock.monotonicMs() });
    this.supplies.getOrCreate(request.team).refundable += request.maxRefundTokens;
    this.markFinished(request);
    request.finish(succeed({ funding, hold }));
  }

  /**
   * Refuses the team's requests that cannot meet their deadline, and blocks the team until tokens
   * are expected. `nowMs` must be the time of the check that found the team short of tokens. With a
   * later time, the estimate might show enough tokens, and the team would be neither served nor
   * blocked.
   */
  private waitForTokens(supply: TeamSupply, modelQueue: ModelQueue, nowMs: number): void {
    if (supply.homesAnswered) Object.assign(supply, { lastShortMs: nowMs });
    let head = this.headOf(modelQueue, supply.team);
    while (head) {
      const waitMs = supply.msUntilAvailable(head.cost, nowMs);
      if (supply.cannotMeetDeadline(head.cost, head.deadlineMs, nowMs))
        this.refuseRate(head, waitMs);
      else if (!head.late && this.capacity.missesFirstTokenTarget(head, nowMs + waitMs))
        this.demote(modelQueue, head);
      else break;
      head = this.headOf(modelQueue, supply.team);
    }
    if (!head) return;
    // At a high rate the estimate may show enough tokens although the homes granted none. Without a
    // minimum wait, the debit would be repeated at once in an endless loop that blocks the event
    // loop.
    const waitMs = Math.max(MIN_TOKEN_WAIT_MS, supply.msUntilAvailable(head.cost, nowMs));
    this.supplies.blockUntil(supply, nowMs + Math.min(waitMs, MAX_BLOCK_MS));
  }

  private headOf(modelQueue: ModelQueue, team: string): WaitingRequest | undefined {
    return modelQueue.onTimeQueue.peekTeam(team) ?? modelQueue.lateQueue.peekTeam(team);
  }

  private settle(
    team: string,
    parts: readonly DebitPart[],
    unusedTokens: number,
    maxRefundTokens: number,
  ): void {
    const supply = this.supplies.getOrCreate(team);
    supply.refundable = Math.max(0, supply.refundable - maxRefundTokens);
    this.demand.refund(team, unusedTokens);
    let left = unusedTokens;
    for (const part of [...parts].reverse()) {
      const returned = Math.min(left, part.granted);
      if (returned > 0) this.collector.refund(team, part, returned);
      left -= returned;
    }
    if (unusedTokens > 0) this.recordRefund(team, unusedTokens);
  }

  private recordRefund(team: string, tokens: number): void {
    this.supplies.recordRefund(team, tokens, this.clock.monotonicMs());
  }

  private evictIdle(): void {
    this.collector.evictIdle();
    this.modelQueues.evictUnused();
    this.supplies.evictUnused();
    this.demand.evictIdle(this.clock.monotonicMs());
  }

  private refuseExpired(nowMs: number): void {
    for (;;) {
      const request = this.deadlines.peek();
      if (!request || request.deadlineMs > nowMs) return;
      if (request.waitsFor === 'capacity' && !this.supplies.isBlocked(request.team)) {
        this.refuseOverloaded(request);
      } else
        this.refuseRate(
          request,
          this.supplies.getOrCreate(request.team).msUntilAvailable(request.cost, nowMs),
        );
    }
  }

  private refuseIsolated(): void {
    for (let request = this.deadlines.peek(); request; request = this.deadlines.peek()) {
      this.refuse(request, 'isolated', 'this VM has lost contact with the others');
    }
  }

  private refuseOverloaded(request: WaitingRequest): void {
    const waitMs =
      request.model === '' ? 0 : this.kernel.find('routing').prefillWaitMs(request.model);
    this.refuse(request, 'overloaded', 'no capacity became free in time', Math.max(1000, waitMs));
  }

  private refuseRate(request: WaitingRequest, waitMs: number): void {
    const retryAfterMs = Math.max(1, Math.ceil(waitMs));
    this.refuse(request, 'rate_exceeded', 'the team has used its tokens', retryAfterMs);
  }

  private refuse(
    request: WaitingRequest,
    code: RefusalCode,
    message: string,
    retryAfterMs?: number,
  ): void {
    if (request.finished) return;
    const modelQueue = this.modelQueues.getOrCreate(request.model);
    this.queueOf(modelQueue, request).remove(request);
    this.markFinished(request);
    request.finish(fail(Refusal.create(code, message, { retryAfterMs })));
  }

  private markFinished(request: WaitingRequest): void {
    Object.assign(request, { finished: true });
    this.deadlines.remove(request);
  }

  private stop(): void {
    for (let request = this.deadlines.peek(); request; request = this.deadlines.peek()) {
      this.refuse(request, 'draining', 'this VM is shutting down');
    }
    this.stopped = true;
    this.wakeTimer.clear();
  }

  /**
   * Finds the earliest of the next deadline, the next end of a block and the next capacity poll.
   */
  private findNextWakeMs(nowMs: number): number {
    const capacity = this.modelQueues
      .all()
      .some(
        (modelQueue) =>
          (modelQueue.onTimeQueue.peek() ?? modelQueue.lateQueue.peek()) !== undefined,
      );
    return Math.min(
      this.deadlines.peek()?.deadlineMs ?? Infinity,
      this.supplies.nextUnblockMs,
      capacity ? nowMs + CAPACITY_POLL_INTERVAL_MS : Infinity,
    );
  }
}
