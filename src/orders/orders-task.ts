import type { ConfigurationState } from '../configuration/configuration.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Clock } from '../kernel/clock.js';
import { assertInvariant } from '../kernel/invariant.js';
import type { Kernel } from '../kernel/kernel.js';
import { Task } from '../kernel/task.js';
import { CommanderElection, type ElectionView } from './commander-election.js';
import { type DesiredEngine, listDesiredEngines } from './desired-orders.js';
import { OrderTracker, type SendStep } from './order-tracker.js';
import type { OrderReply, OrderSender } from './order-sender.js';

/** State of this VM while it is the commander. */
interface Term {
  readonly fencingNumber: number;
  readonly tracker: OrderTracker;
  /** The configuration from which the desired state was taken. */
  appliedConfiguration?: ConfigurationState;
}

/** A message to the orders task. */
export type OrdersMessage =
  | { readonly kind: 'tick' }
  | {
      readonly kind: 'looked';
      readonly term: Term;
      readonly engine: DesiredEngine;
      readonly incarnation: string | undefined;
    }
  | {
      readonly kind: 'settled';
      readonly term: Term;
      readonly step: SendStep;
      readonly reply: OrderReply;
    };

/** Claims the commander role when it is vacant, and as the commander sends the orders that are due. */
export class OrdersTask extends Task<OrdersMessage> {
  private readonly election: CommanderElection;

  private term: Term | undefined;

  private readonly stepsInProgress = new Set<Promise<void>>();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly sender: OrderSender,
    private readonly maxDeliveryMs: number,
  ) {
    super();
    this.election = CommanderElection.create(maxDeliveryMs);
  }

  /**
   * Creates a task that expects its first tick.
   *
   * @param kernel - finds the membership, the configuration and the backends
   * @param clock - source of time
   * @param sender - sends single orders
   * @param maxDeliveryMs - maximum time between the sending of an order and its effect, in milliseconds
   * @returns a new task
   */
  static create(
    kernel: Kernel,
    clock: Clock,
    sender: OrderSender,
    maxDeliveryMs: number,
  ): OrdersTask {
    return new OrdersTask(kernel, clock, sender, maxDeliveryMs);
  }

  /** Number of orders that have not been acknowledged; undefined unless this VM is the commander. */
  pending(): number | undefined {
    return this.term?.tracker.pending();
  }

  /** Waits until no step is in progress. */
  async drain(): Promise<void> {
    await Promise.all([...this.stepsInProgress]);
  }

  protected override receive(message: OrdersMessage): void {
    switch (message.kind) {
      case 'tick':
        this.tick();
        break;
      case 'looked':
        message.term.tracker.recordIncarnation(
          message.engine,
          message.incarnation,
          this.clock.monotonicMs(),
        );
        break;
      case 'settled':
        this.recordReply(message.term, message.step, message.reply);
        break;
      default:
        assertInvariant(false, 'unknown kind of message to the orders task');
    }
  }

  private tick(): void {
    const view = this.view();
    const nowMs = this.clock.monotonicMs();
    const fencingNumber = this.election.observe(view, nowMs);
    if (this.election.shouldClaim(view, nowMs)) void this.kernel.find('membership').claimCommand();
    if (fencingNumber !== this.term?.fencingNumber) this.beginTerm(fencingNumber);
    if (!this.term || !view.leaseLive) return;
    this.updateDesired(this.term);
    this.startDueSteps(this.term, nowMs);
  }

  private view(): ElectionView {
    const membership = this.kernel.find('membership');
    return {
      self: membership.self(),
      members: membership.current().members,
      commander: membership.commander(),
      leaseLive: membership.leaseLive(),
    };
  }

  private beginTerm(fencingNumber: number | undefined): void {
    const ended = this.term?.fencingNumber;
    this.kernel.find('logs').info('commander term changed', { began: fencingNumber, ended });
    const tracker = OrderTracker.create(this.maxDeliveryMs);
    this.term = fencingNumber === undefined ? undefined : { fencingNumber, tracker };
  }

  private updateDesired(term: Term): void {
    const state = this.kernel.find('configuration').current();
    if (!state || state === term.appliedConfiguration) return;
    Object.assign(term, { appliedConfiguration: state });
    term.tracker.setDesired(listDesiredEngines(state));
  }

  private startDueSteps(term: Term, nowMs: number): void {
    const steps = term.tracker.takeDueSteps(nowMs, ({ server }) => this.maySend(term, server));
    steps.forEach(({ engine, order }) => {
      this.track(
        order ? this.sendOrder(term, { engine, order }) : this.checkIncarnation(term, engine),
      );
    });
  }

  private track(step: Promise<void>): void {
    this.stepsInProgress.add(step);
    void step.finally(() => this.stepsInProgress.delete(step));
  }

  private async checkIncarnation(term: Term, engine: DesiredEngine): Promise<void> {
    const load = await this.kernel.find('backends').engine(engine.server).load();
    const incarnation = load.kind === 'ok' ? load.value.incarnation : undefined;
    this.send({ kind: 'looked', term, engine, incarnation });
  }

  private async sendOrder(term: Term, step: SendStep): Promise<void> {
    const { server } = step.engine;
    const reply = await this.sender.send({
      server,
      order: step.order,
      fencingNumber: term.fencingNumber,
      maySend: () => this.maySend(term, server),
    });
    this.send({ kind: 'settled', term, step, reply });
  }

  private maySend({ fencingNumber }: Term, { checksFencing }: EngineServer): boolean {
    const nowMs = this.clock.monotonicMs();
    return this.election.maySend(this.view(), { fencingNumber, checksFencing }, nowMs);
  }

  private recordReply({ tracker, fencingNumber }: Term, step: SendStep, reply: OrderReply): void {
    const { result, reason, sentMs } = reply;
    tracker.recordResult(step, result, sentMs, this.clock.monotonicMs());
    const { kind, value } = step.order;
    const server = step.engine.server.name;
    this.kernel.find('metrics').increment('orders.sent', { kind, result });
    this.kernel.find('decisions').record({
      ...{ requestId: `orders/${server}`, step: 'order', choice: `${kind} ${value}` },
      reason: reason === '' ? result : `${result}: ${reason}`,
      facts: { fencingNumber },
    });
    const logs = this.kernel.find('logs');
    const fields = { server, kind, value, fencingNumber, result, reason };
    if (result === 'acknowledged') logs.info('order acknowledged', fields);
    else logs.warn('order not acknowledged', fields);
  }
}
