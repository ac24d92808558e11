import fc from 'fast-check';

import { createMember } from '../../harness/module-fakes.js';
import { type Incarnation, formatIncarnation, sameIncarnation } from '../../src/domain/vm.js';
import {
  type FencePromise,
  computeFenceEnd,
  listFenceWitnesses,
} from '../../src/membership/fence.js';
import {
  EMPTY_MEMBER_STATE,
  applyMemberRecord,
  listEpochs,
  listMembers,
  type MemberState,
} from '../../src/membership/member-state.js';
import type { MemberRecord } from '../../src/membership/member-record.js';
import type { Member } from '../../src/membership/membership.js';
import { type Instant, ShareLease } from '../../src/membership/share-lease.js';
import { chooseWitnesses } from '../../src/membership/witness-set.js';
import type { LogRecord } from '../../src/infrastructure/log-service.js';
import { weighted } from './weighted.js';

const ACTION_WEIGHTS = {
  advance: 6,
  beat: 4,
  'beat-all': 3,
  deliver: 6,
  'deliver-all': 3,
  learn: 3,
  'learn-all': 1,
  change: 3,
  ask: 6,
  append: 5,
  pause: 1,
  suspend: 1,
  resume: 2,
} as const;

/** One step of a schedule; `first` and `second` select members and messages modulo their count. */
export interface ScheduleStep {
  readonly action: keyof typeof ACTION_WEIGHTS;
  readonly first: number;
  readonly second: number;
  readonly ms: number;
}

/** Number of VMs; witness sets differ between epochs only when there are many more VMs than five. */
const VMS = 12;

const number = fc.nat({ max: 30 });

const arbitraryStep: fc.Arbitrary<ScheduleStep> = fc.record({
  action: weighted(ACTION_WEIGHTS),
  first: number,
  second: number,
  ms: fc.integer({ min: 0, max: 1500 }),
});

/**
 * Attempt of one member to fence another, mixed with other steps. With purely arbitrary steps, a fence
 * completes in only one of 300 schedules.
 */
const fenceAttempt = fc
  .tuple(
    number,
    number,
    fc.array(arbitraryStep, { maxLength: 8 }),
    fc.integer({ min: 0, max: 4000 }),
  )
  .map(([first, second, otherSteps, ms]): ScheduleStep[] => {
    const ask = { action: 'ask' as const, first, second, ms: 0 };
    const half = Math.floor(otherSteps.length / 2);
    return [
      ask,
      ...otherSteps.slice(0, half),
      { ...ask, action: 'deliver-all' },
      ...otherSteps.slice(half),
      { ...ask, action: 'advance', ms },
      { ...ask, action: 'append' },
    ];
  });

/** Arbitrary schedules over a small fleet. */
export const schedules = fc.record({
  members: fc.integer({ min: 1, max: 9 }),
  rates: fc.array(fc.double({ min: 0.955, max: 1.045, noNaN: true }), {
    minLength: VMS,
    maxLength: VMS,
  }),
  steps: fc
    .array(
      fc.oneof(
        { weight: 3, arbitrary: arbitraryStep.map((step) => [step]) },
        { weight: 1, arbitrary: fenceAttempt },
      ),
      { minLength: 10, maxLength: 60 },
    )
    .map((parts) => parts.flat()),
});

/** Creates a member of a small fleet with three zones. */
export function createTestMember(index: number, incarnation = 'first'): Member {
  const availabilityZone = `zone-${index % 3}`;
  return createMember(`vm-${index}`, { region: 'region', availabilityZone, incarnation });
}

interface Node {
  readonly member: Member;
  readonly rate: number;
  readonly lease: ShareLease;
  readonly promised: Set<string>;
  readonly reported: Map<string, number>;
  readonly fences: Map<string, FencePromise[]>;
  state: MemberState;
  pausedAtMs: number | undefined;
  suspended: boolean;
  frozenMs: number;
}

interface Delivery {
  readonly to: Node;
  readonly run: () => void;
}

/** Runs a schedule on the pure modules; each member has its own view of the log and its own clocks. */
export class LeaseSimulation {
  readonly log: LogRecord[] = [];

  completedFences = 0;

  private logState = EMPTY_MEMBER_STATE;

  private nowMs = 0;

  private joins = 0;

  private nodes: Node[] = [];

  private network: Delivery[] = [];

  private readonly fenced: Node[] = [];

  private constructor(private readonly rates: readonly number[]) {}

  static create(members: number, rates: readonly number[]): LeaseSimulation {
    const simulation = new LeaseSimulation(rates);
    for (let index = 0; index < members; index += 1) simulation.join(index);
    simulation.nodes.forEach((node) => simulation.readLog(node, Infinity));
    return simulation;
  }

  /** Runs one step and checks that no fenced member has a live lease. */
  step({ action, first, second, ms }: ScheduleStep): void {
    const node = this.nodes[first % this.nodes.length];
    if (node) this.runAction(action, node, second, ms);
    this.fenced.forEach((each) => {
      if (each.lease.isLive(this.readClocks(each))) {
        throw new Error(`${formatIncarnation(each.member)} has a live lease after its fence`);
      }
    });
  }

  private runAction(action: ScheduleStep['action'], node: Node, second: number, ms: number): void {
    if (action === 'advance') this.nowMs += ms;
    else if (action === 'beat') this.sendHeartbeats(node);
    else if (action === 'beat-all') this.nodes.forEach((each) => this.sendHeartbeats(each));
    else if (action === 'deliver') this.deliver(second);
    else if (action === 'deliver-all') this.deliverAll();
    else if (action === 'learn') this.readLog(node, 1 + (second % 3));
    else if (action === 'learn-all') this.nodes.forEach((each) => this.readLog(each, Infinity));
    else if (action === 'change') this.change(node, second);
    else if (action === 'ask') this.requestPromises(node, second);
    else if (action === 'append') this.appendRemoval(node, second);
    else if (action === 'resume') this.resume(node);
    else this.pause(node, action === 'suspend');
  }

  private readClocks(node: Node): Instant {
    const frozenNowMs = node.suspended ? this.nowMs - (node.pausedAtMs ?? this.nowMs) : 0;
    const monotonicMs = (this.nowMs - node.frozenMs - frozenNowMs) * node.rate;
    return { monotonicMs, wallMs: this.nowMs * node.rate };
  }

  private appendRecord(record: MemberRecord): boolean {
    const offset = this.logState.offset + 1;
    const entry = { offset, timestampMs: this.nowMs, data: JSON.stringify(record) };
    const { epoch } = this.logState;
    this.log.push(entry);
    this.logState = applyMemberRecord(this.logState, entry);
    return this.logState.epoch !== epoch;
  }

  private join(index: number): void {
    this.joins += 1;
    const member = createTestMember(index, `run-${this.joins}`);
    this.appendRecord({ format: 1, kind: 'joined', member });
    this.nodes = this.nodes.filter((node) => node.member.vm !== member.vm);
    this.nodes.push({
      member,
      rate: this.rates[index % this.rates.length] ?? 1,
      lease: ShareLease.create(member),
      promised: new Set(),
      reported: new Map(),
      fences: new Map(),
      state: EMPTY_MEMBER_STATE,
      pausedAtMs: undefined,
      suspended: false,
      frozenMs: 0,
    });
  }

  private sendHeartbeats(node: Node): void {
    if (node.pausedAtMs !== undefined) return;
    const { epoch } = node.state;
    const sentAt = this.readClocks(node);
    const witnesses = chooseWitnesses(listMembers(node.state), node.member.vm);
    node.lease.recordSent(epoch, witnesses, sentAt);
    witnesses.forEach((witness) => {
      const to = this.findReceiver(witness);
      if (to && to !== node) this.sendHeartbeat(node, to, epoch, sentAt);
    });
  }

  private sendHeartbeat(from: Node, to: Node, epoch: number, sentAt: Instant): void {
    const name = formatIncarnation(from.member);
    const run = () => {
      if (to.promised.has(name)) return;
      to.reported.set(name, Math.max(epoch, to.reported.get(name) ?? 0));
      const answer = () => from.lease.recordAnswer(epoch, to.member, sentAt);
      this.network.push({ to: from, run: answer });
    };
    this.network.push({ to, run });
  }

  private requestPromises(fencer: Node, second: number): void {
    const suspect = this.findSuspect(fencer, second);
    if (!suspect || fencer.pausedAtMs !== undefined) return;
    const name = formatIncarnation(suspect);
    listFenceWitnesses(this.collectEvidence(fencer, suspect)).forEach((witness) => {
      const to = this.findReceiver(witness);
      if (!to) return;
      const run = () => {
        to.promised.add(name);
        const reportedEpoch = to.reported.get(name) ?? 0;
        this.network.push({
          to: fencer,
          run: () => this.recordPromise(fencer, name, witness, reportedEpoch),
        });
      };
      this.network.push({ to, run });
    });
  }

  /** A message reaches the process that runs at the address now, regardless of its incarnation. */
  private findReceiver({ vm }: Incarnation): Node | undefined {
    return this.nodes.find(({ member }) => member.vm === vm);
  }

  private recordPromise(
    fencer: Node,
    name: string,
    witness: Incarnation,
    reportedEpoch: number,
  ): void {
    const atMs = this.readClocks(fencer).monotonicMs;
    const promises = fencer.fences.get(name) ?? [];
    fencer.fences.set(name, [...promises, { witness, atMs, reportedEpoch }]);
  }

  private appendRemoval(fencer: Node, second: number): void {
    const suspect = this.findSuspect(fencer, second);
    if (!suspect || fencer.pausedAtMs !== undefined) return;
    const endMs = computeFenceEnd(this.collectEvidence(fencer, suspect));
    if (endMs === undefined || this.readClocks(fencer).monotonicMs < endMs) return;
    const { vm, incarnation } = suspect;
    const { epoch } = fencer.state;
    const evidence = 'fenced';
    if (!this.appendRecord({ format: 1, kind: 'removed', vm, incarnation, evidence, epoch }))
      return;
    this.completedFences += 1;
    const node = this.nodes.find(({ member }) => sameIncarnation(member, suspect));
    if (node) this.fenced.push(node);
  }

  private findSuspect(fencer: Node, second: number): Member | undefined {
    const others = listMembers(fencer.state).filter(({ vm }) => vm !== fencer.member.vm);
    // Only two suspects are possible, so that several steps of a schedule work on the same fence.
    return others[second % Math.min(2, others.length)];
  }

  private collectEvidence(fencer: Node, suspect: Member) {
    const joinedAt = fencer.state.members.get(suspect.vm)?.joinedAt ?? 0;
    const promises = fencer.fences.get(formatIncarnation(suspect)) ?? [];
    return { suspect, joinedAt, epochs: listEpochs(fencer.state), promises };
  }

  private deliver(index: number): void {
    const running = this.network.filter(({ to }) => to.pausedAtMs === undefined);
    const delivery = running[index % running.length];
    if (!delivery) return;
    this.network = this.network.filter((each) => each !== delivery);
    delivery.run();
  }

  private deliverAll(): void {
    for (let count = this.network.length * 2; count > 0; count -= 1) this.deliver(0);
  }

  private readLog(node: Node, count: number): void {
    if (node.pausedAtMs !== undefined) return;
    const next = this.log.slice(node.state.offset).slice(0, count);
    Object.assign(node, { state: next.reduce(applyMemberRecord, node.state) });
  }

  private change(node: Node, second: number): void {
    const index = second % VMS;
    if (second % 2 === 0) {
      this.join(index);
      return;
    }
    if (this.logState.members.size < 4) return;
    const { vm, incarnation } = node.member;
    this.appendRecord({ format: 1, kind: 'removed', vm, incarnation, evidence: 'left' });
  }

  private pause(node: Node, suspended: boolean): void {
    if (node.pausedAtMs !== undefined) return;
    Object.assign(node, { pausedAtMs: this.nowMs, suspended });
  }

  private resume(node: Node): void {
    if (node.pausedAtMs === undefined) return;
    const pausedMs = this.nowMs - node.pausedAtMs;
    const frozenMs = node.frozenMs + (node.suspended ? pausedMs : 0);
    Object.assign(node, { pausedAtMs: undefined, suspended: false, frozenMs });
  }
}
