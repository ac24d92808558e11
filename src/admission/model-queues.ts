import { FairQueue } from './fair-queue.js';
import { DISPATCH_DELAY_MS } from './share-limits.js';
import { SlotReserve } from './slot-reserve.js';
import type { SlotHold, WaitingRequest } from './waiting-request.js';

/** Maximum number of requests in each of the two queues of a model. */
const MAX_WAITING_PER_QUEUE = 10_000;

/** The queues of one model, and the slots held on its servers that routing does not count yet. */
export interface ModelQueue {
  readonly model: string;
  readonly onTimeQueue: FairQueue<WaitingRequest>;
  /** Requests that can no longer meet the first-token target. */
  readonly lateQueue: FairQueue<WaitingRequest>;
  readonly holds: Set<SlotHold>;
  readonly reserve: SlotReserve;
}

/** Keeps the queues of each model, and one entry with an empty model name for plain services. */
export class ModelQueues {
  private readonly byModel = new Map<string, ModelQueue>();

  /** Kept when a model is evicted, so that a model without requests keeps its mean output. */
  private readonly reserves = new Map<string, SlotReserve>();

  private readonly blocked = new Set<string>();

  /**
   * Creates an instance without queues; those of a model are added with its first request.
   *
   * @returns a new instance
   */
  static create(): ModelQueues {
    return new ModelQueues();
  }

  /** Number of waiting requests of all models, on time and late. */
  get waiting(): number {
    return this.all().reduce(
      (sum, { onTimeQueue, lateQueue }) => sum + onTimeQueue.size + lateQueue.size,
      0,
    );
  }

  /**
   * Lists the queues that are in use.
   *
   * @returns the queues of each model
   */
  all(): readonly ModelQueue[] {
    return [...this.byModel.values()];
  }

  /**
   * Finds the queues of a model, or creates them.
   *
   * @param model - name of the model; empty for plain services
   * @returns the queues of the model
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
   * Blocks a team in all queues: its requests are skipped until {@link ModelQueues.unblock}.
   *
   * @param team - name of the team
   */
  block(team: string): void {
    this.blocked.add(team);
    this.queues().forEach((queue) => queue.block(team));
  }

  /**
   * Lets a team be served again in all queues.
   *
   * @param team - name of the team
   * @param keepsStartTag - see {@link FairQueue.unblock}
   */
  unblock(team: string, keepsStartTag: boolean): void {
    this.blocked.delete(team);
    this.queues().forEach((queue) => queue.unblock(team, keepsStartTag));
  }

  /**
   * Holds a slot for a request until it is sent or the hold expires.
   *
   * @param modelQueue - the queues of the model
   * @param nowMs - monotonic time, in milliseconds
   * @returns the hold
   */
  holdSlot(modelQueue: ModelQueue, nowMs: number): SlotHold {
    const hold: SlotHold = { heldSinceMs: nowMs, release: () => modelQueue.holds.delete(hold) };
    modelQueue.holds.add(hold);
    return hold;
  }

  /**
   * Releases holds older than the dispatch delay. Their requests can no longer be sent, because the
   * debit is too old.
   *
   * @param modelQueue - the queues of the model
   * @param nowMs - monotonic time, in milliseconds
   */
  releaseExpiredHolds(modelQueue: ModelQueue, nowMs: number): void {
    modelQueue.holds.forEach((hold) => {
      if (nowMs - hold.heldSinceMs > DISPATCH_DELAY_MS) hold.release();
    });
  }

  /** Evicts models without waiting requests and without held slots. */
  evictUnused(): void {
    this.byModel.forEach((modelQueue, model) => {
      if (modelQueue.onTimeQueue.size + modelQueue.lateQueue.size + modelQueue.holds.size === 0)
        this.byModel.delete(model);
    });
  }

  private queues(): FairQueue<WaitingRequest>[] {
    return this.all().flatMap(({ onTimeQueue, lateQueue }) => [onTimeQueue, lateQueue]);
  }

  private createQueue(): FairQueue<WaitingRequest> {
    const queue = FairQueue.create<WaitingRequest>(MAX_WAITING_PER_QUEUE);
    this.blocked.forEach((team) => queue.block(team));
    return queue;
  }
}
