import { FairQueue, type QueueEntry } from '../admission/fair-queue.js';
import type { DecodeQueueEntry } from '../relay/decode-queue.js';

type Timeliness = 'punctual' | 'late';

interface Item<Entry> extends QueueEntry {
  readonly entry: Entry;
  readonly timeliness: Timeliness;
}

interface Lane<Entry> {
  readonly rank: number;
  readonly queue: FairQueue<Item<Entry>>;
  /** Number of waiting requests by team. */
  readonly teams: Map<string, number>;
  /** Starts that this rank may have before higher ones. */
  credit: number;
  /** Monotonic times of the last arrivals, in milliseconds. */
  arrivalsMs: number[];
}

/** Limit on the waiting requests of each rank; beyond it the team with the longest queue loses one. */
const MAX_WAITING = 2000;

/** Starts that a lower rank with waiting requests gets for each start of a higher one. */
const LOWER_RANK_SHARE = 0.1;

/** Window over which arrivals are counted, in milliseconds. */
const ARRIVAL_WINDOW_MS = 1000;

/** Part of its remaining time that a late request may wait. */
const LATE_FACTOR = 0.6;

/**
 * Orders the requests that wait for places of a pool: punctual ones before late ones, higher ranks before
 * lower ones, which get LOWER_RANK_SHARE all the same, and teams of one rank by fair queueing. A request
 * that is not going to be served in time is refused when it arrives.
 *
 * Load pattern: bursts beyond the places of a pool, with requests of several ranks from all VMs.
 */
export class PlaceQueue<Entry extends DecodeQueueEntry> {
  private readonly lanes: Record<Timeliness, Map<number, Lane<Entry>>> = {
    punctual: new Map(),
    late: new Map(),
  };

  private readonly items = new Map<Entry, Item<Entry>>();

  /** Requests that were charged for a place. */
  private readonly taken = new WeakMap<Entry, Item<Entry>>();

  /**
   * Creates an empty queue.
   *
   * @returns a new queue
   */
  static create<Entry extends DecodeQueueEntry>(): PlaceQueue<Entry> {
    return new PlaceQueue<Entry>();
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.items.size;
  }

  /** Waiting requests, in no order. */
  get entries(): Entry[] {
    return [...this.items.keys()];
  }

  /** Number of waiting requests by rank. */
  get sizes(): Map<number, number> {
    const sizes = new Map<number, number>();
    Object.values(this.lanes).forEach((lanes) =>
      lanes.forEach(({ rank, queue }) => sizes.set(rank, (sizes.get(rank) ?? 0) + queue.size)),
    );
    return sizes;
  }

  /**
   * Adds a request, or refuses it when it would not be served in time.
   *
   * @param entry - the request
   * @param startsPerSecond - requests that get a place, per second
   * @param nowMs - monotonic time, in milliseconds
   * @returns the time after which to retry, in milliseconds, 0 when it was queued; and the request that
   * lost its turn because too many wait
   */
  add(
    entry: Entry,
    startsPerSecond: number,
    nowMs: number,
  ): { readonly retryAfterMs: number; readonly evicted?: Entry } {
    const waitMs = this.estimateWaitMs(entry, 'punctual', startsPerSecond, nowMs);
    if (entry.insideRate && nowMs + waitMs <= entry.startByMs) {
      return { retryAfterMs: 0, ...this.insert(entry, 'punctual', nowMs) };
    }
    const lateWaitMs = this.estimateWaitMs(entry, 'late', startsPerSecond, nowMs);
    if (lateWaitMs > LATE_FACTOR * (entry.giveUpMs - nowMs))
      return { retryAfterMs: Math.max(1, lateWaitMs) };
    return { retryAfterMs: 0, ...this.insert(entry, 'late', nowMs) };
  }

  /** Lists the first request of each rank in the order in which they get places. */
  heads(): Entry[] {
    return (['punctual', 'late'] as const).flatMap((timeliness) => {
      const lanes = [...this.lanes[timeliness].values()].filter(({ queue }) => queue.size > 0);
      lanes.sort((left, right) => left.rank - right.rank);
      const isDue = ({ credit }: Lane<Entry>) => credit >= 1;
      return [...lanes.filter(isDue), ...lanes.filter((lane) => !isDue(lane))].map(
        ({ queue }) => queue.peek()!.entry,
      );
    });
  }

  /**
   * Removes a request that gets a place, and charges its team.
   *
   * @param entry - the request
   */
  take(entry: Entry): void {
    const item = this.items.get(entry);
    if (!item) return;
    const lanes = this.lanes[item.timeliness];
    const lane = lanes.get(entry.priority)!;
    lane.queue.take(item);
    this.taken.set(entry, item);
    this.forget(item, lane);
    lane.credit = Math.max(0, lane.credit - 1);
    lanes.forEach((other) => {
      const isWaiting = other.rank > lane.rank && other.queue.size > 0;
      if (isWaiting) Object.assign(other, { credit: other.credit + LOWER_RANK_SHARE });
    });
  }

  /**
   * Reverts the charge to the team of a request that could not use its place.
   *
   * @param entry - a request that {@link PlaceQueue.take} has removed
   */
  refund(entry: Entry): void {
    const item = this.taken.get(entry);
    if (!item) return;
    this.taken.delete(entry);
    this.lanes[item.timeliness].get(entry.priority)?.queue.refundCharge(item);
  }

  /**
   * Removes a request that no longer waits.
   *
   * @param entry - the request
   */
  remove(entry: Entry): void {
    const item = this.items.get(entry);
    if (!item) return;
    const lane = this.lanes[item.timeliness].get(entry.priority)!;
    lane.queue.remove(item);
    this.forget(item, lane);
  }

  /**
   * Removes the requests whose answer would come too late, and those that have become late and would not
   * be served in time.
   *
   * @param startsPerSecond - requests that get a place, per second
   * @param nowMs - monotonic time, in milliseconds
   * @returns the removed requests with the time after which to retry, in milliseconds
   */
  expire(
    startsPerSecond: number,
    nowMs: number,
  ): { readonly entry: Entry; readonly retryAfterMs: number }[] {
    return [...this.items.values()].flatMap(({ entry, timeliness }) => {
      const isLate = timeliness === 'punctual' && entry.startByMs < nowMs;
      const isOver = entry.giveUpMs < nowMs;
      if (!isLate && !isOver) return [];
      this.remove(entry);
      const retryAfterMs = Math.max(1, this.estimateWaitMs(entry, 'late', startsPerSecond, nowMs));
      if (isOver) return [{ entry, retryAfterMs }];
      const refused = this.add(entry, startsPerSecond, nowMs);
      return refused.retryAfterMs > 0 ? [{ entry, retryAfterMs: refused.retryAfterMs }] : [];
    });
  }

  /**
   * Estimates how long a request would wait. Of its own rank, each team has at most one request more
   * ahead of it than its own team has. What goes before it keeps arriving, and leaves it a part of the starts.
   */
  private estimateWaitMs(
    { priority, team }: Entry,
    timeliness: Timeliness,
    startsPerSecond: number,
    nowMs: number,
  ): number {
    const lanes = [...this.lanes[timeliness].values()];
    const before = lanes.filter(({ rank }) => rank < priority);
    if (timeliness === 'late') before.push(...this.lanes.punctual.values());
    const own = lanes.find(({ rank }) => rank === priority);
    const ahead = before.reduce(
      (sum, { queue }) => sum + queue.size,
      own ? countAhead(own, team) : 0,
    );
    const arriving = before.reduce((sum, lane) => sum + arrivalsPerSecond(lane, nowMs), 0);
    const left = Math.max(LOWER_RANK_SHARE * startsPerSecond, startsPerSecond - arriving);
    return (ahead * 1000) / left;
  }

  private insert(
    entry: Entry,
    timeliness: Timeliness,
    nowMs: number,
  ): { readonly evicted?: Entry } {
    const lane = this.laneOf(entry.priority, timeliness);
    lane.arrivalsMs.push(nowMs);
    const item: Item<Entry> = {
      entry,
      timeliness,
      team: entry.team,
      weight: 1,
      cost: entry.kvTokens,
      startByMs: timeliness === 'punctual' ? entry.startByMs : entry.giveUpMs,
    };
    this.items.set(entry, item);
    lane.teams.set(entry.team, (lane.teams.get(entry.team) ?? 0) + 1);
    const dropped = lane.queue.push(item);
    if (!dropped) return {};
    this.forget(dropped, lane);
    return { evicted: dropped.entry };
  }

  private laneOf(rank: number, timeliness: Timeliness): Lane<Entry> {
    const known = this.lanes[timeliness].get(rank);
    if (known) return known;
    const queue = FairQueue.create<Item<Entry>>(MAX_WAITING);
    const lane = { rank, queue, teams: new Map<string, number>(), credit: 0, arrivalsMs: [] };
    this.lanes[timeliness].set(rank, lane);
    return lane;
  }

  private forget({ entry }: Item<Entry>, { teams, queue, rank }: Lane<Entry>): void {
    this.items.delete(entry);
    const left = (teams.get(entry.team) ?? 1) - 1;
    if (left > 0) teams.set(entry.team, left);
    else teams.delete(entry.team);
    const lane = this.lanes.punctual.get(rank);
    if (lane?.queue === queue && queue.size === 0) lane.credit = 0;
  }
}

function countAhead<Entry>({ teams }: Lane<Entry>, team: string): number {
  const own = teams.get(team) ?? 0;
  return [...teams].reduce(
    (sum, [name, count]) => sum + (name === team ? own : Math.min(count, own + 1)),
    0,
  );
}

function arrivalsPerSecond<Entry>(lane: Lane<Entry>, nowMs: number): number {
  const { arrivalsMs } = lane;
  while (arrivalsMs.length > 0 && arrivalsMs[0]! <= nowMs - ARRIVAL_WINDOW_MS) arrivalsMs.shift();
  return (arrivalsMs.length * 1000) / ARRIVAL_WINDOW_MS;
}
