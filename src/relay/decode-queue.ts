import { FairQueue, type QueueEntry } from '../admission/fair-queue.js';

/** A request that waits for a decode slot. */
export interface DecodeQueueEntry {
  readonly team: string;
  /** KV cache tokens that the request needs. */
  readonly kvTokens: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** False when the team has exhausted its rate; such requests only get capacity that others leave. */
  readonly insideRate: boolean;
  /** Latest start at which the first event still meets its target, as monotonic time, in milliseconds. */
  readonly startByMs: number;
  /** Latest start at which the answer is still useful, as monotonic time, in milliseconds. */
  readonly giveUpMs: number;
}

interface QueuedEntry<Entry> extends QueueEntry {
  readonly entry: Entry;
}

/** Limit on waiting requests for each queue of a VM; beyond it the team with the longest queue loses one. */
const MAX_WAITING = 2000;

/** Window over which the rate of starts is measured, in milliseconds. */
const RATE_WINDOW_MS = 4000;

/**
 * Lower bound of the start rate of a pool, which also applies before any start was seen, in starts per
 * second.
 */
const INITIAL_STARTS_PER_SECOND = 4;

/** Queues of the other VMs, over all pools: digests do not tell them apart. */
export interface QueuesElsewhere {
  /** Number of waiting requests. */
  readonly waiting: number;
  /** Number of those that can still meet their target. */
  readonly punctual: number;
  readonly startsPerSecond: number;
}

const NO_OTHER_QUEUES: QueuesElsewhere = { waiting: 0, punctual: 0, startsPerSecond: 0 };

/**
 * Decides which request gets the next decode slot under overload. Requests that can still meet their
 * target (punctual ones) go first, with fair queueing between teams; late ones wait behind them and use
 * the remaining capacity. A request that is not going to be served in time is rejected on arrival rather
 * than when its time has run out. All VMs draw on the same engines, so the wait follows from the queues
 * and the starts of all of them.
 *
 * Load pattern: bursts of twice the pool's capacity, one team at several times its rate.
 */
export class DecodeQueue<Entry extends DecodeQueueEntry> {
  private readonly punctual = FairQueue.create<QueuedEntry<Entry>>(MAX_WAITING);

  private readonly late = FairQueue.create<QueuedEntry<Entry>>(MAX_WAITING);

  private readonly waiting = new Map<
    Entry,
    { queue: 'punctual' | 'late'; item: QueuedEntry<Entry> }
  >();

  private starts: number[] = [];

  private constructor(
    private readonly lateFactor: number,
    private readonly elsewhere: () => QueuesElsewhere,
  ) {}

  /**
   * Creates an empty queue.
   *
   * @param elsewhere - returns the queues of the other VMs
   * @param lateFactor - fraction of a request's remaining time that it may wait in the late queue
   * @returns a new queue
   */
  static create<Entry extends DecodeQueueEntry>(
    elsewhere = () => NO_OTHER_QUEUES,
    lateFactor = 0.6,
  ): DecodeQueue<Entry> {
    return new DecodeQueue<Entry>(lateFactor, elsewhere);
  }

  /** Number of waiting requests, punctual and late. */
  get size(): number {
    return this.waiting.size;
  }

  /**
   * Estimates how long a new request would wait behind the queued ones.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @param punctualOnly - whether to leave out the queue of late requests
   * @returns wait for a decode slot, in milliseconds
   */
  estimateWaitMs(nowMs: number, punctualOnly = false): number {
    const own = this.startsPerSecond(nowMs);
    // What is known of other VMs is too old to tell which of them is served within a target.
    if (punctualOnly) return (this.punctual.size * 1000) / Math.max(INITIAL_STARTS_PER_SECOND, own);
    const { waiting, startsPerSecond } = this.elsewhere();
    const rate = Math.max(INITIAL_STARTS_PER_SECOND, own + startsPerSecond);
    return ((this.waiting.size + waiting) * 1000) / rate;
  }

  /**
   * Adds a request, or rejects it when it would not be served in time.
   *
   * @param entry - the request
   * @param nowMs - monotonic time, in milliseconds
   * @returns 0 when it was queued, otherwise the time after which to retry, in milliseconds
   */
  add(entry: Entry, nowMs: number): number {
    const punctual = nowMs + this.estimateWaitMs(nowMs, true) <= entry.startByMs;
    if (entry.insideRate && punctual) {
      this.insert(entry, 'punctual');
      return 0;
    }
    const waitMs = this.estimateWaitMs(nowMs);
    if (this.isWorthWaiting(entry, waitMs, nowMs)) {
      this.insert(entry, 'late');
      return 0;
    }
    return waitMs;
  }

  private isWorthWaiting({ giveUpMs }: Entry, waitMs: number, nowMs: number): boolean {
    return waitMs <= this.lateFactor * (giveUpMs - nowMs);
  }

  /**
   * Measures the starts at this VM.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns starts per second over the last seconds
   */
  startsPerSecond(nowMs: number): number {
    this.starts = this.starts.filter((atMs) => atMs > nowMs - RATE_WINDOW_MS);
    return (this.starts.length * 1000) / RATE_WINDOW_MS;
  }

  /** Number of waiting requests that can still meet their target. */
  get punctualSize(): number {
    return this.punctual.size;
  }

  /**
   * Returns the request to serve next without removing it.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @param punctualElsewhere - whether other VMs have requests that can still meet their target; late
   * requests leave the slots to them
   * @returns the request, or undefined when none may be served now
   */
  next(nowMs: number, punctualElsewhere = false): Entry | undefined {
    const punctual = this.punctual.peek()?.entry;
    return punctual ?? (punctualElsewhere ? undefined : this.late.peek()?.entry);
  }

  /**
   * Removes a request that is about to get a decode slot, and counts it as started.
   *
   * @param entry - the request
   * @param nowMs - monotonic time, in milliseconds
   */
  dequeue(entry: Entry, nowMs: number): void {
    const queued = this.waiting.get(entry);
    if (!queued) return;
    this.waiting.delete(entry);
    this[queued.queue].take(queued.item);
    this.starts.push(nowMs);
  }

  /**
   * Removes a request that no longer waits, without counting a start.
   *
   * @param entry - the request
   */
  remove(entry: Entry): void {
    const queued = this.waiting.get(entry);
    if (!queued) return;
    this.waiting.delete(entry);
    this[queued.queue].remove(queued.item);
  }

  /**
   * Puts a request back whose reservation failed; it keeps its turn.
   *
   * @param entry - a request that `dequeue` has removed
   * @param nowMs - monotonic time, in milliseconds
   */
  requeue(entry: Entry, nowMs: number): void {
    this.starts.pop();
    const punctual = entry.insideRate && nowMs <= entry.startByMs;
    const queue = punctual ? 'punctual' : 'late';
    this[queue].refundCharge(this.insert(entry, queue));
  }

  /**
   * Removes the requests whose answer would come too late to be useful, and those that have become late
   * and would not be served in time: their callers may come back when the queues are shorter.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns the removed requests, to be refused
   */
  expire(nowMs: number): Entry[] {
    const expired = [...this.waiting.keys()].filter(({ giveUpMs }) => giveUpMs < nowMs);
    expired.forEach((entry) => this.remove(entry));
    return [...expired, ...this.demote(nowMs)];
  }

  private insert(entry: Entry, queue: 'punctual' | 'late'): QueuedEntry<Entry> {
    const item = {
      entry,
      team: entry.team,
      weight: 1 / (1 + entry.priority),
      cost: entry.kvTokens,
      startByMs: queue === 'punctual' ? entry.startByMs : entry.giveUpMs,
    };
    this.waiting.set(entry, { queue, item });
    const dropped = this[queue].push(item);
    if (dropped) this.waiting.delete(dropped.entry);
    return item;
  }

  /** Moves the requests that have become late to the late queue; returns those that leave instead. */
  private demote(nowMs: number): Entry[] {
    const late = [...this.waiting].filter(
      ([entry, { queue }]) => queue === 'punctual' && entry.startByMs < nowMs,
    );
    return late
      .map(([entry]) => entry)
      .filter((entry) => {
        this.remove(entry);
        const stays = this.isWorthWaiting(entry, this.estimateWaitMs(nowMs), nowMs);
        if (stays) this.insert(entry, 'late');
        return !stays;
      });
  }
}
