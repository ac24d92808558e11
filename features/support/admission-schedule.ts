import fc from 'fast-check';

import { createMember, ZONES } from '../../harness/module-fakes.js';
import { HomeShares, type FleetSnapshot } from '../../src/admission/home-shares.js';
import { computeTeamLimits, DISPATCH_DELAY_MS } from '../../src/admission/share-limits.js';
import { HomeAssignment } from '../../src/admission/home-assignment.js';
import { SharedGrant } from '../../src/admission/shared-grant.js';
import { fail } from '../../src/kernel/outcome.js';
import { Refusal } from '../../src/domain/refusal.js';
import type { Member, MemberEpoch } from '../../src/membership/membership.js';
import { SkewedClock } from './skewed-clock.js';
import { findOverspentWindows } from './spent-windows.js';
import { weighted } from './weighted.js';

const TEAM = 'oval-crew';

/**
 * One step of a schedule. `who`, `whom` and `amount` are mapped to existing VMs, debits and values.
 */
export interface ScheduleStep {
  readonly kind: StepKind;
  readonly who: number;
  readonly whom: number;
  readonly amount: number;
  readonly afterMs: number;
}

const STEP_WEIGHTS = {
  request: 16,
  debit: 8,
  deliver: 8,
  lose: 1,
  repeat: 3,
  dispatch: 8,
  finish: 5,
  fold: 5,
  hear: 6,
  join: 2,
  die: 2,
  'change-rate': 1,
  'fold-rate': 2,
  suspend: 1,
  resume: 4,
  'set-wall': 1,
} as const;

type StepKind = keyof typeof STEP_WEIGHTS;

/** Generates the steps of a schedule. Times are in milliseconds of simulated time. */
export const scheduleArbitrary = fc.array(
  fc.record({
    kind: weighted(STEP_WEIGHTS),
    who: fc.nat(11),
    whom: fc.nat(11),
    amount: fc.integer({ min: 1, max: 700 }),
    afterMs: fc.oneof(
      { weight: 6, arbitrary: fc.constant(0) },
      { weight: 3, arbitrary: fc.nat(30) },
      { weight: 1, arbitrary: fc.nat(600) },
    ),
  }),
  { minLength: 40, maxLength: 120, size: 'max' },
);

/** Tolerance for floating-point rounding, in tokens. */
const ROUNDING_TOKENS = 1e-6;

/** Defects that can be injected to show that the check detects them. */
export interface Defects {
  /** Displaced homes are not asked to confirm the epoch. */
  readonly unconfirmed?: boolean;
  /** The age of the debit is not checked before sending. */
  readonly lateDispatch?: boolean;
  /** A retried debit call is refunded as if it had been charged again. */
  readonly refundedTwice?: boolean;
}

interface RateSetting {
  readonly rate: number;
  readonly burst: number;
  fromMs: number;
  toMs: number;
}

interface Debit {
  readonly id: string;
  readonly from: SimulatedVm;
  readonly home: SimulatedVm;
  readonly tokens: number;
  readonly startedMs: number;
  readonly startedWallMs: number;
  granted: number;
  state: 'sent' | 'granted' | 'dispatched' | 'ended';
  entry?: { atMs: number; tokens: number };
}

interface SimulatedVm {
  readonly member: Member;
  readonly clock: SkewedClock;
  readonly shares: HomeShares;
  readonly knownEpochs: Map<string, number>;
  epoch: number;
  setting: number;
  alive: boolean;
}

/** Several VMs, each with its own clock and view of the fleet, and the tokens sent for one team. */
export class AdmissionSchedule {
  private nowMs = 10_000;

  private readonly epochs: MemberEpoch[] = [];

  private readonly vms: SimulatedVm[] = [];

  private readonly debits: Debit[] = [];

  private readonly settings: RateSetting[] = [
    { rate: 1000, burst: 1000, fromMs: 0, toMs: Infinity },
  ];

  private readonly sent: { atMs: number; tokens: number }[] = [];

  private readonly table = HomeAssignment.create(2);

  private nextId = 0;

  private constructor(private readonly defects: Defects) {}

  /** Runs a schedule and returns the windows in which too many tokens were sent. */
  static run(steps: readonly ScheduleStep[], defects: Defects = {}): readonly string[] {
    const schedule = new AdmissionSchedule(defects);
    for (let count = 0; count < 3; count += 1) schedule.join(count);
    schedule.vms.forEach((vm) => schedule.applyNextEpochs(vm, 3));
    schedule.vms.forEach((vm) => schedule.vms.forEach((other) => schedule.learnEpoch(vm, other)));
    schedule.vms.forEach((vm) => vm.shares.applyEpochs(schedule.snapshot(vm)));
    schedule.nowMs += 2000;
    steps.forEach((step) => schedule.step(step));
    return findOverspentWindows(schedule.sent, (fromMs, toMs) =>
      schedule.computeAllowed(fromMs, toMs),
    );
  }

  private step(step: ScheduleStep): void {
    this.nowMs += step.afterMs;
    const responsive = this.vms.filter((vm) => vm.alive && vm.clock.suspendedSinceMs === undefined);
    const living = this.vms.filter((vm) => vm.alive);
    const who = pick(responsive, step.who);
    const whom = pick(responsive, step.whom);
    if (step.kind === 'join') this.join(step.who);
    if (step.kind === 'resume') pick(living, step.who)?.clock.resume();
    if (step.kind === 'change-rate') this.changeRate(step.amount, step.who);
    if (!who || !whom) return;
    this.applyStep(step, who, whom);
  }

  private applyStep({ kind, ...step }: ScheduleStep, who: SimulatedVm, whom: SimulatedVm): void {
    if (kind === 'request') {
      this.debit(who, step.whom, step.amount);
      this.completeNewest();
    }
    if (kind === 'debit') this.debit(who, step.whom, step.amount);
    if (kind === 'deliver') this.deliver(step.who, true);
    if (kind === 'lose') this.deliver(step.who, false);
    if (kind === 'repeat') this.repeat(step.who);
    if (kind === 'dispatch') this.dispatch(step.who);
    if (kind === 'finish') this.finish(step.who, step.amount);
    if (kind === 'fold') this.applyNextEpochs(who, 1 + (step.amount % 3));
    if (kind === 'hear') this.learnEpoch(who, whom);
    if (kind === 'die') this.die(who);
    if (kind === 'fold-rate') this.applyNextRate(who);
    if (kind === 'suspend') who.clock.suspend();
    if (kind === 'set-wall') who.clock.shiftWall(step.amount * 10);
  }

  private join(seed: number): void {
    const living = this.vms.filter((vm) => vm.alive);
    if (living.length >= 6) return;
    this.nextId += 1;
    const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'];
    const free = names.filter((name) => !living.some((vm) => vm.member.vm === name));
    const name = free[seed % free.length]!;
    const availabilityZone = ZONES[name.charCodeAt(0) % ZONES.length];
    const member = createMember(name, { incarnation: `${this.nextId}`, availabilityZone });
    this.append([...(this.epochs.at(-1)?.members ?? []), member]);
    const vm: SimulatedVm = {
      member,
      clock: new SkewedClock(() => this.nowMs),
      shares: HomeShares.create(this.table),
      knownEpochs: new Map(),
      epoch: this.epochs.length,
      setting: this.settings.length - 1,
      alive: true,
    };
    this.vms.push(vm);
  }

  private append(members: readonly Member[]): void {
    this.epochs.push({ epoch: this.epochs.length + 1, members });
  }

  private die(vm: SimulatedVm): void {
    if (this.vms.filter((other) => other.alive).length <= 1) return;
    Object.assign(vm, { alive: false });
    this.append(this.epochs.at(-1)!.members.filter((member) => member !== vm.member));
    this.closeSettings();
  }

  private applyNextEpochs(vm: SimulatedVm, count: number): void {
    Object.assign(vm, { epoch: Math.min(this.epochs.length, vm.epoch + count) });
  }

  private learnEpoch(vm: SimulatedVm, other: SimulatedVm): void {
    vm.knownEpochs.set(other.member.incarnation, other.epoch);
  }

  private changeRate(amount: number, seed: number): void {
    this.settings.push({
      rate: 200 + amount * 4,
      burst: 300 + seed * 200,
      fromMs: this.nowMs,
      toMs: Infinity,
    });
  }

  private applyNextRate(vm: SimulatedVm): void {
    Object.assign(vm, { setting: Math.min(this.settings.length - 1, vm.setting + 1) });
    vm.shares.applyLimits(this.snapshot(vm));
    this.closeSettings();
  }

  private closeSettings(): void {
    const oldest = Math.min(...this.vms.filter((vm) => vm.alive).map((vm) => vm.setting));
    this.settings.slice(0, oldest).forEach((setting) => {
      Object.assign(setting, { toMs: Math.min(setting.toMs, this.nowMs) });
    });
  }

  private snapshot(vm: SimulatedVm): FleetSnapshot {
    const present = this.epochs[vm.epoch - 1]!;
    const knownEpoch = (member: Member) =>
      member === vm.member ? vm.epoch : (vm.knownEpochs.get(member.incarnation) ?? 0);
    const oldest = Math.max(1, Math.min(vm.epoch, ...present.members.map(knownEpoch)));
    const setting = this.settings[vm.setting]!;
    return {
      self: vm.member,
      history: this.epochs.slice(oldest - 1, vm.epoch),
      nowMs: vm.clock.monotonicMs(),
      limitsOf: () => computeTeamLimits({ name: TEAM, weight: 1, ...setting }, 1),
      hasConfirmed: (member, epoch) =>
        this.defects.unconfirmed === true || knownEpoch(member) >= epoch,
    };
  }

  private debit(from: SimulatedVm, seed: number, tokens: number): void {
    const homes = this.table.homes(TEAM, this.epochs[from.epoch - 1]!);
    const member = homes[seed % homes.length];
    const home = this.vms.find((vm) => vm.member === member);
    if (!home) return;
    this.nextId += 1;
    this.debits.push({
      id: `${this.nextId}`,
      from,
      home,
      tokens,
      startedMs: from.clock.monotonicMs(),
      startedWallMs: from.clock.wallMs(),
      granted: 0,
      state: 'sent',
    });
  }

  /** Completes the newest debit and sends its request without delay. */
  private completeNewest(): void {
    const newest = this.debits.at(-1);
    if (newest?.state !== 'sent' || !isResponsive(newest.home)) return;
    this.deliver(this.debitsIn('sent').length - 1, true);
    if (newest.granted > 0) this.dispatch(this.debitsIn('granted').length - 1);
  }

  /**
   * Makes a home handle a debit. When the answer is lost, the tokens are charged but never sent.
   */
  private deliver(seed: number, answered: boolean): void {
    const debit = pick(this.debitsIn('sent'), seed);
    if (!debit || !isResponsive(debit.home)) return;
    const granted = this.charge(debit, debit.id);
    if (!answered) return;
    Object.assign(debit, { granted, state: granted > 0 ? 'granted' : 'ended' });
  }

  private repeat(seed: number): void {
    const debit = pick(this.debitsIn('granted'), seed);
    if (!debit || !isResponsive(debit.home)) return;
    if (!this.defects.refundedTwice) {
      this.charge(debit, debit.id);
      return;
    }
    debit.home.shares.refund(debit.id, debit.granted, debit.home.clock.monotonicMs());
  }

  private charge(debit: Debit, id: string): number {
    const { shares } = debit.home;
    return shares.debit(TEAM, debit.tokens, id, this.snapshot(debit.home)).granted;
  }

  private dispatch(seed: number): void {
    const debit = pick(this.debitsIn('granted'), seed);
    if (!debit || !isResponsive(debit.from)) return;
    if (!this.defects.lateDispatch && !this.isSendable(debit)) {
      this.endDebit(debit, debit.granted);
      return;
    }
    const entry = { atMs: this.nowMs, tokens: debit.granted };
    this.sent.push(entry);
    Object.assign(debit, { entry, state: 'dispatched' });
  }

  private isSendable(debit: Debit): boolean {
    const { startedMs, startedWallMs } = debit;
    const funding = { parts: [], startedMs, startedWallMs };
    const hold = { heldSinceMs: 0, release: () => undefined };
    return SharedGrant.create({ funding, hold }, false, {
      clock: debit.from.clock,
      leaseLive: () => true,
      refund: () => undefined,
      refundAll: () => undefined,
      debit: async () => fail(Refusal.create('overloaded', 'not used')),
    }).sendable();
  }

  /** Ends a request that did not use all of its tokens. Only used tokens count as sent. */
  private finish(seed: number, amount: number): void {
    const debit = pick(this.debitsIn('dispatched'), seed);
    if (!debit) return;
    const unused = amount % (debit.granted + 1);
    if (debit.home.alive && isResponsive(debit.home)) debit.entry!.tokens -= unused;
    this.endDebit(debit, unused);
  }

  private endDebit(debit: Debit, unused: number): void {
    const { home } = debit;
    if (isResponsive(home)) home.shares.refund(debit.id, unused, home.clock.monotonicMs());
    Object.assign(debit, { state: 'ended' });
  }

  private debitsIn(state: Debit['state']): readonly Debit[] {
    return this.debits.filter((debit) => debit.state === state);
  }

  /** The largest rate and burst that any VM applied in the window limit the tokens sent in it. */
  private computeAllowed(fromMs: number, toMs: number): number {
    const applied = this.settings.filter(
      (setting) => setting.fromMs <= toMs && setting.toMs >= fromMs - DISPATCH_DELAY_MS,
    );
    const rate = Math.max(...applied.map((setting) => setting.rate));
    const burst = Math.max(...applied.map((setting) => setting.burst));
    return burst + (rate * (toMs - fromMs)) / 1000 + ROUNDING_TOKENS;
  }
}

function isResponsive(vm: SimulatedVm): boolean {
  return vm.alive && vm.clock.suspendedSinceMs === undefined;
}

function pick<Item>(items: readonly Item[], seed: number): Item | undefined {
  return items.length > 0 ? items[seed % items.length] : undefined;
}
