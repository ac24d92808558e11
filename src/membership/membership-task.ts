import { randomUUID } from 'node:crypto';

import { type Incarnation, formatIncarnation, sameIncarnation } from '../domain/vm.js';
import { Channel } from '../kernel/channel.js';
import type { Clock } from '../kernel/clock.js';
import { assertInvariant } from '../kernel/invariant.js';
import { Task } from '../kernel/task.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import { FENCE_WAIT_MS, type FenceEvidence, type FencePromise } from './fence.js';
import {
  EMPTY_MEMBER_STATE,
  applyMemberRecord,
  isRemoved,
  listEpochs,
  listMembers,
  type MemberState,
} from './member-state.js';
import type { Member, MemberEpoch } from './membership.js';
import type {
  FenceState,
  HeartbeatRound,
  MemberReport,
  MembershipMessage,
  PromiseAnswer,
} from './membership-message.js';
import { type Instant, ShareLease } from './share-lease.js';
import { chooseWitnesses } from './witness-set.js';

/** Time without a heartbeat after which a witness suspects a member, in milliseconds. */
export const SUSPECT_AFTER_MS = 2000;

/** Gap between two rounds beyond which this process itself is assumed to have been paused, in milliseconds. */
const PAUSE_THRESHOLD_MS = 1600;

/** Maximum number of records kept for peers, and of removed incarnations kept beyond the kept changes. */
const MAX_RECORDS = 500;
const MAX_REMOVED = 10_000;

interface LastReport {
  atMs: number;
  epoch: number;
  draining: boolean;
}

/** Owns the member state, the share lease, the promises that were given and the fences in progress. */
export class MembershipTask extends Task<MembershipMessage> {
  readonly epochChanges = Channel.create<MemberEpoch>();

  readonly reincarnations = Channel.create<Member>();

  private state = EMPTY_MEMBER_STATE;

  private knownEpochs: readonly MemberEpoch[] = [];

  private recentRecords: LogRecord[] = [];

  private lease: ShareLease;

  private surrendered = false;

  private readonly lastReports = new Map<string, LastReport>();

  private readonly promisedAt = new Map<string, number>();

  private readonly fences = new Map<string, FencePromise[]>();

  private readonly removed = new Set<string>();

  private witnessed: readonly Member[] = [];

  private lastRoundMs: number;

  private constructor(
    private member: Member,
    private readonly clock: Clock,
  ) {
    super();
    this.lease = ShareLease.create(member);
    this.lastRoundMs = clock.monotonicMs();
  }

  /**
   * Creates a task with an empty member list and an expired share lease.
   *
   * @param member - this VM with its initial incarnation
   * @param clock - clock used for leases and promises
   * @returns a new task
   */
  static create(member: Member, clock: Clock): MembershipTask {
    return new MembershipTask(member, clock);
  }

  /** Returns this VM with its current incarnation. */
  self(): Member {
    return this.member;
  }

  /** Returns the member state. */
  members(): MemberState {
    return this.state;
  }

  /** Returns the known epochs, oldest first. */
  listEpochs(): readonly MemberEpoch[] {
    return this.knownEpochs;
  }

  /** Returns true when the member list contains the current incarnation of this VM. */
  joined(): boolean {
    const listed = this.state.members.get(this.member.vm)?.member;
    return listed !== undefined && sameIncarnation(listed, this.member);
  }

  /** Checks the share lease against both clocks. */
  leaseLive(): boolean {
    return !this.surrendered && this.joined() && this.lease.isLive(this.now());
  }

  /** Returns true when an incarnation was removed from the member list or replaced. */
  isRemoved(owner: Incarnation): boolean {
    return this.removed.has(formatIncarnation(owner)) || isRemoved(this.state, owner);
  }

  /** Returns the last report of an incarnation. */
  report(member: Incarnation): MemberReport | undefined {
    const last = this.lastReports.get(formatIncarnation(member));
    if (!last) return undefined;
    const { vm, incarnation } = member;
    return { vm, incarnation, epoch: last.epoch, draining: last.draining };
  }

  /** Returns kept records, for a peer. */
  records(from: number, limit: number): readonly LogRecord[] {
    return this.recentRecords.filter(({ offset }) => offset >= from).slice(0, limit);
  }

  /** Reads both clocks. */
  now(): Instant {
    return { monotonicMs: this.clock.monotonicMs(), wallMs: this.clock.wallMs() };
  }

  protected override receive(message: MembershipMessage): void {
    switch (message.kind) {
      case 'records':
        this.applyRecords(message.records);
        break;
      case 'state':
        this.replaceState(message.state);
        break;
      case 'round':
        message.reply(this.beginRound(message.at));
        break;
      case 'heartbeat':
        message.reply(this.receiveHeartbeat(message.report));
        break;
      case 'reported':
        this.recordReport(message.report, undefined);
        break;
      case 'renewed':
        if (sameIncarnation(message.self, this.member)) {
          this.lease.recordAnswer(message.epoch, message.witness, message.sentAt);
        }
        break;
      case 'promise':
        message.reply(this.promiseFence(message.suspect));
        break;
      case 'promised':
        this.recordPromise(message.suspect, message.promise);
        break;
      case 'fence-state':
        message.reply(this.fenceState(message.suspect));
        break;
      case 'suspects':
        message.reply(this.listSuspects());
        break;
      case 'reincarnate':
        if (sameIncarnation(message.self, this.member)) this.reincarnate();
        break;
      case 'surrender':
        this.surrendered = true;
        break;
      default:
        assertInvariant(false, 'unknown kind of message to the membership task');
    }
  }

  private applyRecords(records: readonly LogRecord[]): void {
    const removedMembers: Member[] = [];
    let next = this.state;
    records.forEach((record) => {
      if (record.offset !== next.offset + 1) return;
      const before = next;
      next = applyMemberRecord(before, record);
      this.recentRecords.push(record);
      const removed = next.epoch === before.epoch ? undefined : next.changes.at(-1)?.removed;
      if (removed) removedMembers.push(removed);
    });
    this.recentRecords = this.recentRecords.slice(-MAX_RECORDS);
    this.advance(next, removedMembers);
  }

  private replaceState(next: MemberState): void {
    if (next.offset <= this.state.offset) return;
    this.recentRecords = [];
    const listed = new Set(listMembers(next).map(formatIncarnation));
    const removedMembers = listMembers(this.state).filter(
      (member) => !listed.has(formatIncarnation(member)),
    );
    this.advance(next, removedMembers);
  }

  private advance(next: MemberState, removedMembers: readonly Member[]): void {
    const { epoch } = this.state;
    const wasJoined = this.joined();
    this.state = next;
    if (next.epoch === epoch) return;
    removedMembers.forEach((member) => this.removeMember(member));
    this.knownEpochs = listEpochs(next);
    this.updateWitnessed();
    this.knownEpochs
      .filter((each) => each.epoch > epoch)
      .forEach((each) => this.epochChanges.push(each));
    if (wasJoined && !this.joined() && !this.surrendered) this.reincarnate();
  }

  private removeMember(member: Member): void {
    const name = formatIncarnation(member);
    this.lastReports.delete(name);
    this.fences.delete(name);
    this.promisedAt.delete(name);
    this.removed.add(name);
    const [oldest] = this.removed;
    if (this.removed.size > MAX_REMOVED && oldest) this.removed.delete(oldest);
  }

  /** Updates the members that this VM is a witness of; the silence of a new one counts from now. */
  private updateWitnessed(): void {
    const members = listMembers(this.state);
    const before = new Set(this.witnessed.map(formatIncarnation));
    this.witnessed = members.filter(
      ({ vm, region }) =>
        vm !== this.member.vm &&
        region === this.member.region &&
        chooseWitnesses(members, vm).some((witness) => sameIncarnation(witness, this.member)),
    );
    this.witnessed
      .filter((member) => !before.has(formatIncarnation(member)))
      .forEach((member) =>
        this.recordReport(this.report(member) ?? createReport(member), this.nowMs()),
      );
  }

  private beginRound(at: Instant): HeartbeatRound {
    if (at.monotonicMs - this.lastRoundMs > PAUSE_THRESHOLD_MS) this.resetSilence();
    this.lastRoundMs = at.monotonicMs;
    const { epoch } = this.state;
    const witnesses = this.joined() ? chooseWitnesses(listMembers(this.state), this.member.vm) : [];
    if (!this.surrendered) this.lease.recordSent(epoch, witnesses, at);
    const others = witnesses.filter(({ vm }) => vm !== this.member.vm);
    return { self: this.member, epoch, witnesses: this.surrendered ? [] : others };
  }

  /** Restarts all silence timers: after a pause of this process, the silence of others proves nothing. */
  private resetSilence(): void {
    this.lastReports.forEach((last) => Object.assign(last, { atMs: this.nowMs() }));
  }

  private receiveHeartbeat(report: MemberReport): boolean {
    if (this.promisedAt.has(formatIncarnation(report)) || this.isRemoved(report)) return false;
    this.recordReport(report, this.nowMs());
    return true;
  }

  private recordReport(report: MemberReport, heardMs: number | undefined): void {
    if (this.isRemoved(report)) return;
    const name = formatIncarnation(report);
    const previous = this.lastReports.get(name);
    this.lastReports.set(name, {
      atMs: heardMs ?? previous?.atMs ?? this.nowMs(),
      epoch: Math.max(report.epoch, previous?.epoch ?? 0),
      draining: report.draining,
    });
  }

  private promiseFence(suspect: Incarnation): PromiseAnswer {
    const name = formatIncarnation(suspect);
    const reportedEpoch = this.lastReports.get(name)?.epoch ?? 0;
    if (suspect.vm === this.member.vm) return { promised: false, reportedEpoch };
    if (!this.promisedAt.has(name) && !this.isSilent(name)) {
      return { promised: false, reportedEpoch };
    }
    if (!this.promisedAt.has(name)) this.promisedAt.set(name, this.nowMs());
    return { promised: true, reportedEpoch };
  }

  private isSilent(name: string): boolean {
    if (this.nowMs() - this.lastRoundMs > PAUSE_THRESHOLD_MS) return false;
    const last = this.lastReports.get(name);
    return last !== undefined && this.nowMs() - last.atMs >= SUSPECT_AFTER_MS;
  }

  private recordPromise(suspect: Incarnation, promise: FencePromise): void {
    const name = formatIncarnation(suspect);
    const promises = this.fences.get(name) ?? [];
    if (promises.some(({ witness }) => sameIncarnation(witness, promise.witness))) return;
    this.fences.set(name, [...promises, promise]);
  }

  private fenceState(suspect: Incarnation): FenceState {
    if (this.isRemoved(suspect)) return { fenced: true, expired: true };
    const atMs = this.promisedAt.get(formatIncarnation(suspect));
    if (atMs === undefined) return { fenced: false, expired: false };
    return { fenced: true, expired: this.nowMs() - atMs >= FENCE_WAIT_MS };
  }

  private listSuspects(): readonly FenceEvidence[] {
    return this.witnessed
      .filter((member) => {
        const name = formatIncarnation(member);
        return this.promisedAt.has(name) || this.isSilent(name);
      })
      .map((suspect) => ({
        suspect,
        joinedAt: this.state.members.get(suspect.vm)?.joinedAt ?? 0,
        epochs: this.knownEpochs,
        promises: this.fences.get(formatIncarnation(suspect)) ?? [],
      }));
  }

  private reincarnate(): void {
    this.member = { ...this.member, incarnation: randomUUID() };
    this.lease = ShareLease.create(this.member);
    this.witnessed = [];
    this.reincarnations.push(this.member);
  }

  private nowMs(): number {
    return this.clock.monotonicMs();
  }
}

function createReport({ vm, incarnation }: Incarnation): MemberReport {
  return { vm, incarnation, epoch: 0, draining: false };
}
