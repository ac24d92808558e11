import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Settings } from '../settings/schema.js';
import { OrderSender } from './order-sender.js';
import { Orders } from './orders.js';
import { OrdersTask } from './orders-task.js';

/** Interval between two checks for due orders, in milliseconds. */
const TICK_INTERVAL_MS = 250;

/** Number of ticks between two reports of the number of pending orders. */
const REPORT_INTERVAL_TICKS = 20;

/**
 * Maximum time for which the network may delay an order after the sender has abandoned it and
 * destroyed its connection, in milliseconds.
 */
const MAX_NETWORK_DELAY_MS = 500;

/** Orders to the engines, sent by the member that is the commander. */
export class CommandedOrders extends Orders {
  private readonly stopping = new AbortController();

  private readonly task: OrdersTask;

  private running: Promise<void> = Promise.resolve();

  private constructor(
    private readonly kernel: Kernel,
    settings: Settings,
    private readonly clock: Clock,
  ) {
    super();
    const checksWeights = settings.platform.weightStore !== undefined;
    const sender = OrderSender.create({ kernel, clock, checksWeights });
    const maxDeliveryMs = settings.timeouts.engineMs + MAX_NETWORK_DELAY_MS;
    this.task = OrdersTask.create(kernel, clock, sender, maxDeliveryMs);
  }

  /**
   * Creates the service.
   *
   * @param kernel - finds other services
   * @param settings - deadline of engine calls, and whether there is a weight store
   * @param clock - source of time
   * @returns a new service
   */
  static create(kernel: Kernel, settings: Settings, clock: Clock): CommandedOrders {
    return new CommandedOrders(kernel, settings, clock);
  }

  override async start(): Promise<void> {
    this.task.run();
    this.running = this.tickRepeatedly();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
    await this.running;
    await this.task.drain();
    this.task.close();
  }

  override pending(): number | undefined {
    return this.task.pending();
  }

  private async tickRepeatedly(): Promise<void> {
    const { signal } = this.stopping;
    for (let ticks = 0; !signal.aborted; ticks += 1) {
      this.task.send({ kind: 'tick' });
      const pending = ticks % REPORT_INTERVAL_TICKS === 0 ? this.pending() : undefined;
      if (pending !== undefined) this.kernel.find('metrics').gauge('orders.pending', pending);
      await this.clock.sleep(TICK_INTERVAL_MS, signal);
    }
  }
}
