import type { EngineFailure } from '../backends/engine-failure.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { DesiredOrder } from './desired-orders.js';
import type { OrderResult } from './order-tracker.js';

/** Result of an order, with its reason. */
export interface OrderReply {
  readonly result: OrderResult;
  readonly reason: string;
  /** Monotonic time at which the order was written, in milliseconds; 0 when it was not written. */
  readonly sentMs: number;
}

/** An order that is sent to an engine. */
export interface OutgoingOrder {
  readonly server: EngineServer;
  readonly order: DesiredOrder;
  readonly fencingNumber: number;
  /** Called right before the first byte is written; nothing is written when it returns false. */
  readonly maySend: () => boolean;
}

/** Dependencies of a sender. */
export interface OrderSenderDependencies {
  /** Finds the backends, the membership and the weight store. */
  readonly kernel: Kernel;
  readonly clock: Clock;
  /** Whether a weight store is configured, in which weights are looked up. */
  readonly checksWeights: boolean;
}

/** Sends single orders after checking that the weight store has the weights that they need. */
export class OrderSender {
  /** Versions that the weight store has. A version never changes, so it is looked up only once. */
  private readonly knownWeights = new Set<string>();

  private constructor(private readonly dependencies: OrderSenderDependencies) {}

  /**
   * Creates a sender that has looked up no version yet.
   *
   * @param dependencies - dependencies of the sender
   * @returns a new sender
   */
  static create(dependencies: OrderSenderDependencies): OrderSender {
    return new OrderSender(dependencies);
  }

  /**
   * Sends an order once, without retries; fails before sending when its weights are known to be
   * missing.
   *
   * @param outgoing - the order
   * @returns the result
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
