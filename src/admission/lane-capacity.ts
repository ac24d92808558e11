import type { Kernel } from '../kernel/kernel.js';
import type { Lane } from './admission-lanes.js';
import type { FleetFacts } from './fleet-facts.js';
import type { WaitingRequest } from './waiting-request.js';

/** Time from the end of a prefill to the first token: calls, transfer and one token. */
const AFTER_PREFILL_MS = 50;

/** Tells whether the servers of a lane can take a request; plain services take all. */
export class LaneCapacity {
  private constructor(
    private readonly kernel: Kernel,
    private readonly facts: FleetFacts,
  ) {}

  /**
   * Creates the capacity of all lanes.
   *
   * @param kernel - finds `routing`
   * @param facts - reads the preset in force
   * @returns a new object
   */
  static create(kernel: Kernel, facts: FleetFacts): LaneCapacity {
    return new LaneCapacity(kernel, facts);
  }

  /**
   * Tells whether a request can be sent besides those that were given a turn.
   *
   * @param lane - the lane
   * @param reserve - decode slots that must stay free
   * @returns true when a slot is free
   */
  has(lane: Lane, reserve: number): boolean {
    if (lane.model === '') return true;
    return this.kernel.find('routing').headroom(lane.model) > lane.turns.size + reserve;
  }

  /**
   * Computes the decode slots that a late request leaves to those that arrive next.
   *
   * @param lane - the lane
   * @param request - the late request
   * @returns decode slots
   */
  lateReserve({ model, reserve }: Lane, { refundable }: WaitingRequest): number {
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
  excessReserve({ model, reserve }: Lane, { refundable }: WaitingRequest): number {
    if (model === '') return 0;
    const scaled = reserve.forExcess(refundable, this.kernel.find('routing').decodeSlots(model));
    return Math.max(this.facts.preset()?.reservedSlots ?? 0, scaled);
  }

  /**
   * Tells whether a request would miss the first-token target.
   *
   * @param request - the request
   * @param startMs - monotonic time when its prefill could be sent, in milliseconds
   * @returns true when the first token would come too late
   */
  isLate({ lane, promptTokens, dueMs }: WaitingRequest, startMs: number): boolean {
    if (lane === '') return false;
    const prefillMs = this.kernel.find('routing').prefillWaitMs(lane, promptTokens);
    return startMs + prefillMs + AFTER_PREFILL_MS > dueMs;
  }
}
