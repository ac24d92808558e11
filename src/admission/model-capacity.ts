import type { Kernel } from '../kernel/kernel.js';
import type { FleetView } from './fleet-view.js';
import type { ModelQueue } from './model-queues.js';
import type { WaitingRequest } from './waiting-request.js';

/** Time from the end of the prefill to the first token: calls, KV transfer and one decode step. */
const POST_PREFILL_MS = 50;

/** Checks whether the servers of a model have capacity for a request; plain services always have. */
export class ModelCapacity {
  private constructor(
    private readonly kernel: Kernel,
    private readonly fleet: FleetView,
  ) {}

  /**
   * Creates the capacity of all models.
   *
   * @param kernel - finds `routing`
   * @param fleet - reads the preset in force
   * @returns a new object
   */
  static create(kernel: Kernel, fleet: FleetView): ModelCapacity {
    return new ModelCapacity(kernel, fleet);
  }

  /**
   * Returns whether a slot is free besides the held ones and the reserve.
   *
   * @param modelQueue - the queues of the model
   * @param reserve - decode slots that must stay free
   * @returns true when a slot is free
   */
  hasFreeSlot(modelQueue: ModelQueue, reserve: number): boolean {
    if (modelQueue.model === '') return true;
    return this.kernel.find('routing').headroom(modelQueue.model) > modelQueue.holds.size + reserve;
  }

  /**
   * Computes the decode slots that a late request must leave free for newer requests.
   *
   * @param modelQueue - the queues of the model
   * @param request - the late request
   * @returns decode slots
   */
  lateReserve({ model, reserve }: ModelQueue, { maxRefundTokens }: WaitingRequest): number {
    if (model === '') return 0;
    return reserve.forLate(maxRefundTokens, this.kernel.find('routing').decodeSlots(model));
  }

  /**
   * Computes the decode slots that a request of a team beyond its rate must leave free for others.
   *
   * @param modelQueue - the queues of the model
   * @param request - the request
   * @returns decode slots
   */
  excessReserve({ model, reserve }: ModelQueue, { maxRefundTokens }: WaitingRequest): number {
    if (model === '') return 0;
    const scaled = reserve.forExcess(
      maxRefundTokens,
      this.kernel.find('routing').decodeSlots(model),
    );
    return Math.max(this.fleet.preset()?.reservedSlots ?? 0, scaled);
  }

  /**
   * Returns whether a request would miss its first-token target.
   *
   * @param request - the request
   * @param startMs - monotonic time when its prefill could be sent, in milliseconds
   * @returns true when the first token would arrive after the target
   */
  missesFirstTokenTarget(
    { model, promptTokens, firstTokenDueMs }: WaitingRequest,
    startMs: number,
  ): boolean {
    if (model === '') return false;
    const prefillMs = this.kernel.find('routing').prefillWaitMs(model, promptTokens);
    return startMs + prefillMs + POST_PREFILL_MS > firstTokenDueMs;
  }
}
