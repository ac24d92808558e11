import { FairQueue } from './fair-queue.js';
import { DISPATCH_DELAY_MS } from './share-limits.js';
import { SlotReserve } from './slot-reserve.js';
import type { Turn, WaitingRequest } from './waiting-request.js';

/** Bound on waiting requests for one model. */
const MOST_WAITING = 10_000;

/** The queues of one model and the turns at its servers that routing does not count yet. */
export interface Lane {
  readonly model: string;
  readonly queue: FairQueue<WaitingRequest>;
  /** Requests that can no longer meet the first-token target. */
  readonly lateQueue: FairQueue<WaitingRequest>;
  readonly turns: Set<Turn>;
  readonly reserve: SlotReserve;
}

/** Keeps a lane for each model, and one without a model for plain services. */
export class AdmissionLanes {
  private readonly lanes = new Map<string, Lane>();

  /** Kept when a lane is forgotten, so that a model without requests keeps its mean output. */
  private readonly reserves = new Map<string, SlotReserve>();

  private readonly blocked = new Set<string>();

  /**
   * Creates lanes.
   *
   * @returns new lanes
   */
  static create(): AdmissionLanes {
    return new AdmissionLanes();
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.all().reduce((sum, { queue, lateQueue }) => sum + queue.size + lateQueue.size, 0);
  }

  /**
   * Lists the lanes that are in use.
   *
   * @returns the lanes
   */
  all(): readonly Lane[] {
    return [...this.lanes.values()];
  }

  /**
   * Finds or makes the lane of a model.
   *
   * @param model - name of the model; empty for plain services
   * @returns the lane
   */
  obtain(model: string): Lane {
    const known = this.lanes.get(model);
    if (known) return known;
    const [queue, lateQueue] = [this.createQueue(), this.createQueue()];
    const reserve = this.reserves.get(model) ?? SlotReserve.create();
    this.reserves.set(model, reserve);
    const lane = { model, queue, lateQueue, turns: new Set<Turn>(), reserve };
    this.lanes.set(model, lane);
    return lane;
  }

  /**
   * Passes a team over in all lanes.
   *
   * @param team - name of the team
   */
  block(team: string): void {
    this.blocked.add(team);
    this.queues().forEach((queue) => queue.block(team));
  }

  /**
   * Lets a team take turns in all lanes.
   *
   * @param team - name of the team
   * @param keepsTurns - see {@link FairQueue.unblock}
   */
  unblock(team: string, keepsTurns: boolean): void {
    this.blocked.delete(team);
    this.queues().forEach((queue) => queue.unblock(team, keepsTurns));
  }

  /**
   * Opens a turn.
   *
   * @param lane - the lane
   * @param nowMs - monotonic time in milliseconds
   * @returns the turn
   */
  openTurn(lane: Lane, nowMs: number): Turn {
    const turn: Turn = { openedMs: nowMs, close: () => lane.turns.delete(turn) };
    lane.turns.add(turn);
    return turn;
  }

  /**
   * Closes the turns whose request can no longer be sent, because its debit is too old.
   *
   * @param lane - the lane
   * @param nowMs - monotonic time in milliseconds
   */
  closeOldTurns(lane: Lane, nowMs: number): void {
    lane.turns.forEach((turn) => {
      if (nowMs - turn.openedMs > DISPATCH_DELAY_MS) turn.close();
    });
  }

  /** Forgets the lanes that nobody uses. */
  sweep(): void {
    this.lanes.forEach((lane, model) => {
      if (lane.queue.size + lane.lateQueue.size + lane.turns.size === 0) this.lanes.delete(model);
    });
  }

  private queues(): FairQueue<WaitingRequest>[] {
    return this.all().flatMap(({ queue, lateQueue }) => [queue, lateQueue]);
  }

  private createQueue(): FairQueue<WaitingRequest> {
    const queue = FairQueue.create<WaitingRequest>(MOST_WAITING);
    this.blocked.forEach((team) => queue.block(team));
    return queue;
  }
}
