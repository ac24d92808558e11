import { randomUUID } from 'node:crypto';

import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { fail, succeed } from '../kernel/outcome.js';
import { Task } from '../kernel/task.js';
import type { Member } from '../membership/membership.js';
import { AdmissionLanes, type Lane } from './admission-lanes.js';
import type { AdmissionMessage, Collection, PeerDebit } from './admission-message.js';
import { FleetFacts } from './fleet-facts.js';
import { HomeShares, type ShareGrant } from './home-shares.js';
import { IndexedHeap } from './indexed-heap.js';
import { RemoteDebits } from './remote-debits.js';
import { sameIncarnation, type ShareTable } from './share-table.js';
import { SHORTEST_WAIT_MS, TeamSupply } from './team-supply.js';
import type { DebitPart, Funding, Turn, WaitingRequest } from './waiting-request.js';

/** How often capacity is read again while requests wait for it; load also changes without notice. */
const CAPACITY_POLL_MS = 20;

// With half of it, 4% of the goodput was lost.
/** Share of the decode slots that late requests leave to those that arrive next. */
const LATE_RESERVE = 0.1;

/** Time from the end of a prefill to the first token: calls, transfer and one token. */
const AFTER_PREFILL_MS = 50;

/** Longest wait before homes are asked again; refunds of other VMs may have arrived there. */
const LONGEST_BLOCK_MS = 250;

/** Wait before a peer asks again while this VM may not spend. */
const NO_LEASE_RETRY_MS = 250;

/** Owns the buckets of this VM's shares and the queue of its requests. */
export class AdmissionTask extends Task<AdmissionMessage> {
  private readonly lanes = AdmissionLanes.create();

  private readonly supplies = new Map<string, TeamSupply>();

  private readonly deadlines = IndexedHeap.create<WaitingRequest>(
    (left, right) => left.deadlineMs < right.deadlineMs,
  );

  private readonly blocked = IndexedHeap.create<TeamSupply>(
    (left, right) => left.blockedUntilMs < right.blockedUntilMs,
  );

  private readonly shares: HomeShares;

  private readonly remote: RemoteDebits;

  private readonly facts: FleetFacts;

  private alarm: { readonly dueMs: number; readonly cancel: AbortController } | undefined;

  private stopped = false;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly table: ShareTable,
  ) {
    super();
    this.shares = HomeShares.create(table);
    this.remote = RemoteDebits.create(kernel, clock);
    this.facts = FleetFacts.create(kernel, clock, () => this.send({ kind: 'wake' }));
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
    return this.shares.size;
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
        this.finishCollection(message.collection);
        break;
      case 'settle':
        this.settle(message.team, message.parts, message.unusedTokens, message.refundable);
        break;
      case 'peer-debit':
        message.reply(this.debitForPeer(message.debit));
        return;
      case 'peer-refund':
        this.refundForPeer(message.refund);
        message.reply();
        break;
      case 'reset':
        this.shares.reset();
        break;
      case 'facts-changed':
        this.applyFacts();
        break;
      case 'tick':
        this.applyFacts();
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
    const evicted = this.lanes.obtain(request.lane).queue.push(request);
    if (evicted) this.refuseOverloaded(evicted);
    this.wakeTeam(request);
  }

  /** A team that waits for the tokens of a larger request can run a smaller, newer one. */
  private wakeTeam({ team, cost }: WaitingRequest): void {
    const supply = this.supply(team);
    const isShort = supply.msUntil(cost, this.clock.monotonicMs()) > 0;
    if (supply.blockedUntilMs > 0 && !isShort) this.unblockTeam(supply);
  }

  /** Gives turns until capacity or tokens are short, then refuses what has waited too long. */
  private serve(): void {
    if (this.stopped) return;
    const nowMs = this.clock.monotonicMs();
    this.unblockTeams(nowMs);
    if (this.deadlines.size > 0 && !this.kernel.find('membership').leaseLive())
      this.refuseIsolated();
    this.lanes.all().forEach((lane) => this.serveLane(lane, nowMs));
    this.expire(nowMs);
    this.setAlarm(nowMs);
  }

  private serveLane(lane: Lane, nowMs: number): void {
    this.lanes.closeOldTurns(lane, nowMs);
    while (this.serveNext(lane, nowMs));
  }

  /** Considers one request; a late one only when no other can take the capacity. */
  private serveNext(lane: Lane, nowMs: number): boolean {
    const onTime = lane.queue.peek();
    if (onTime && this.isLate(onTime, nowMs)) {
      this.demote(lane, onTime);
      return true;
    }
    const late = lane.lateQueue.peek();
    const yields = onTime && late && this.yieldsTo(onTime, late, nowMs);
    const request = yields ? late : (onTime ?? late);
    const reserve = onTime ? 0 : this.lateReserve(lane);
    if (!request || !this.hasCapacity(lane, reserve)) return false;
    request.waitsFor = 'tokens';
    const supply = this.supply(request.team);
    if (supply.isKnownShort(request.cost, nowMs)) {
      this.waitForTokens(supply, lane, nowMs);
      return true;
    }
    if (!this.hasCapacity(lane, supply.wasShort(nowMs) ? this.reservedSlots() : 0)) {
      this.blockUntil(supply, nowMs + CAPACITY_POLL_MS);
      return true;
    }
    this.queueOf(lane, request).take(request);
    this.collect(request, this.lanes.openTurn(lane, nowMs));
    return true;
  }

  /** A team beyond its rate goes after the late requests of teams inside theirs. */
  private yieldsTo(onTime: WaitingRequest, late: WaitingRequest, nowMs: number): boolean {
    const isShort = ({ team }: WaitingRequest) => this.supply(team).wasShort(nowMs);
    return isShort(onTime) && !isShort(late);
  }

  private lateReserve({ model }: Lane): number {
    return model === '' ? 0 : LATE_RESERVE * this.kernel.find('routing').decodeSlots(model);
  }

  private reservedSlots(): number {
    return this.facts.preset()?.reservedSlots ?? 0;
  }

  private isLate(request: WaitingRequest, nowMs: number): boolean {
    if (request.lane === '') return false;
    const { lane, promptTokens, dueMs } = request;
    return (
      nowMs + this.kernel.find('routing').prefillWaitMs(lane, promptTokens) + AFTER_PREFILL_MS >
      dueMs
    );
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

  private hasCapacity(lane: Lane, reserve: number): boolean {
    if (lane.model === '') return true;
    return this.kernel.find('routing').headroom(lane.model) > lane.turns.size + reserve;
  }

  /** Debits the own share at once and asks the other homes for the rest. */
  private collect(request: WaitingRequest, turn: Turn): void {
    const { team, cost } = request;
    const homes = this.table.homes(team, this.kernel.find('membership').current());
    const { self } = this.facts.read();
    const own = homes.find((home) => sameIncarnation(home, self));
    const started = { startedMs: this.clock.monotonicMs(), startedWallMs: this.clock.wallMs() };
    const parts = own ? this.debitOwn(own, team, cost) : [];
    const others = homes.filter((home) => home !== own);
    const ready = others.filter((home) => this.remote.pausedUntil(team, home) === 0);
    const pauses = others.map((home) => this.remote.pausedUntil(team, home)).filter(Boolean);
    const pausedUntilMs = pauses.length > 0 ? Math.min(...pauses) : 0;
    const funding = { parts, ...started };
    const answered = own ? 1 : 0;
    const collection = { request, turn, funding, answered, pausedUntilMs };
    const most = this.sumGranted(parts) + ready.length * this.shareBurst(team, homes.length);
    const asks = this.sumGranted(parts) < cost && ready.length > 0 && most >= cost;
    if (!asks) {
      this.finishCollection(collection);
      return;
    }
    this.supply(team).busy = true;
    this.lanes.block(team);
    void this.askOthers(collection, ready);
  }

  private debitOwn(own: Member, team: string, tokens: number): readonly DebitPart[] {
    if (!this.facts.maySpend()) return [];
    const debitId = randomUUID();
    const { granted } = this.shares.debit(team, tokens, debitId, this.facts.read());
    return granted > 0 ? [{ home: own, debitId, granted }] : [];
  }

  private async askOthers(collection: Collection, homes: readonly Member[]): Promise<void> {
    const { request, funding } = collection;
    const parts = [...funding.parts];
    let { answered } = collection;
    for (const home of homes) {
      const missing = request.cost - this.sumGranted(parts);
      if (missing <= 0 || request.finished) break;
      const debitId = randomUUID();
      const outcome = await this.remote.debit(home, request.team, missing, debitId);
      if (outcome.kind === 'failed') continue;
      answered += 1;
      const { granted } = outcome.value;
      if (granted > 0) parts.push({ home, debitId, granted });
    }
    const unanswered = homes.map((home) => this.remote.pausedUntil(request.team, home));
    const pausedUntilMs = Math.max(collection.pausedUntilMs, ...unanswered);
    this.send({
      kind: 'collected',
      collection: { ...collection, funding: { ...funding, parts }, answered, pausedUntilMs },
    });
  }

  private finishCollection(collection: Collection): void {
    const { request, turn, funding } = collection;
    const { team, cost } = request;
    const supply = this.supply(team);
    if (supply.busy) {
      supply.busy = false;
      this.lanes.unblock(team, true);
    }
    const complete = this.sumGranted(funding.parts) >= cost;
    if (complete && !request.finished) {
      this.finishAdmission(request, funding, turn);
      return;
    }
    turn.close();
    this.noteSupply(supply, collection);
    funding.parts.forEach((part) => this.refundPart(team, part, part.granted));
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
    this.supply(request.team).refundable += request.refundable;
    this.conclude(request);
    request.finish(succeed({ funding, turn }));
  }

  private noteSupply(supply: TeamSupply, collection: Collection): void {
    const limits = this.facts.limitsOf(supply.team) ?? { rate: 0, burst: 0 };
    const epoch = this.kernel.find('membership').current();
    const homes = Math.max(1, this.table.homes(supply.team, epoch).length);
    supply.read({
      atMs: this.clock.monotonicMs(),
      level: this.sumGranted(collection.funding.parts),
      rate: (limits.rate * collection.answered) / homes,
      burst: this.shareBurst(supply.team, homes) * collection.answered,
      pausedUntilMs: collection.pausedUntilMs,
    });
  }

  /**
   * Refuses the team's requests that cannot succeed, and passes it over until tokens are there. The
   * time is that of the check which found the team short: a later one may find it supplied, and the
   * team would neither be served nor passed over.
   */
  private waitForTokens(supply: TeamSupply, lane: Lane, nowMs: number): void {
    Object.assign(supply, { shortMs: nowMs });
    let head = this.headOf(lane, supply.team);
    while (head) {
      const waitMs = supply.msUntil(head.cost, nowMs);
      if (supply.isHopeless(head.cost, head.deadlineMs, nowMs)) this.refuseRate(head, waitMs);
      else if (!head.late && this.isLate(head, nowMs + waitMs)) this.demote(lane, head);
      else break;
      head = this.headOf(lane, supply.team);
    }
    if (!head) return;
    // Homes that give nothing yet may seem to have grown enough meanwhile when the rate is high.
    // Without a wait the debit would be repeated at once and for ever, and nothing else would run.
    const waitMs = Math.max(SHORTEST_WAIT_MS, supply.msUntil(head.cost, nowMs));
    this.blockUntil(supply, nowMs + Math.min(waitMs, LONGEST_BLOCK_MS));
  }

  private headOf(lane: Lane, team: string): WaitingRequest | undefined {
    return lane.queue.head(team) ?? lane.lateQueue.head(team);
  }

  private blockUntil(supply: TeamSupply, untilMs: number): void {
    Object.assign(supply, { blockedUntilMs: untilMs });
    this.blocked.put(supply);
    this.lanes.block(supply.team);
  }

  private unblockTeams(nowMs: number): void {
    for (;;) {
      const supply = this.blocked.peek();
      if (!supply || supply.blockedUntilMs > nowMs) return;
      this.unblockTeam(supply);
    }
  }

  private unblockTeam(supply: TeamSupply): void {
    this.blocked.remove(supply);
    Object.assign(supply, { blockedUntilMs: 0 });
    if (!supply.busy) this.lanes.unblock(supply.team, false);
  }

  private settle(
    team: string,
    parts: readonly DebitPart[],
    unusedTokens: number,
    refundable: number,
  ): void {
    const supply = this.supply(team);
    supply.refundable = Math.max(0, supply.refundable - refundable);
    let left = unusedTokens;
    for (const part of [...parts].reverse()) {
      const returned = Math.min(left, part.granted);
      if (returned > 0) this.refundPart(team, part, returned);
      left -= returned;
    }
    if (unusedTokens > 0) this.noteReturned(team, unusedTokens);
  }

  private noteReturned(team: string, tokens: number): void {
    const supply = this.supplies.get(team);
    if (!supply) return;
    supply.addReturned(tokens);
    if (supply.blockedUntilMs > 0) this.unblockTeam(supply);
  }

  private refundPart(team: string, part: DebitPart, tokens: number): void {
    const { self, nowMs } = this.facts.read();
    if (sameIncarnation(part.home, self)) this.shares.refund(part.debitId, tokens, nowMs);
    else this.remote.refund(part.home, team, tokens, part.debitId);
  }

  private debitForPeer(debit: PeerDebit): ShareGrant {
    if (this.stopped || !this.facts.maySpend()) {
      return { granted: 0, retryAfterMs: NO_LEASE_RETRY_MS };
    }
    return this.shares.debit(debit.team, debit.tokens, debit.debitId, this.facts.read());
  }

  private refundForPeer(refund: PeerDebit): void {
    this.shares.refund(refund.debitId, refund.tokens, this.clock.monotonicMs());
    this.noteReturned(refund.team, refund.tokens);
  }

  private applyFacts(): void {
    const facts = this.facts.read();
    this.shares.applyEpochs(facts);
    this.shares.applyLimits(facts);
  }

  private sweep(): void {
    this.shares.sweep(this.facts.read());
    this.lanes.sweep();
    this.supplies.forEach((supply, team) => {
      if (supply.unused) this.supplies.delete(team);
    });
  }

  private expire(nowMs: number): void {
    for (;;) {
      const request = this.deadlines.peek();
      if (!request || request.deadlineMs > nowMs) return;
      if (request.waitsFor === 'capacity' && !this.isBlocked(request.team)) {
        this.refuseOverloaded(request);
      } else this.refuseRate(request, this.supply(request.team).msUntil(request.cost, nowMs));
    }
  }

  private isBlocked(team: string): boolean {
    const supply = this.supplies.get(team);
    return supply !== undefined && (supply.busy || supply.blockedUntilMs > 0);
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
    this.alarm?.cancel.abort();
  }

  /** Wakes the task at the next deadline, at the end of a wait for tokens, or to read capacity. */
  private setAlarm(nowMs: number): void {
    const dueMs = this.findDue(nowMs);
    if (this.alarm && this.alarm.dueMs <= dueMs) return;
    this.alarm?.cancel.abort();
    this.alarm = undefined;
    if (dueMs === Infinity) return;
    const cancel = new AbortController();
    const alarm = { dueMs, cancel };
    this.alarm = alarm;
    void this.clock.sleep(Math.max(1, dueMs - nowMs), cancel.signal).then(() => {
      if (this.alarm !== alarm) return;
      this.alarm = undefined;
      this.send({ kind: 'wake' });
    });
  }

  private findDue(nowMs: number): number {
    const capacity = this.lanes
      .all()
      .some((lane) => (lane.queue.peek() ?? lane.lateQueue.peek()) !== undefined);
    return Math.min(
      this.deadlines.peek()?.deadlineMs ?? Infinity,
      this.blocked.peek()?.blockedUntilMs ?? Infinity,
      capacity ? nowMs + CAPACITY_POLL_MS : Infinity,
    );
  }

  private shareBurst(team: string, homes: number): number {
    return Math.floor((this.facts.limitsOf(team)?.burst ?? 0) / Math.max(1, homes));
  }

  private sumGranted(parts: readonly DebitPart[]): number {
    return parts.reduce((sum, part) => sum + part.granted, 0);
  }

  private supply(team: string): TeamSupply {
    const known = this.supplies.get(team);
    if (known) return known;
    const supply = TeamSupply.create(team);
    this.supplies.set(team, supply);
    return supply;
  }
}
