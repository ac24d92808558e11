import assert from 'node:assert/strict';

import fc from 'fast-check';

import { createEngineServer } from '../../harness/model-fixtures.js';
import {
  EMPTY_MEMBER_STATE,
  applyMemberRecord,
  listMembers,
} from '../../src/membership/member-state.js';
import type { MemberRecord } from '../../src/membership/member-record.js';
import type { Member } from '../../src/membership/membership.js';
import { SHARE_LEASE_MS } from '../../src/membership/share-lease.js';
import { CommanderElection, type ElectionView } from '../../src/orders/commander-election.js';
import { type DesiredEngine, listDesiredEngines } from '../../src/orders/desired-orders.js';
import { OrderTracker, type SendStep } from '../../src/orders/order-tracker.js';
import type { LogRecord } from '../../src/infrastructure/log-service.js';
import { createState } from './fake-services.js';
import { createTestMember } from './lease-simulation.js';
import { weighted } from './weighted.js';

/**
 * Maximum delivery times of an order, in milliseconds, one shorter and one longer than the lease. With
 * the long one, an order arrives after a wait for the lease alone; with the short one, an order is
 * written at the end of the lease after a wait for the delivery time alone.
 */
export const MAX_DELIVERY_TIMES_MS = [1000, 6000] as const;
const ROLES = ['prefill', 'decode', 'both'] as const;

// Orders are written often and rarely lost, so that many are in progress when the commander changes.
const STEP_WEIGHTS = {
  ...{ tick: 8, write: 8, desire: 4, deliver: 3 },
  ...{ break: 1, lose: 1, heal: 1, depose: 1, restart: 1 },
};

/** Steps of members, orders and engines; the number selects one of these or a duration. */
export const orderSchedules = fc.array(fc.tuple(weighted(STEP_WEIGHTS), fc.nat(900)), {
  ...{ minLength: 100, maxLength: 300, size: 'max' },
});

interface Message {
  readonly step: SendStep;
  readonly fencingNumber: number;
  readonly sentMs: number;
  readonly tracker: OrderTracker;
  answered: boolean;
}

interface SimulatedNode {
  member: Member;
  state: typeof EMPTY_MEMBER_STATE;
  tracker: OrderTracker | undefined;
  fencingNumber: number | undefined;
  mode: string;
  leaseUntilMs: number;
  readonly election: CommanderElection;
  readonly prepared: Omit<Message, 'sentMs' | 'answered'>[];
}

/** Three members that send orders to two engines, of which the second ignores fencing numbers. */
export class OrdersSimulation {
  effects = 0;

  successions = 0;

  private nowMs = 0;

  private role: (typeof ROLES)[number] = 'prefill';

  private readonly log: LogRecord[] = [];

  private messages: Message[] = [];

  private readonly engines = [true, false].map((checksFencing) => {
    const values = new Map<string, string>();
    return { checksFencing, values, incarnation: 1, newest: 0, sentMs: 0 };
  });

  private readonly nodes: readonly SimulatedNode[];

  constructor(private readonly maxDeliveryMs: number) {
    this.nodes = [0, 1, 2].map((index) => {
      const member = createTestMember(index, '');
      const election = CommanderElection.create(maxDeliveryMs);
      const empty = {
        state: EMPTY_MEMBER_STATE,
        tracker: undefined,
        fencingNumber: undefined,
        leaseUntilMs: 0,
      };
      return { ...empty, member, election, mode: 'heal', prepared: [] };
    });
  }

  step([next, at]: readonly [string, number]): void {
    const node = this.nodes[at % this.nodes.length];
    const engine = this.engines[at % this.engines.length];
    assert.ok(node && engine);
    if (next === 'tick') this.advance(at);
    else if (next === 'write') this.write(node);
    else if (next === 'desire') this.role = ROLES[at % ROLES.length] ?? 'both';
    else if (next === 'depose') this.removeCommander(at % 4 === 0 ? 'freeze' : 'cut');
    else if (next === 'heal') node.mode = next;
    else if (next !== 'restart')
      this.completeDelivery(this.messages[at % this.messages.length], next);
    else {
      engine.incarnation += 1;
      engine.values.clear();
    }
  }

  /** Ends all faults and checks that the engines are in the configured state after the time. */
  settle(ms: number): void {
    this.nodes.forEach((node) => Object.assign(node, { mode: 'heal' }));
    for (let passedMs = 0; passedMs < ms; passedMs += 250) {
      this.advance(250);
      this.nodes.forEach((node) => this.write(node));
      [...this.messages].forEach((message) => this.completeDelivery(message, 'deliver'));
    }
    this.engines.forEach(({ values }) => {
      assert.equal(values.get('role'), this.role);
      assert.equal(values.get('load-model/planner'), 'planner');
    });
  }

  private advance(ms: number): void {
    this.nowMs += ms;
    const late = this.messages.filter(({ sentMs }) => this.nowMs >= sentMs + this.maxDeliveryMs);
    late.forEach((message) => this.completeDelivery(message, 'lose'));
    this.nodes.forEach((node) => this.tick(node));
  }

  private tick(node: SimulatedNode): void {
    if (node.mode === 'freeze') return;
    if (node.mode === 'heal') this.catchUp(node);
    const { election, member } = node;
    const fencingNumber = election.observe(this.view(node), this.nowMs);
    if (fencingNumber !== node.fencingNumber) {
      this.successions += fencingNumber === undefined ? 0 : 1;
      Object.assign(node, { fencingNumber, tracker: OrderTracker.create(this.maxDeliveryMs) });
    }
    if (node.mode === 'heal' && election.shouldClaim(this.view(node), this.nowMs)) {
      const succeeds = node.state.commander?.fencingNumber ?? 0;
      this.append({ ...{ format: 1, kind: 'commander', succeeds }, ...member });
    }
    if (fencingNumber !== undefined && node.tracker)
      this.takeDueSteps(node, node.tracker, fencingNumber);
  }

  private catchUp(node: SimulatedNode): void {
    Object.assign(node, { state: this.log.reduce(applyMemberRecord, node.state) });
    const { vm, incarnation } = node.member;
    if (node.state.members.get(vm)?.member.incarnation === incarnation) {
      Object.assign(node, { leaseUntilMs: this.nowMs + SHARE_LEASE_MS });
      return;
    }
    const member = { ...node.member, incarnation: `run-${this.log.length}` };
    Object.assign(node, { member, leaseUntilMs: 0 });
    this.append({ format: 1, kind: 'joined', member });
  }

  private takeDueSteps(node: SimulatedNode, tracker: OrderTracker, fencingNumber: number): void {
    tracker.setDesired(this.desired());
    const steps = tracker.takeDueSteps(this.nowMs, (engine) =>
      this.maySend(node, engine, fencingNumber),
    );
    steps.forEach(({ engine, order }) => {
      if (order) node.prepared.push({ step: { engine, order }, fencingNumber, tracker });
      else tracker.recordIncarnation(engine, String(this.engineOf(engine).incarnation), this.nowMs);
    });
  }

  private write(node: SimulatedNode): void {
    if (node.mode === 'freeze') return;
    node.prepared.splice(0).forEach(({ step, fencingNumber, tracker }) => {
      const sentMs = this.nowMs;
      const message = { step, fencingNumber, tracker, sentMs, answered: false };
      if (this.maySend(node, step.engine, fencingNumber)) this.messages.push(message);
      else tracker.recordResult(step, 'failed', 0, sentMs);
    });
  }

  /** An order whose connection breaks may still take effect within its delivery time. */
  private completeDelivery(message: Message | undefined, how: string): void {
    if (!message) return;
    const reached = how === 'deliver';
    const answer = reached && this.applyOrder(message) ? 'acknowledged' : 'failed';
    const result = reached ? answer : 'unknown';
    if (!message.answered)
      message.tracker.recordResult(message.step, result, message.sentMs, this.nowMs);
    Object.assign(message, { answered: true });
    if (how !== 'break') this.messages = this.messages.filter((each) => each !== message);
  }

  private applyOrder({ step: { engine, order }, fencingNumber, sentMs }: Message): boolean {
    const target = this.engineOf(engine);
    if (target.checksFencing && fencingNumber < target.newest) return false;
    assert.ok(
      fencingNumber >= target.newest,
      `number ${fencingNumber} took effect after ${target.newest}`,
    );
    const overtaken = fencingNumber === target.newest && sentMs < target.sentMs;
    assert.ok(!overtaken, `an order sent at ${sentMs} took effect after a later one`);
    Object.assign(target, { newest: fencingNumber, sentMs });
    target.values.set(order.subject, order.value);
    this.effects += 1;
    return true;
  }

  /** Removes the commander from the members while its lease is still live. */
  private removeCommander(mode: string): void {
    const node = this.nodes.find(({ fencingNumber }) => fencingNumber !== undefined);
    if (!node || node.mode !== 'heal') return;
    Object.assign(node, { mode });
    this.append({ ...{ format: 1, kind: 'removed', evidence: 'unlisted' }, ...node.member });
  }

  private maySend(node: SimulatedNode, { server }: DesiredEngine, fencingNumber: number): boolean {
    const order = { fencingNumber, checksFencing: server.checksFencing };
    return node.election.maySend(this.view(node), order, this.nowMs);
  }

  private view({ member, state, leaseUntilMs }: SimulatedNode): ElectionView {
    const leaseLive = this.nowMs < leaseUntilMs;
    return { self: member, members: listMembers(state), commander: state.commander, leaseLive };
  }

  private desired(): readonly DesiredEngine[] {
    const servers = this.engines.map(({ checksFencing }, index) =>
      createEngineServer(`engine-${index}`, { role: this.role, checksFencing }),
    );
    return listDesiredEngines(createState(servers));
  }

  private engineOf({ server }: DesiredEngine) {
    const engine = this.engines[Number(server.name.split('-')[1])];
    assert.ok(engine);
    return engine;
  }

  private append(record: MemberRecord): void {
    const offset = this.log.length + 1;
    this.log.push({ offset, timestampMs: this.nowMs, data: JSON.stringify(record) });
  }
}
