import { FairQueue } from './fair-queue.js';
import { DISPATCH_DELAY_MS } from './share-limits.js';
import { SlotReserve } from './slot-reserve.js';
import type { SlotHold, WaitingRequest } from './waiting-request.js';

/** Bound on waiting requests for one model. */
const MAX_WAITING_PER_MODEL = 10_000;

/** The queues of one model and the turns at its servers that routing does not count yet. */
export interface ModelQueue {
  readonly model: string;
  readonly onTimeQueue: FairQueue<WaitingRequest>;
  /** Requests that can no longer meet the first-token target. */
  readonly lateQueue: FairQueue<WaitingRequest>;
  readonly holds: Set<SlotHold>;
  readonly reserve: SlotReserve;
}

/** Keeps a lane for each model, and one without a model for plain services. */
export class ModelQueues {
  private readonly byModel = new Map<string, ModelQueue>();

  /** Kept when a lane is forgotten, so that a model without requests keeps its mean output. */
  private readonly reserves = new Map<string, SlotReserve>();

  private readonly blocked = new Set<string>();

  /**
   * Creates lanes.
   *
   * @returns new lanes
   */
  static create(): ModelQueues {
    return new ModelQueues();
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.all().reduce(
      (sum, { onTimeQueue, lateQueue }) => sum + onTimeQueue.size + lateQueue.size,
      0,
    );
  }

  /**
   * Lists the lanes that are in use.
   *
   * @returns the lanes
   */
  all(): readonly ModelQueue[] {
    return [...this.byModel.values()];
  }

  /**
   * Finds or makes the lane of a model.
   *
   * @param model - name of the model; empty for plain services
   * @returns the lane
   */
  getOrCreate(model: string): ModelQueue {
    const known = this.byModel.get(model);
    if (known) return known;
    const [onTimeQueue, lateQueue] = [this.createQueue(), this.createQueue()];
    const reserve = this.reserves.get(model) ?? SlotReserve.create();
    this.reserves.set(model, reserve);
    const modelQueue = { model, onTimeQueue, lateQueue, holds: new Set<SlotHold>(), reserve };
    this.byModel.set(model, modelQueue);
    return modelQueue;
  }

  /**
   * Passes a team over in all lanes.
   *
   * @param team - name of the team
   */
  block(team: string): void {
    this.blocked.add(team);
    this.fairQueues().forEach((queue) => queue.block(team));
  }

  /**
   * Lets a team take turns in all lanes.
   *
   * @param team - name of the team
   * @param keepsTurns - see {@link FairQueue.unblock}
   */
  unblock(team: string, keepsStartTag: boolean): void {
    this.blocked.delete(team);
    this.fairQueues().forEach((queue) => queue.unblock(team, keepsStartTag));
  }

  /**
   * Opens a turn.
   *
   * @param lane - the lane
   * @param nowMs - monotonic time in milliseconds
   * @returns the turn
   */
  holdSlot(modelQueue: ModelQueue, nowMs: number): SlotHold {
    const hold: SlotHold = { heldSinceMs: nowMs, release: () => modelQueue.holds.delete(hold) };
    modelQueue.holds.add(hold);
    return hold;
  }

  /**
   * Closes the turns whose request can no longer be sent, because its debit is too old.
   *
   * @param lane - the lane
   * @param nowMs - monotonic time in milliseconds
   */
  releaseExpiredHolds(modelQueue: ModelQueue, nowMs: number): void {
    modelQueue.holds.forEach((hold) => {
      if (nowMs - hold.heldSinceMs > DISPATCH_DELAY_MS) hold.release();
    });
  }

  /** Forgets the lanes that nobody uses. */
  evictUnused(): void {
    this.byModel.forEach((modelQueue, model) => {
      if (modelQueue.onTimeQueue.size + modelQueue.lateQueue.size + modelQueue.holds.size === 0)
        this.byModel.delete(model);
    });
  }

  private fairQueues(): FairQueue<WaitingRequest>[] {
    return this.all().flatMap(({ onTimeQueue, lateQueue }) => [onTimeQueue, lateQueue]);
  }

  private createQueue(): FairQueue<WaitingRequest> {
    const queue = FairQueue.create<WaitingRequest>(MAX_WAITING_PER_MODEL);
    this.blocked.forEach((team) => queue.block(team));
    return queue;
  }
}
