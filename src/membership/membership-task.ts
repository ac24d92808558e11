import { randomUUID } from 'node:crypto';

import { type Incarnation, nameIncarnation, sameIncarnation } from '../domain/vm.js';
import { Channel } from '../kernel/channel.js';
import type { Clock } from '../kernel/clock.js';
import { assertInvariant } from '../kernel/invariant.js';
import { Task } from '../kernel/task.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import { FENCE_WAIT_MS, type FenceEvidence, type FencePromise } from './fence.js';
import {
  EMPTY_MEMBERS,
  foldMember,
  isRemoved,
  listEpochs,
  listMembers,
  type MemberState,
} from './member-fold.js';
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

/** Silence after which a witness suspects a member, in milliseconds. */
export const SUSPECT_MS = 2000;

/** A gap between two rounds beyond this means that this process itself was paused. */
const PAUSE_MS = 1600;

/** Records kept for peers, and removed incarnations remembered beyond the kept changes. */
const RECORDS_KEPT = 500;
const REMOVED_KEPT = 10_000;

interface HeardMember {
  atMs: number;
  epoch: number;
  draining: boolean;
}

/** Owns the member list, the share lease, the promises given and the fences under way. */
export class MembershipTask extends Task<MembershipMessage> {
  readonly epochs = Channel.create<MemberEpoch>();

  readonly reincarnations = Channel.create<Member>();

  private state = EMPTY_MEMBERS;

  private known: readonly MemberEpoch[] = [];

  private kept: LogRecord[] = [];

  private lease: ShareLease;

  private surrendered = false;

  private readonly heard = new Map<string, HeardMember>();

  private readonly promisedAt = new Map<string, number>();

  private readonly fences = new Map<string, FencePromise[]>();

  private readonly removed = new Set<string>();

  private watched: readonly Member[] = [];

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
   * Creates a task that waits for its first message.
   *
   * @param member - this VM with its first incarnation
   * @param clock - both clocks
   * @returns a new task
   */
  static create(member: Member, clock: Clock): MembershipTask {
    return new MembershipTask(member, clock);
  }

  /** Reads this VM with its present incarnation. */
  self(): Member {
    return this.member;
  }

  /** Reads the folded state. */
  members(): MemberState {
    return this.state;
  }

  /** Reads the known epochs, oldest first. */
  listEpochs(): readonly MemberEpoch[] {
    return this.known;
  }

  /** Tells whether the list holds this incarnation. */
  joined(): boolean {
    const listed = this.state.members.get(this.member.vm)?.member;
    return listed !== undefined && sameIncarnation(listed, this.member);
  }

  /** Compares both clocks with the lease. */
  leaseLive(): boolean {
    return !this.surrendered && this.joined() && this.lease.live(this.now());
  }

  /** Tells whether an incarnation was once listed and is no more. */
  isRemoved(owner: Incarnation): boolean {
    return this.removed.has(nameIncarnation(owner)) || isRemoved(this.state, owner);
  }

  /** Reads what was last heard of an incarnation. */
  report(member: Incarnation): MemberReport | undefined {
    const heard = this.heard.get(nameIncarnation(member));
    if (!heard) return undefined;
    const { vm, incarnation } = member;
    return { vm, incarnation, epoch: heard.epoch, draining: heard.draining };
  }

  /** Reads kept records for a peer. */
  records(from: number, limit: number): readonly LogRecord[] {
    return this.kept.filter(({ offset }) => offset >= from).slice(0, limit);
  }

  /** Reads both clocks. */
  now(): Instant {
    return { monotonicMs: this.clock.monotonicMs(), wallMs: this.clock.wallMs() };
  }

  protected override receive(message: MembershipMessage): void {
    switch (message.kind) {
      case 'records':
        this.foldRecords(message.records);
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
        this.note(message.report, undefined);
        break;
      case 'renewed':
        if (sameIncarnation(message.self, this.member)) {
          this.lease.answered(message.epoch, message.witness, message.sentAt);
        }
        break;
      case 'promise':
        message.reply(this.promise(message.suspect));
        break;
      case 'promised':
        this.notePromise(message.suspect, message.promise);
        break;
      case 'fence-state':
        message.reply(this.readFence(message.suspect));
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
        assertInvariant(false, 'unknown message to the membership');
    }
  }

  private foldRecords(records: readonly LogRecord[]): void {
    const gone: Member[] = [];
    let next = this.state;
    records.forEach((record) => {
      if (record.offset !== next.offset + 1) return;
      const before = next;
      next = foldMember(before, record);
      this.kept.push(record);
      const removed = next.epoch === before.epoch ? undefined : next.changes.at(-1)?.removed;
      if (removed) gone.push(removed);
    });
    this.kept = this.kept.slice(-RECORDS_KEPT);
    this.advance(next, gone);
  }

  private replaceState(next: MemberState): void {
    if (next.offset <= this.state.offset) return;
    this.kept = [];
    const listed = new Set(listMembers(next).map(nameIncarnation));
    const gone = listMembers(this.state).filter((member) => !listed.has(nameIncarnation(member)));
    this.advance(next, gone);
  }

  private advance(next: MemberState, gone: readonly Member[]): void {
    const { epoch } = this.state;
    const wasJoined = this.joined();
    this.state = next;
    if (next.epoch === epoch) return;
    gone.forEach((member) => this.forget(member));
    this.known = listEpochs(next);
    this.watch();
    this.known.filter((each) => each.epoch > epoch).forEach((each) => this.epochs.push(each));
    if (wasJoined && !this.joined() && !this.surrendered) this.reincarnate();
  }

  private forget(member: Member): void {
    const name = nameIncarnation(member);
    this.heard.delete(name);
    this.fences.delete(name);
    this.promisedAt.delete(name);
    this.removed.add(name);
    const [oldest] = this.removed;
    if (this.removed.size > REMOVED_KEPT && oldest) this.removed.delete(oldest);
  }

  /** A member that begins to send heartbeats here is not blamed for its silence before. */
  private watch(): void {
    const members = listMembers(this.state);
    const before = new Set(this.watched.map(nameIncarnation));
    this.watched = members.filter(
      ({ vm, region }) =>
        vm !== this.member.vm &&
        region === this.member.region &&
        chooseWitnesses(members, vm).some((witness) => sameIncarnation(witness, this.member)),
    );
    this.watched
      .filter((member) => !before.has(nameIncarnation(member)))
      .forEach((member) => this.note(this.report(member) ?? createReport(member), this.nowMs()));
  }

  private beginRound(at: Instant): HeartbeatRound {
    if (at.monotonicMs - this.lastRoundMs > PAUSE_MS) this.excuseSilence();
    this.lastRoundMs = at.monotonicMs;
    const { epoch } = this.state;
    const witnesses = this.joined() ? chooseWitnesses(listMembers(this.state), this.member.vm) : [];
    if (!this.surrendered) this.lease.sent(epoch, witnesses, at);
    const others = witnesses.filter(({ vm }) => vm !== this.member.vm);
    return { self: this.member, epoch, witnesses: this.surrendered ? [] : others };
  }

  /** After a pause of this process, the silence of the others proves nothing. */
  private excuseSilence(): void {
    this.heard.forEach((heard) => Object.assign(heard, { atMs: this.nowMs() }));
  }

  private receiveHeartbeat(report: MemberReport): boolean {
    if (this.promisedAt.has(nameIncarnation(report)) || this.isRemoved(report)) return false;
    this.note(report, this.nowMs());
    return true;
  }

  private note(report: MemberReport, heardMs: number | undefined): void {
    if (this.isRemoved(report)) return;
    const name = nameIncarnation(report);
    const before = this.heard.get(name);
    this.heard.set(name, {
      atMs: heardMs ?? before?.atMs ?? this.nowMs(),
      epoch: Math.max(report.epoch, before?.epoch ?? 0),
      draining: report.draining,
    });
  }

  private promise(suspect: Incarnation): PromiseAnswer {
    const name = nameIncarnation(suspect);
    const reportedEpoch = this.heard.get(name)?.epoch ?? 0;
    if (suspect.vm === this.member.vm) return { promised: false, reportedEpoch };
    if (!this.promisedAt.has(name) && !this.isSilent(name)) {
      return { promised: false, reportedEpoch };
    }
    if (!this.promisedAt.has(name)) this.promisedAt.set(name, this.nowMs());
    return { promised: true, reportedEpoch };
  }

  private isSilent(name: string): boolean {
    if (this.nowMs() - this.lastRoundMs > PAUSE_MS) return false;
    const heard = this.heard.get(name);
    return heard !== undefined && this.nowMs() - heard.atMs >= SUSPECT_MS;
  }

  private notePromise(suspect: Incarnation, promise: FencePromise): void {
    const name = nameIncarnation(suspect);
    const promises = this.fences.get(name) ?? [];
    if (promises.some(({ witness }) => sameIncarnation(witness, promise.witness))) return;
    this.fences.set(name, [...promises, promise]);
  }

  private readFence(suspect: Incarnation): FenceState {
    if (this.isRemoved(suspect)) return { fenced: true, expired: true };
    const atMs = this.promisedAt.get(nameIncarnation(suspect));
    if (atMs === undefined) return { fenced: false, expired: false };
    return { fenced: true, expired: this.nowMs() - atMs >= FENCE_WAIT_MS };
  }

  private listSuspects(): readonly FenceEvidence[] {
    return this.watched
      .filter((member) => {
        const name = nameIncarnation(member);
        return this.promisedAt.has(name) || this.isSilent(name);
      })
      .map((suspect) => ({
        suspect,
        joinedAt: this.state.members.get(suspect.vm)?.joinedAt ?? 0,
        epochs: this.known,
        promises: this.fences.get(nameIncarnation(suspect)) ?? [],
      }));
  }

  private reincarnate(): void {
    this.member = { ...this.member, incarnation: randomUUID() };
    this.lease = ShareLease.create(this.member);
    this.watched = [];
    this.reincarnations.push(this.member);
  }

  private nowMs(): number {
    return this.clock.monotonicMs();
  }
}

function createReport({ vm, incarnation }: Incarnation): MemberReport {
  return { vm, incarnation, epoch: 0, draining: false };
}
