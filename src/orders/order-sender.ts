import type { EngineFailure } from '../backends/engine-failure.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { DesiredOrder } from './desired-orders.js';
import type { OrderResult } from './order-tracker.js';

/** What became of an order. */
export interface OrderReply {
  readonly result: OrderResult;
  readonly reason: string;
  /** Time at which it was written, on the monotonic clock, in milliseconds; 0 when it was not. */
  readonly sentMs: number;
}

/** An order on its way to an engine. */
export interface OutgoingOrder {
  readonly server: EngineServer;
  readonly order: DesiredOrder;
  readonly fencingNumber: number;
  /** Asked right before the first byte is written. */
  readonly maySend: () => boolean;
}

/** What a sender works with. */
export interface OrderSenderDependencies {
  /** Finds the backends, the membership and the weight store. */
  readonly kernel: Kernel;
  readonly clock: Clock;
  /** Whether there is a weight store. */
  readonly checksWeights: boolean;
}

/** Sends single orders, after a look for the weights that they need. */
export class OrderSender {
  /** Versions that the weight store has; a version is never changed, so it is asked for once. */
  private readonly knownWeights = new Set<string>();

  private constructor(private readonly dependencies: OrderSenderDependencies) {}

  /**
   * Creates a sender that knows of no version.
   *
   * @param dependencies - what it works with
   * @returns a new sender
   */
  static create(dependencies: OrderSenderDependencies): OrderSender {
    return new OrderSender(dependencies);
  }

  /**
   * Sends an order once.
   *
   * @param outgoing - the order
   * @returns what became of it
   */
  async send(outgoing: OutgoingOrder): Promise<OrderReply> {
    const { kernel, clock } = this.dependencies;
    const { server, order, fencingNumber, maySend } = outgoing;
    const missing = await this.findMissingWeights(order);
    if (missing !== undefined) return { result: 'failed', reason: missing, sentMs: 0 };
    let sentMs = 0;
    const { kind, value } = order;
    const commander = kernel.find('membership').self().vm;
    const outcome = await kernel
      .find('backends')
      .engine(server)
      .order({ kind, value, fencingNumber, commander }, () => {
        sentMs = clock.monotonicMs();
        return maySend();
      });
    if (outcome.kind === 'ok') return { result: 'acknowledged', reason: '', sentMs };
    return { result: classify(outcome.failure), reason: outcome.failure.message, sentMs };
  }

  private async findMissingWeights({ weights }: DesiredOrder): Promise<string | undefined> {
    if (!weights || !this.dependencies.checksWeights) return undefined;
    const { model, version } = weights;
    const name = `${model}/${version}`;
    if (this.knownWeights.has(name)) return undefined;
    const file = await this.dependencies.kernel.find('weight-store').find(model, version);
    if (file.kind === 'failed') return `${name}: ${file.failure.message}`;
    this.knownWeights.add(name);
    return undefined;
  }
}

function classify({ reason }: EngineFailure): OrderResult {
  const hadNoEffect = ['refused', 'rejected', 'cancelled'].includes(reason);
  return hadNoEffect ? 'failed' : 'unknown';
}
