import { FairQueue, type QueueEntry } from '../admission/fair-queue.js';

/** A request that waits for a decode place. */
export interface DecodeQueueEntry {
  readonly team: string;
  /** KV cache tokens that it needs. */
  readonly kvTokens: number;
  /** Rank, 0 first. */
  readonly priority: number;
  /** False when the team has used its rate; such requests take what the others leave. */
  readonly insideRate: boolean;
  /** Latest start at which the first event still comes within its target, monotonic milliseconds. */
  readonly startByMs: number;
  /** Latest start at which the answer is still of use, monotonic milliseconds. */
  readonly giveUpMs: number;
}

interface QueuedEntry<Entry> extends QueueEntry {
  readonly entry: Entry;
}

/** Bound on waiting requests of one VM; beyond it the longest line of a team is shortened. */
const MAX_WAITING = 2000;

/** Time over which the rate of starts is measured, in milliseconds. */
const RATE_WINDOW_MS = 4000;

/** Starts a second that are assumed before any were seen. */
const INITIAL_STARTS_PER_SECOND = 4;

/**
 * Decides who gets the next decode place in overload. Requests that can still be on time go first, in
 * fair order of the teams; the others wait behind them and use what is left. A request whose turn is
 * not going to come in time is turned away when it arrives, not when its time is over.
 *
 * Pattern: bursts of twice the pool's capacity, one team at several times its rate.
 */
export class DecodeQueue<Entry extends DecodeQueueEntry> {
  private readonly punctual = FairQueue.create<QueuedEntry<Entry>>(MAX_WAITING);

  private readonly late = FairQueue.create<QueuedEntry<Entry>>(MAX_WAITING);

  private readonly waiting = new Map<
    Entry,
    { line: 'punctual' | 'late'; item: QueuedEntry<Entry> }
  >();

  private starts: number[] = [];

  private constructor(private readonly lateFactor: number) {}

  /**
   * Creates an empty queue.
   *
   * @param lateFactor - part of the remaining time that may pass in the line of late requests
   * @returns a new queue
   */
  static create<Entry extends DecodeQueueEntry>(lateFactor = 0.6): DecodeQueue<Entry> {
    return new DecodeQueue<Entry>(lateFactor);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.waiting.size;
  }

  /**
   * Estimates the wait behind the requests that are there.
   *
   * @param nowMs - monotonic time
   * @param punctualOnly - whether the line of late requests is left out
   * @returns milliseconds until a place
   */
  estimateWaitMs(nowMs: number, punctualOnly = false): number {
    const ahead = punctualOnly ? this.punctual.size : this.waiting.size;
    return (ahead * 1000) / this.startsPerSecond(nowMs);
  }

  /**
   * Adds a request.
   *
   * @param entry - the request
   * @param nowMs - monotonic time
   * @returns 0 when it waits, or the time after which it may come back, in milliseconds
   */
  add(entry: Entry, nowMs: number): number {
    const punctual = nowMs + this.estimateWaitMs(nowMs, true) <= entry.startByMs;
    if (entry.insideRate && punctual) {
      this.insert(entry, 'punctual');
      return 0;
    }
    const waitMs = this.estimateWaitMs(nowMs);
    if (waitMs <= this.lateFactor * (entry.giveUpMs - nowMs)) {
      this.insert(entry, 'late');
      return 0;
    }
    return waitMs;
  }

  /** Requests that can still be on time. */
  get punctualSize(): number {
    return this.punctual.size;
  }

  /**
   * Finds the request that is served next.
   *
   * @param nowMs - monotonic time
   * @param punctualElsewhere - whether other VMs have requests that can still be on time; late ones
   * leave the places to them
   * @returns the request, still in the queue, or undefined
   */
  next(nowMs: number, punctualElsewhere = false): Entry | undefined {
    this.demote(nowMs);
    const punctual = this.punctual.peek()?.entry;
    return punctual ?? (punctualElsewhere ? undefined : this.late.peek()?.entry);
  }

  /**
   * Removes a request that gets a place.
   *
   * @param entry - the request
   * @param nowMs - monotonic time
   */
  dequeue(entry: Entry, nowMs: number): void {
    const place = this.waiting.get(entry);
    if (!place) return;
    this.waiting.delete(entry);
    this[place.line].take(place.item);
    this.starts.push(nowMs);
  }

  /**
   * Removes a request that no longer waits.
   *
   * @param entry - the request
   */
  remove(entry: Entry): void {
    const place = this.waiting.get(entry);
    if (!place) return;
    this.waiting.delete(entry);
    this[place.line].remove(place.item);
  }

  /**
   * Puts a request back whose place turned out to be taken; it keeps its turn.
   *
   * @param entry - a request that `take` has removed
   * @param nowMs - monotonic time
   */
  requeue(entry: Entry, nowMs: number): void {
    this.starts.pop();
    const punctual = entry.insideRate && nowMs <= entry.startByMs;
    const line = punctual ? 'punctual' : 'late';
    this[line].refundCharge(this.insert(entry, line));
  }

  /**
   * Takes out the requests that cannot be of use any more.
   *
   * @param nowMs - monotonic time
   * @returns requests that are to be refused
   */
  expire(nowMs: number): Entry[] {
    const expired = [...this.waiting.keys()].filter(({ giveUpMs }) => giveUpMs < nowMs);
    expired.forEach((entry) => this.remove(entry));
    return expired;
  }

  private insert(entry: Entry, line: 'punctual' | 'late'): QueuedEntry<Entry> {
    const item = {
      entry,
      team: entry.team,
      weight: 1 / (1 + entry.priority),
      cost: entry.kvTokens,
      startByMs: line === 'punctual' ? entry.startByMs : entry.giveUpMs,
    };
    this.waiting.set(entry, { line, item });
    const dropped = this[line].push(item);
    if (dropped) this.waiting.delete(dropped.entry);
    return item;
  }

  private demote(nowMs: number): void {
    const late = [...this.waiting].filter(
      ([entry, { line }]) => line === 'punctual' && entry.startByMs < nowMs,
    );
    late.forEach(([entry, { item }]) => {
      this.punctual.remove(item);
      this.insert(entry, 'late');
    });
  }

  private startsPerSecond(nowMs: number): number {
    this.starts = this.starts.filter((atMs) => atMs > nowMs - RATE_WINDOW_MS);
    return Math.max(INITIAL_STARTS_PER_SECOND, (this.starts.length * 1000) / RATE_WINDOW_MS);
  }
}
