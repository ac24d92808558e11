import { type Incarnation, sameIncarnation } from '../domain/vm.js';
import {
  type FenceEvidence,
  type FencePromise,
  computeFenceEnd,
  listFenceWitnesses,
} from './fence.js';
import type { Member } from './membership.js';
import {
  appendMemberRecord,
  attempt,
  createSender,
  type MembershipContext,
  repeat,
} from './membership-context.js';
import type { FenceState, PromiseAnswer } from './membership-message.js';

const CHECK_INTERVAL_MS = 500;

/**
 * Maximum random delay before a removal is appended, in milliseconds. Several witnesses complete the same
 * fence; the jitter lets most of them read the first append instead of appending again.
 */
const APPEND_JITTER_MS = 300;

/** Fences the members that this VM is a witness of and no longer receives heartbeats from. */
export class Fencing {
  private readonly inProgress = new Set<string>();

  private constructor(private readonly context: MembershipContext) {}

  /**
   * Creates the fencing of one VM.
   *
   * @param context - provides the peers and the log
   * @returns a fencing that does not run yet
   */
  static create(context: MembershipContext): Fencing {
    return new Fencing(context);
  }

  /**
   * Checks for suspects until the service stops.
   *
   * @returns a promise that resolves after the stop
   */
  async watch(): Promise<void> {
    await repeat(this.context, CHECK_INTERVAL_MS, () => this.check());
  }

  /**
   * Asks the witnesses of a member whether its fence is complete. Used while the log is unavailable.
   *
   * @param suspect - the incarnation that may be fenced
   * @returns true when a majority of the witnesses of every epoch to cover has an expired promise
   */
  async isFenced(suspect: Incarnation): Promise<boolean> {
    const { task } = this.context;
    const memberEntry = task.members().members.get(suspect.vm);
    if (!memberEntry || !sameIncarnation(memberEntry.member, suspect)) return false;
    const reportedEpoch = task.report(suspect)?.epoch ?? 0;
    const evidence: FenceEvidence = {
      suspect,
      joinedAt: Math.max(memberEntry.joinedAt, reportedEpoch),
      epochs: task.listEpochs(),
      promises: [],
    };
    const states = await Promise.all(
      listFenceWitnesses(evidence).map((witness) => this.askState(witness, suspect)),
    );
    const promises = states.flatMap((promise) => promise ?? []);
    return computeFenceEnd({ ...evidence, promises }) !== undefined;
  }

  private async check(): Promise<void> {
    const { task } = this.context;
    // A VM that gets no answers from a majority is itself the one that is partitioned.
    if (!task.leaseLive()) return;
    const fences = await task.ask<readonly FenceEvidence[]>((reply) => ({
      kind: 'suspects',
      reply,
    }));
    fences.forEach((evidence) => {
      void this.advanceFence(evidence);
    });
  }

  private async advanceFence(evidence: FenceEvidence): Promise<void> {
    const { vm } = evidence.suspect;
    if (this.inProgress.has(vm)) return;
    this.inProgress.add(vm);
    const endMs = computeFenceEnd(evidence);
    if (endMs === undefined) await this.collectPromises(evidence);
    else if (this.context.clock.monotonicMs() >= endMs) await this.appendRemoval(evidence);
    this.inProgress.delete(vm);
  }

  private async collectPromises(evidence: FenceEvidence): Promise<void> {
    const answeredIncarnations = new Set(
      evidence.promises.map(({ witness }) => witness.incarnation),
    );
    await Promise.all(
      listFenceWitnesses(evidence)
        .filter(({ incarnation }) => !answeredIncarnations.has(incarnation))
        .map((witness) => this.askPromise(witness, evidence.suspect)),
    );
  }

  private async askPromise(witness: Incarnation, suspect: Incarnation): Promise<void> {
    const { task } = this.context;
    const answer = sameIncarnation(witness, task.self())
      ? await task.ask<PromiseAnswer>((reply) => ({ kind: 'promise', suspect, reply }))
      : await this.requestPromise(witness, suspect);
    if (!answer?.promised) return;
    const { reportedEpoch } = answer;
    const atMs = this.context.clock.monotonicMs();
    task.send({ kind: 'promised', suspect, promise: { witness, atMs, reportedEpoch } });
  }

  private async requestPromise(
    witness: Incarnation,
    { vm, incarnation }: Incarnation,
  ): Promise<PromiseAnswer | undefined> {
    const member = this.findMember(witness);
    if (!member) return undefined;
    const client = this.context.kernel.find('peers').client(member.peers);
    const sender = createSender(this.context);
    const answer = await attempt(client.promiseFence({ sender, vm, incarnation }));
    if (!answer) return undefined;
    return { promised: answer.promised, reportedEpoch: Number(answer.reportedEpoch) };
  }

  private async askState(
    witness: Incarnation,
    suspect: Incarnation,
  ): Promise<FencePromise | undefined> {
    const { task, clock } = this.context;
    const state = sameIncarnation(witness, task.self())
      ? await task.ask<FenceState>((reply) => ({ kind: 'fence-state', suspect, reply }))
      : await this.requestState(witness, suspect);
    if (!state?.fenced || !state.expired) return undefined;
    return { witness, atMs: clock.monotonicMs(), reportedEpoch: 0 };
  }

  private async requestState(
    witness: Incarnation,
    { vm, incarnation }: Incarnation,
  ): Promise<FenceState | undefined> {
    const member = this.findMember(witness);
    if (!member) return undefined;
    const client = this.context.kernel.find('peers').client(member.peers);
    return attempt(client.fenceStatus({ sender: createSender(this.context), vm, incarnation }));
  }

  /** Finds a listed witness. Only an incarnation that still runs can answer; others have left every member list. */
  private findMember(witness: Incarnation): Member | undefined {
    const member = this.context.task.members().members.get(witness.vm)?.member;
    return member && sameIncarnation(member, witness) ? member : undefined;
  }

  private async appendRemoval({ suspect, epochs }: FenceEvidence): Promise<void> {
    const { clock, signal, task } = this.context;
    const epoch = epochs.at(-1)?.epoch;
    await clock.sleep(Math.random() * APPEND_JITTER_MS, signal);
    if (signal.aborted || task.isRemoved(suspect) || task.members().epoch !== epoch) return;
    const { vm, incarnation } = suspect;
    await appendMemberRecord(this.context, {
      format: 1,
      kind: 'removed',
      vm,
      incarnation,
      evidence: 'fenced',
      epoch,
    });
  }
}
