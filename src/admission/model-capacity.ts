import type { Kernel } from '../kernel/kernel.js';
import type { ModelQueue } from './model-queues.js';
import type { FleetView } from './fleet-view.js';
import type { WaitingRequest } from './waiting-request.js';

/** Time from the end of a prefill to the first token: calls, transfer and one token. */
const POST_PREFILL_MS = 50;

/** Tells whether the servers of a lane can take a request; plain services take all. */
export class ModelCapacity {
  private constructor(
    private readonly kernel: Kernel,
    private readonly fleet: FleetView,
  ) {}

  /**
   * Creates the capacity of all lanes.
   *
   * @param kernel - finds `routing`
   * @param facts - reads the preset in force
   * @returns a new object
   */
  static create(kernel: Kernel, fleet: FleetView): ModelCapacity {
    return new ModelCapacity(kernel, fleet);
  }

  /**
   * Tells whether a request can be sent besides those that were given a turn.
   *
   * @param lane - the lane
   * @param reserve - decode slots that must stay free
   * @returns true when a slot is free
   */
  hasFreeSlot(modelQueue: ModelQueue, reserve: number): boolean {
    if (modelQueue.model === '') return true;
    return this.kernel.find('routing').headroom(modelQueue.model) > modelQueue.holds.size + reserve;
  }

  /**
   * Computes the decode slots that a late request leaves to those that arrive next.
   *
   * @param lane - the lane
   * @param request - the late request
   * @returns decode slots
   */
  lateReserve({ model, reserve }: ModelQueue, { refundable }: WaitingRequest): number {
    if (model === '') return 0;
    return reserve.forLate(refundable, this.kernel.find('routing').decodeSlots(model));
  }

  /**
   * Computes the decode slots that a request of a team beyond its rate leaves to other teams.
   *
   * @param lane - the lane
   * @param request - the request
   * @returns decode slots
   */
  excessReserve({ model, reserve }: ModelQueue, { refundable }: WaitingRequest): number {
    if (model === '') return 0;
    const scaled = reserve.forExcess(refundable, this.kernel.find('routing').decodeSlots(model));
    return Math.max(this.fleet.preset()?.reservedSlots ?? 0, scaled);
  }

  /**
   * Tells whether a request would miss the first-token target.
   *
   * @param request - the request
   * @param startMs - monotonic time when its prefill could be sent, in milliseconds
   * @returns true when the first token would come too late
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
