import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { fail, succeed } from '../kernel/outcome.js';
import { Task } from '../kernel/task.js';
import { AdmissionLanes, type Lane } from './admission-lanes.js';
import type { AdmissionMessage, Collection } from './admission-message.js';
import { FleetFacts } from './fleet-facts.js';
import { IndexedHeap } from './indexed-heap.js';
import { LaneCapacity } from './lane-capacity.js';
import type { ShareTable } from './share-table.js';
import { TeamDemand } from './team-demand.js';
import { TeamSupplies } from './team-supplies.js';
import { SHORTEST_WAIT_MS, type TeamSupply } from './team-supply.js';
import { refuseDebit, TokenCollector } from './token-collector.js';
import { WakeAlarm } from './wake-alarm.js';
import {
  type DebitPart,
  type Funding,
  sumGranted,
  type Turn,
  type WaitingRequest,
} from './waiting-request.js';

/** How often capacity is read again while requests wait for it; load also changes without notice. */
const CAPACITY_POLL_MS = 20;

/** Longest wait before homes are asked again; refunds of other VMs may have arrived there. */
const LONGEST_BLOCK_MS = 250;

/** Gives turns to the requests of this VM and refuses those that wait too long. */
export class AdmissionTask extends Task<AdmissionMessage> {
  private readonly lanes = AdmissionLanes.create();

  private readonly supplies = TeamSupplies.create(this.lanes);

  private readonly demand = TeamDemand.create();

  private readonly deadlines = IndexedHeap.create<WaitingRequest>(
    (left, right) => left.deadlineMs < right.deadlineMs,
  );

  private readonly facts: FleetFacts;

  private readonly capacity: LaneCapacity;

  private readonly collector: TokenCollector;

  private readonly alarm: WakeAlarm;

  private stopped = false;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    table: ShareTable,
  ) {
    super();
    this.facts = FleetFacts.create(kernel, clock, () => this.send({ kind: 'wake' }));
    this.capacity = LaneCapacity.create(kernel, this.facts);
    this.collector = TokenCollector.create(kernel, clock, table, this.facts, (collection) =>
      this.send({ kind: 'collected', collection }),
    );
    this.alarm = WakeAlarm.create(clock, () => this.send({ kind: 'wake' }));
  }

  /**
   * Creates the task; it handles messages after `run`.
   *
   * @param kernel - finds the services that the task uses
   * @param clock - source of time
   * @param table - assigns homes to teams
   * @returns a new task
   */
  static create(kernel: Kernel, clock: Clock, table: ShareTable): AdmissionTask {
    return new AdmissionTask(kernel, clock, table);
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.deadlines.size;
  }

  /** Number of teams that have a bucket here. */
  get buckets(): number {
    return this.collector.buckets;
  }

  /**
   * Describes what is known of a team's tokens.
   *
   * @param team - name of the team
   * @returns facts for the record of decisions
   */
  describeSupply(team: string): Record<string, number> {
    return this.supplies.obtain(team).describe(this.clock.monotonicMs());
  }

  protected override receive(message: AdmissionMessage): void {
    switch (message.kind) {
      case 'wait':
        this.enqueue(message.request);
        break;
      case 'abandon':
        this.refuse(message.request, 'cancelled', 'the caller has gone');
        break;
      case 'collected':
        this.endDebit(message.collection);
        break;
      case 'settle':
        this.settle(message.team, message.parts, message.unusedTokens, message.refundable);
        break;
      case 'peer-debit':
        message.reply(this.stopped ? refuseDebit() : this.collector.debitForPeer(message.debit));
        return;
      case 'peer-refund':
        this.collector.refundForPeer(message.refund);
        this.noteReturned(message.refund.team, message.refund.tokens);
        message.reply();
        break;
      case 'reset':
        this.collector.reset();
        break;
      case 'facts-changed':
        this.collector.applyFacts();
        break;
      case 'tick':
        this.collector.applyFacts();
        this.sweep();
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
    this.deadlines.put(request);
    this.noteDemand(request);
    const lane = this.lanes.obtain(request.lane);
    lane.reserve.note(request.refundable);
    const evicted = lane.queue.push(request);
    if (evicted) this.refuseOverloaded(evicted);
    this.wakeTeam(request);
  }

  private noteDemand({ team, cost }: WaitingRequest): void {
    const limits = this.facts.limitsOf(team);
    const nowMs = this.clock.monotonicMs();
    if (!limits || !this.demand.exceeds(team, cost, limits, nowMs)) return;
    Object.assign(this.supplies.obtain(team), { shortMs: nowMs });
  }

  /** A team that waits for the tokens of a larger request can run a smaller, newer one. */
  private wakeTeam({ team, cost }: WaitingRequest): void {
    const supply = this.supplies.obtain(team);
    const nowMs = this.clock.monotonicMs();
    const isShort = supply.msUntil(cost, nowMs) > 0;
    if (supply.waitsForTokens && !isShort) this.supplies.unblock(supply, nowMs);
  }

  /** Gives turns until capacity or tokens are short, then refuses what has waited too long. */
  private serve(): void {
    if (this.stopped) return;
    const nowMs = this.clock.monotonicMs();
    this.supplies.unblockDue(nowMs);
    if (this.deadlines.size > 0 && !this.kernel.find('membership').leaseLive())
      this.refuseIsolated();
    this.lanes.all().forEach((lane) => this.serveLane(lane, nowMs));
    this.expire(nowMs);
    this.alarm.set(this.findDue(nowMs), nowMs);
  }

  private serveLane(lane: Lane, nowMs: number): void {
    this.lanes.closeOldTurns(lane, nowMs);
    while (this.serveNext(lane, nowMs));
  }

  /** Considers one request; a late one only when no other can take the capacity. */
  private serveNext(lane: Lane, nowMs: number): boolean {
    const onTime = lane.queue.peek();
    if (onTime && this.capacity.isLate(onTime, nowMs)) {
      this.demote(lane, onTime);
      return true;
    }
    const late = lane.lateQueue.peek();
    const yields = onTime && late && this.yieldsTo(onTime, late, nowMs);
    const request = yields ? late : (onTime ?? late);
    if (!request) return false;
    const reserve = onTime ? 0 : this.capacity.lateReserve(lane, request);
    if (!this.capacity.has(lane, reserve)) return false;
    request.waitsFor = 'tokens';
    const supply = this.supplies.obtain(request.team);
    if (supply.isKnownShort(request.cost, nowMs)) {
      this.waitForTokens(supply, lane, nowMs);
      return true;
    }
    const isExcess = supply.wasShort(nowMs);
    if (!this.capacity.has(lane, isExcess ? this.capacity.excessReserve(lane, request) : 0)) {
      this.supplies.blockUntil(supply, nowMs + CAPACITY_POLL_MS);
      return true;
    }
    this.queueOf(lane, request).take(request);
    this.collect(request, this.lanes.openTurn(lane, nowMs));
    return true;
  }

  /** A team beyond its rate goes after the late requests of teams inside theirs. */
  private yieldsTo(onTime: WaitingRequest, late: WaitingRequest, nowMs: number): boolean {
    const isShort = ({ team }: WaitingRequest) => this.supplies.obtain(team).wasShort(nowMs);
    return isShort(onTime) && !isShort(late);
  }

  private demote(lane: Lane, request: WaitingRequest): void {
    lane.queue.remove(request);
    Object.assign(request, { late: true });
    const evicted = lane.lateQueue.push(request);
    if (evicted) this.refuseOverloaded(evicted);
  }

  private queueOf(lane: Lane, request: WaitingRequest): Lane['queue'] {
    return request.late ? lane.lateQueue : lane.queue;
  }

  private collect(request: WaitingRequest, turn: Turn): void {
    const collection = this.collector.collect(request, turn);
    if (collection) this.finishCollection(collection);
    else this.supplies.beginDebit(this.supplies.obtain(request.team), turn.openedMs);
  }

  private endDebit(collection: Collection): void {
    const supply = this.supplies.obtain(collection.request.team);
    this.supplies.endDebit(supply, this.clock.monotonicMs());
    this.finishCollection(collection);
  }

  private finishCollection(collection: Collection): void {
    const { request, turn, funding } = collection;
    const { team, cost } = request;
    const complete = sumGranted(funding.parts) >= cost;
    if (complete && !request.finished) {
      this.finishAdmission(request, funding, turn);
      return;
    }
    turn.close();
    const supply = this.supplies.obtain(team);
    supply.read(this.collector.readSupply(collection));
    funding.parts.forEach((part) => this.collector.refund(team, part, part.granted));
    const lane = this.lanes.obtain(request.lane);
    if (request.finished) {
      this.queueOf(lane, request).credit(request);
      return;
    }
    const evicted = this.queueOf(lane, request).restore(request);
    if (evicted) this.refuseOverloaded(evicted);
    this.waitForTokens(supply, lane, this.clock.monotonicMs());
  }

  private finishAdmission(request: WaitingRequest, funding: Funding, turn: Turn): void {
    Object.assign(turn, { openedMs: this.clock.monotonicMs() });
    this.supplies.obtain(request.team).refundable += request.refundable;
    this.conclude(request);
    request.finish(succeed({ funding, turn }));
  }

  /**
   * Refuses the team's requests that cannot succeed, and passes it over until tokens are there. The
   * time is that of the check which found the team short: a later one may find it supplied, and the
   * team would neither be served nor passed over.
   */
  private waitForTokens(supply: TeamSupply, lane: Lane, nowMs: number): void {
    if (supply.homesAnswered) Object.assign(supply, { shortMs: nowMs });
    let head = this.headOf(lane, supply.team);
    while (head) {
      const waitMs = supply.msUntil(head.cost, nowMs);
      if (supply.isHopeless(head.cost, head.deadlineMs, nowMs)) this.refuseRate(head, waitMs);
      else if (!head.late && this.capacity.isLate(head, nowMs + waitMs)) this.demote(lane, head);
      else break;
      head = this.headOf(lane, supply.team);
    }
    if (!head) return;
    // Homes that give nothing yet may seem to have grown enough meanwhile when the rate is high.
    // Without a wait the debit would be repeated at once and for ever, and nothing else would run.
    const waitMs = Math.max(SHORTEST_WAIT_MS, supply.msUntil(head.cost, nowMs));
    this.supplies.blockUntil(supply, nowMs + Math.min(waitMs, LONGEST_BLOCK_MS));
  }

  private headOf(lane: Lane, team: string): WaitingRequest | undefined {
    return lane.queue.head(team) ?? lane.lateQueue.head(team);
  }

  private settle(
    team: string,
    parts: readonly DebitPart[],
    unusedTokens: number,
    refundable: number,
  ): void {
    const supply = this.supplies.obtain(team);
    supply.refundable = Math.max(0, supply.refundable - refundable);
    this.demand.giveBack(team, unusedTokens);
    let left = unusedTokens;
    for (const part of [...parts].reverse()) {
      const returned = Math.min(left, part.granted);
      if (returned > 0) this.collector.refund(team, part, returned);
      left -= returned;
    }
    if (unusedTokens > 0) this.noteReturned(team, unusedTokens);
  }

  private noteReturned(team: string, tokens: number): void {
    this.supplies.noteReturned(team, tokens, this.clock.monotonicMs());
  }

  private sweep(): void {
    this.collector.sweep();
    this.lanes.sweep();
    this.supplies.sweep();
    this.demand.sweep(this.clock.monotonicMs());
  }

  private expire(nowMs: number): void {
    for (;;) {
      const request = this.deadlines.peek();
      if (!request || request.deadlineMs > nowMs) return;
      if (request.waitsFor === 'capacity' && !this.supplies.isBlocked(request.team)) {
        this.refuseOverloaded(request);
      } else
        this.refuseRate(request, this.supplies.obtain(request.team).msUntil(request.cost, nowMs));
    }
  }

  private refuseIsolated(): void {
    for (let request = this.deadlines.peek(); request; request = this.deadlines.peek()) {
      this.refuse(request, 'isolated', 'this VM has lost contact with the others');
    }
  }

  private refuseOverloaded(request: WaitingRequest): void {
    const waitMs =
      request.lane === '' ? 0 : this.kernel.find('routing').prefillWaitMs(request.lane);
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
    const lane = this.lanes.obtain(request.lane);
    this.queueOf(lane, request).remove(request);
    this.conclude(request);
    request.finish(fail(Refusal.create(code, message, { retryAfterMs })));
  }

  private conclude(request: WaitingRequest): void {
    Object.assign(request, { finished: true });
    this.deadlines.remove(request);
  }

  private stop(): void {
    for (let request = this.deadlines.peek(); request; request = this.deadlines.peek()) {
      this.refuse(request, 'draining', 'this VM is shutting down');
    }
    this.stopped = true;
    this.alarm.clear();
  }

  /** Finds the next deadline, the end of a wait for tokens, or the time to read capacity. */
  private findDue(nowMs: number): number {
    const capacity = this.lanes
      .all()
      .some((lane) => (lane.queue.peek() ?? lane.lateQueue.peek()) !== undefined);
    return Math.min(
      this.deadlines.peek()?.deadlineMs ?? Infinity,
      this.supplies.nextMs,
      capacity ? nowMs + CAPACITY_POLL_MS : Infinity,
    );
  }
}
