import { randomUUID } from 'node:crypto';

import type { Stream } from 'most';

import { type Address, type Incarnation, sameIncarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { SystemClock } from '../kernel/system-clock.js';
import type { PeerHandlers } from '../peers/peers.js';
import type { Settings } from '../settings/schema.js';
import { Fencing } from './fencing.js';
import { Heartbeats } from './heartbeats.js';
import { listMembers, listRemoved, createMemberSnapshot } from './member-state.js';
import { MemberSnapshotWriter } from './member-snapshot-writer.js';
import { MemberLogReader } from './member-log-reader.js';
import {
  type Commander,
  type Member,
  type MemberEpoch,
  Membership,
  type MemberStatus,
} from './membership.js';
import {
  appendMemberRecord,
  attempt,
  createSender,
  MEMBERSHIP_STREAM,
  type MembershipContext,
  repeat,
} from './membership-context.js';
import type { FenceState, PromiseAnswer } from './membership-message.js';
import { MembershipTask } from './membership-task.js';
import { UnlistedVmMonitor } from './unlisted-vm-monitor.js';

const JOIN_RETRY_MS = 500;

/** Time to wait for an appended join record in the stream before it is appended again, in milliseconds. */
const JOIN_APPLY_TIMEOUT_MS = 2000;

const MAX_LEAVE_ATTEMPTS = 4;
const LEAVE_RETRY_MS = 500;

/** Settings used by the membership. */
export type MembershipSettings = Pick<
  Settings,
  'vm' | 'peers' | 'callers' | 'operators' | 'snapshots'
>;

/** Membership based on a log stream, with a share lease that witnesses renew. */
export class WitnessedMembership extends Membership {
  private readonly stopping = new AbortController();

  private readonly context: MembershipContext;

  private readonly task: MembershipTask;

  private readonly logReader: MemberLogReader;

  private readonly heartbeats: Heartbeats;

  private readonly fencing: Fencing;

  private readonly unlistedVms: UnlistedVmMonitor;

  private readonly snapshotWriter: MemberSnapshotWriter;

  private leaving = false;

  private draining: Promise<void> | undefined;

  private loops: Promise<void>[] = [];

  private constructor(kernel: Kernel, settings: MembershipSettings, clock: Clock) {
    super();
    this.task = MembershipTask.create(createMember(settings), clock);
    this.context = { kernel, task: this.task, clock, signal: this.stopping.signal };
    this.logReader = MemberLogReader.create(this.context);
    this.heartbeats = Heartbeats.create(this.context, this.logReader);
    this.fencing = Fencing.create(this.context);
    this.unlistedVms = UnlistedVmMonitor.create(this.context);
    const { everyMs } = settings.snapshots;
    this.snapshotWriter = MemberSnapshotWriter.create(this.context, this.logReader, everyMs);
  }

  /**
   * Creates a membership with a new incarnation of the daemon.
   *
   * @param kernel - provides the log, the peers, the VM list and the configuration
   * @param settings - name of this VM and its listeners
   * @param clock - monotonic and wall clock
   * @returns a membership that joins after it is started
   */
  static create(
    kernel: Kernel,
    settings: MembershipSettings,
    clock: Clock = SystemClock.create(),
  ): WitnessedMembership {
    return new WitnessedMembership(kernel, settings, clock);
  }

  override async start(): Promise<void> {
    const { kernel } = this.context;
    this.task.run();
    kernel.find('peers').handle(this.createHandlers());
    kernel.find('record-sources').add(MEMBERSHIP_STREAM, {
      records: (from, limit) => this.task.records(from, limit),
      snapshot: () => this.takeSnapshot(),
    });
    this.loops = [
      this.logReader.follow(),
      this.heartbeats.sendRounds(),
      this.fencing.watch(),
      this.unlistedVms.watch(),
      this.snapshotWriter.run(),
      repeat(this.context, JOIN_RETRY_MS, () => this.ensureJoined()),
    ];
  }

  /** Leaves if the member was drained; otherwise its witnesses detect that it has stopped. */
  override async stop(): Promise<void> {
    if (this.draining && this.joined()) await this.leave();
    this.stopping.abort();
    await Promise.all(this.loops);
    this.task.close();
    this.task.epochChanges.end();
    this.task.reincarnations.end();
  }

  override self(): Member {
    return this.task.self();
  }

  override joined(): boolean {
    return this.task.joined();
  }

  override current(): MemberEpoch {
    const state = this.task.members();
    return this.task.listEpochs().at(-1) ?? { epoch: state.epoch, members: listMembers(state) };
  }

  override history(): readonly MemberEpoch[] {
    const { members } = this.task.members();
    const epochs = this.task.listEpochs();
    // A member has no share in an epoch before its own join, so it need not confirm that epoch.
    const confirmed = [...members.values()].map(({ member, joinedAt }) =>
      Math.max(joinedAt, this.confirmedEpoch(member)),
    );
    const oldest = Math.min(...confirmed);
    const start = epochs.findLastIndex(({ epoch }) => epoch <= oldest);
    return epochs.length === 0 ? [this.current()] : epochs.slice(Math.max(0, start));
  }

  override changes(): Stream<MemberEpoch> {
    return this.task.epochChanges.stream();
  }

  override reincarnations(): Stream<Member> {
    return this.task.reincarnations.stream();
  }

  override leaseLive(): boolean {
    return this.task.leaseLive();
  }

  override confirmedEpoch(member: Incarnation): number {
    if (sameIncarnation(member, this.self())) return this.task.members().epoch;
    return this.task.report(member)?.epoch ?? 0;
  }

  override async askEpoch(member: Incarnation): Promise<number> {
    if (sameIncarnation(member, this.self())) return this.task.members().epoch;
    const listed = this.task.members().members.get(member.vm)?.member;
    if (!listed) return 0;
    const answer = await this.requestEpoch(listed.peers);
    if (!answer || answer.incarnation !== member.incarnation) return 0;
    const { vm, incarnation } = member;
    const epoch = Number(answer.epoch);
    const draining = this.task.report(member)?.draining ?? false;
    this.task.send({ kind: 'reported', report: { vm, incarnation, epoch, draining } });
    return epoch;
  }

  override commander(): Commander | undefined {
    return this.task.members().commander;
  }

  override async claimCommand(): Promise<boolean> {
    const { vm, incarnation } = this.self();
    const succeeds = this.commander()?.fencingNumber ?? 0;
    const record = { format: 1, kind: 'commander', vm, incarnation, succeeds } as const;
    return (await appendMemberRecord(this.context, record)).kind === 'ok';
  }

  override async hasEnded(owner: Incarnation): Promise<boolean> {
    if (sameIncarnation(owner, this.self())) return false;
    // On this VM only the current incarnation of this process runs.
    if (owner.vm === this.self().vm || this.task.isRemoved(owner)) return true;
    if (this.unlistedVms.isUnlisted(owner)) return true;
    if (await this.isSuperseded(owner)) return true;
    return !this.logReader.isLogReachable() && this.fencing.isFenced(owner);
  }

  override recentlyRemoved(): readonly Incarnation[] | undefined {
    return this.logReader.isLogReachable() ? listRemoved(this.task.members()) : undefined;
  }

  override statuses(): readonly MemberStatus[] {
    const self = this.self().vm;
    return listMembers(this.task.members())
      .filter(({ vm }) => vm !== self)
      .map((member) => ({
        member,
        draining: this.task.report(member)?.draining ?? false,
        confirmedEpoch: this.confirmedEpoch(member),
      }));
  }

  override drain(): Promise<void> {
    this.draining ??= this.heartbeats.drain();
    return this.draining;
  }

  override async leave(): Promise<void> {
    if (this.leaving) return;
    this.leaving = true;
    void this.drain();
    this.task.send({ kind: 'surrender' });
    const { clock, signal } = this.context;
    const { vm, incarnation } = this.self();
    for (let attempts = 0; attempts < MAX_LEAVE_ATTEMPTS && !signal.aborted; attempts += 1) {
      const outcome = await appendMemberRecord(this.context, {
        format: 1,
        kind: 'removed',
        vm,
        incarnation,
        evidence: 'left',
      });
      if (outcome.kind === 'ok') return;
      await clock.sleep(LEAVE_RETRY_MS, signal);
    }
  }

  private createHandlers(): PeerHandlers {
    const { task } = this;
    return {
      heartbeat: (request) => this.heartbeats.answer(request),
      heartbeats: (requests) => this.heartbeats.answerStream(requests),
      promiseFence: async ({ vm, incarnation }) => {
        const suspect = { vm, incarnation };
        const answer = await task.ask<PromiseAnswer>((reply) => ({
          kind: 'promise',
          suspect,
          reply,
        }));
        return { promised: answer.promised, reportedEpoch: BigInt(answer.reportedEpoch) };
      },
      fenceStatus: ({ vm, incarnation }) => {
        const suspect = { vm, incarnation };
        return task.ask<FenceState>((reply) => ({ kind: 'fence-state', suspect, reply }));
      },
      confirmEpoch: () => ({
        epoch: BigInt(task.members().epoch),
        incarnation: task.self().incarnation,
      }),
    };
  }

  private takeSnapshot(): { offset: number; stateJson: string } | undefined {
    const state = this.task.members();
    if (state.offset === 0) return undefined;
    return { offset: state.offset, stateJson: JSON.stringify(createMemberSnapshot(state)) };
  }

  private async ensureJoined(): Promise<void> {
    if (this.leaving || this.joined()) return;
    if (!this.logReader.hasReachedEnd() || !this.logReader.isLogReachable()) return;
    const member = this.self();
    const outcome = await appendMemberRecord(this.context, { format: 1, kind: 'joined', member });
    if (outcome.kind === 'failed' && outcome.failure.reason !== 'unknown') return;
    const { clock, signal } = this.context;
    const deadlineMs = clock.monotonicMs() + JOIN_APPLY_TIMEOUT_MS;
    while (!this.joined() && clock.monotonicMs() < deadlineMs && !signal.aborted) {
      await clock.sleep(JOIN_RETRY_MS / 10, signal);
    }
  }

  /** Checks whether another incarnation answers at the address of the VM, which proves that the owner has ended. */
  private async isSuperseded(owner: Incarnation): Promise<boolean> {
    const address = this.findAddress(owner.vm);
    if (!address) return false;
    const answer = await this.requestEpoch(address);
    return answer !== undefined && answer.incarnation !== owner.incarnation;
  }

  private findAddress(vm: string): Address | undefined {
    const member = this.task.members().members.get(vm)?.member;
    if (member) return member.peers;
    const listed = this.context.kernel
      .find('vm-list')
      .current()
      ?.vms.find(({ name }) => name === vm);
    return listed && { host: listed.host, port: listed.peerPort };
  }

  private requestEpoch(address: Address) {
    const sender = createSender(this.context);
    return attempt(this.context.kernel.find('peers').client(address).confirmEpoch({ sender }));
  }
}

function createMember(settings: MembershipSettings): Member {
  const { vm, peers, callers, operators } = settings;
  return {
    ...vm,
    vm: vm.name,
    incarnation: randomUUID(),
    peers: pickAddress(peers.advertised ?? peers),
    callers: pickAddress(callers),
    operators: pickAddress(operators),
  };
}

function pickAddress({ host, port }: Address): Address {
  return { host, port };
}
