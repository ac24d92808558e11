import { type Incarnation, formatIncarnation, sameIncarnation } from '../domain/vm.js';
import type { HeartbeatRequest } from '../gen/cuminspar/peer/v1/peer_pb.js';
import { answerHeartbeats, type HeartbeatAnswer, HeartbeatStream } from './heartbeat-stream.js';
import { listMembers } from './member-state.js';
import type { MemberLogReader } from './member-log-reader.js';
import type { Member } from './membership.js';
import { attempt, type MembershipContext, repeat } from './membership-context.js';
import type { HeartbeatRound } from './membership-message.js';
import type { Instant } from './share-lease.js';

/** Interval between heartbeats to a witness, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 1000;

/**
 * Wait for an answer on a stream before the heartbeat is repeated as a unary call, in milliseconds. The
 * call takes up to 300 ms to detect a silent connection, and a witness suspects a member after 2 s
 * without a heartbeat.
 */
const STREAM_ANSWER_TIMEOUT_MS = 300;

/** Maximum number of members notified of draining in one round; bounds the concurrent calls. */
const MAX_DRAIN_NOTICES_PER_ROUND = 200;

/** Wait before members that did not answer are notified again, in milliseconds. */
const DRAIN_NOTICE_RETRY_MS = 100;

/** Deadline for notifying the other members that this VM is draining, in milliseconds. */
const DRAIN_NOTICE_DEADLINE_MS = 3000;

/**
 * Sends and answers heartbeats, which also carry configuration offsets and digests of withdrawn team
 * keys.
 */
export class Heartbeats {
  private draining = false;

  /** Incarnations that have answered a heartbeat that reported draining. */
  private readonly notified = new Set<string>();

  /** Open streams by the incarnations at both ends. */
  private readonly streams = new Map<string, HeartbeatStream>();

  private constructor(
    private readonly context: MembershipContext,
    private readonly logReader: MemberLogReader,
  ) {}

  /**
   * Creates an instance that has not sent a heartbeat yet.
   *
   * @param context - provides the peers and the configuration
   * @param logReader - catches up when a peer reports a newer epoch
   * @returns a new instance
   */
  static create(context: MembershipContext, logReader: MemberLogReader): Heartbeats {
    return new Heartbeats(context, logReader);
  }

  /**
   * Reports draining in all following heartbeats, and sends one to every member, because members that
   * are not witnesses of this VM would otherwise keep listing it as an entry address.
   *
   * @returns a promise that resolves when every member has answered, or at the deadline
   */
  async drain(): Promise<void> {
    this.draining = true;
    const { clock, signal } = this.context;
    const deadlineMs = clock.monotonicMs() + DRAIN_NOTICE_DEADLINE_MS;
    while (clock.monotonicMs() < deadlineMs && !signal.aborted) {
      const unnotified = this.listUnnotified().slice(0, MAX_DRAIN_NOTICES_PER_ROUND);
      if (unnotified.length === 0) return;
      await Promise.all(unnotified.map((member) => this.notifyDraining(member)));
      if (this.listUnnotified().length > 0) await clock.sleep(DRAIN_NOTICE_RETRY_MS, signal);
    }
  }

  /**
   * Sends a round of heartbeats every second until the service stops.
   *
   * @returns a promise that resolves after the stop
   */
  async sendRounds(): Promise<void> {
    await repeat(this.context, HEARTBEAT_INTERVAL_MS, () => this.beginRound());
    this.closeStreams(new Set());
  }

  /**
   * Answers the heartbeats of one stream.
   *
   * @param requests - the heartbeats
   * @returns one answer for each heartbeat
   */
  answerStream(requests: AsyncIterable<HeartbeatRequest>) {
    return answerHeartbeats(requests, (request) => this.answer(request));
  }

  /**
   * Answers a heartbeat as a witness.
   *
   * @param request - the heartbeat
   * @returns the answer
   */
  async answer(request: HeartbeatRequest): Promise<HeartbeatAnswer> {
    const { task, kernel } = this.context;
    const { vm = '', incarnation = '' } = request.sender ?? {};
    const report = {
      vm,
      incarnation,
      epoch: Number(request.epoch),
      draining: request.draining,
    };
    const renewed = await task.ask<boolean>((reply) => ({ kind: 'heartbeat', report, reply }));
    const configuration = kernel.find('configuration');
    configuration.observePeerOffset(Number(request.configurationOffset), vm);
    configuration.observePeerDigest(request.withdrawnDigest, vm);
    const sender = task.members().members.get(vm)?.member;
    if (sender) void this.logReader.catchUp(report.epoch, sender.peers);
    return { renewed, incarnation: task.self().incarnation, ...this.describeState() };
  }

  private describeState() {
    const { task, kernel } = this.context;
    const configuration = kernel.find('configuration');
    return {
      epoch: BigInt(task.members().epoch),
      configurationOffset: BigInt(configuration.current()?.version ?? 0),
      withdrawnDigest: configuration.withdrawnDigest(),
      draining: this.draining,
    };
  }

  private listUnnotified(): readonly Member[] {
    const { task } = this.context;
    const { vm } = task.self();
    return listMembers(task.members()).filter(
      (member) => member.vm !== vm && !this.notified.has(member.incarnation),
    );
  }

  private async notifyDraining(member: Member): Promise<void> {
    const { vm, incarnation } = this.context.task.self();
    const client = this.context.kernel.find('peers').client(member.peers);
    const call = client.heartbeat({ ...this.describeState(), sender: { vm, incarnation } });
    const response = await attempt(call);
    if (response) this.notified.add(member.incarnation);
  }

  /** Does not wait for the answers, so that a slow witness does not delay the next round. */
  private async beginRound(): Promise<void> {
    const { task } = this.context;
    const sentAt = task.now();
    const round = await task.ask<HeartbeatRound>((reply) => ({ kind: 'round', at: sentAt, reply }));
    this.closeStreams(new Set(round.witnesses.map((witness) => streamKey(round.self, witness))));
    const answered = new Set<Member>();
    round.witnesses.forEach((witness) => {
      void this.exchange(round, witness, sentAt).then((isAnswered) => {
        if (isAnswered) answered.add(witness);
      });
    });
    if (round.witnesses.length > 0) void this.retryUnanswered(round, answered);
  }

  private async exchange(
    round: HeartbeatRound,
    witness: Member,
    sentAt: Instant,
  ): Promise<boolean> {
    const stream = this.getOrOpenStream(round.self, witness);
    const response = await stream.exchange({ ...this.describeState(), epoch: BigInt(round.epoch) });
    return this.handleAnswer(round, witness, sentAt, response);
  }

  /** Repeats heartbeats that a silent or broken stream lost; otherwise the witness would suspect this VM. */
  private async retryUnanswered(
    round: HeartbeatRound,
    answered: ReadonlySet<Member>,
  ): Promise<void> {
    const { clock, signal, task } = this.context;
    await clock.sleep(STREAM_ANSWER_TIMEOUT_MS, signal);
    if (signal.aborted) return;
    const sentAt = task.now();
    round.witnesses
      .filter((witness) => !answered.has(witness))
      .forEach((witness) => {
        void this.call(round, witness, sentAt);
      });
  }

  private async call(round: HeartbeatRound, witness: Member, sentAt: Instant): Promise<void> {
    const { vm, incarnation } = round.self;
    const client = this.context.kernel.find('peers').client(witness.peers);
    const response = await attempt(
      client.heartbeat({
        ...this.describeState(),
        sender: { vm, incarnation },
        epoch: BigInt(round.epoch),
      }),
    );
    this.handleAnswer(round, witness, sentAt, response);
  }

  /** Returns the open stream to a witness; replaces one that has not answered for a whole round. */
  private getOrOpenStream(self: Incarnation, witness: Member): HeartbeatStream {
    const name = streamKey(self, witness);
    const existing = this.streams.get(name);
    if (existing?.isReady()) return existing;
    existing?.close();
    const client = this.context.kernel.find('peers').client(witness.peers);
    const opened = HeartbeatStream.open(client, self);
    this.streams.set(name, opened);
    return opened;
  }

  private closeStreams(keptKeys: ReadonlySet<string>): void {
    this.streams.forEach((stream, name) => {
      if (keptKeys.has(name)) return;
      this.streams.delete(name);
      stream.close();
    });
  }

  private handleAnswer(
    round: HeartbeatRound,
    witness: Member,
    sentAt: Instant,
    response: HeartbeatAnswer | undefined,
  ): boolean {
    const { task, kernel, signal } = this.context;
    if (!response || signal.aborted) return false;
    const { vm } = witness;
    const { incarnation, draining } = response;
    const epoch = Number(response.epoch);
    task.send({ kind: 'reported', report: { vm, incarnation, epoch, draining } });
    const configuration = kernel.find('configuration');
    configuration.observePeerOffset(Number(response.configurationOffset), vm);
    configuration.observePeerDigest(response.withdrawnDigest, vm);
    void this.logReader.catchUp(epoch, witness.peers);
    if (!response.renewed) this.handleRefusedRenewal(round.self);
    else if (sameIncarnation(witness, { vm, incarnation })) {
      const { self } = round;
      task.send({ kind: 'renewed', self, witness, epoch: round.epoch, sentAt });
    }
    return true;
  }

  /**
   * Takes a new incarnation after a witness has refused to renew the lease. A single refusal does not
   * end a lease: while the log is unavailable a new incarnation could not join, so a lease that a
   * majority still renews is kept until the log is available again.
   */
  private handleRefusedRenewal(self: Incarnation): void {
    const { task } = this.context;
    if (task.leaseLive() && !this.logReader.isLogReachable()) return;
    task.send({ kind: 'reincarnate', self });
  }
}

function streamKey(self: Incarnation, witness: Incarnation): string {
  return `${formatIncarnation(self)} ${formatIncarnation(witness)}`;
}
