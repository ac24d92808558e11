import { IndexedHeap } from './indexed-heap.js';

/** A waiting request. */
export interface QueueEntry {
  readonly team: string;
  /** Share of capacity relative to other teams. */
  readonly weight: number;
  /** Tokens that the request will be charged. */
  readonly cost: number;
  /** Latest time to start for the first-token target, in milliseconds; the earliest goes first. */
  readonly startByMs: number;
}

interface TeamLine<Entry> {
  readonly team: string;
  readonly bySlack: IndexedHeap<Entry>;
  readonly byAge: IndexedHeap<Entry>;
  start: number;
}

/**
 * Start-time fair queueing over teams, measured in tokens. The team with the smallest start tag is
 * served; each service moves its tag by cost / weight. Operations are O(log n).
 */
export class FairQueue<Entry extends QueueEntry> {
  private readonly lines = new Map<string, TeamLine<Entry>>();

  private readonly arrivals = new Map<Entry, number>();

  private readonly blocked = new Set<string>();

  /** Start tags of teams without waiting requests that are still ahead of the virtual time. */
  private readonly idleTags = new Map<string, number>();

  private readonly ready = IndexedHeap.create<TeamLine<Entry>>(
    (left, right) => left.start < right.start,
  );

  private readonly longest = IndexedHeap.create<TeamLine<Entry>>(
    (left, right) => left.bySlack.size > right.bySlack.size,
  );

  private arrival = 0;

  private virtualTime = 0;

  private constructor(private readonly mostEntries: number) {}

  /**
   * Creates an empty queue.
   *
   * @param mostEntries - bound on the length
   * @returns a new queue
   */
  static create<Entry extends QueueEntry>(mostEntries: number): FairQueue<Entry> {
    return new FairQueue<Entry>(mostEntries);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.arrivals.size;
  }

  /**
   * Adds a request.
   *
   * @param entry - the request
   * @returns the request that had to leave because the queue is full: the newest of the longest team
   */
  push(entry: Entry): Entry | undefined {
    const line = this.lines.get(entry.team) ?? this.open(entry.team);
    this.arrival += 1;
    this.arrivals.set(entry, this.arrival);
    line.bySlack.put(entry);
    line.byAge.put(entry);
    this.longest.put(line);
    if (!this.blocked.has(entry.team)) this.ready.put(line);
    if (this.size <= this.mostEntries) return undefined;
    const newest = this.longest.peek()!.byAge.peek()!;
    this.remove(newest);
    return newest;
  }

  /**
   * Reads the request whose turn is next.
   *
   * @returns the request, or undefined when every waiting team is blocked
   */
  peek(): Entry | undefined {
    return this.ready.peek()?.bySlack.peek();
  }

  /**
   * Reads a team's next request, whether or not the team is blocked.
   *
   * @param team - name of the team
   * @returns the request, or undefined when none waits
   */
  head(team: string): Entry | undefined {
    return this.lines.get(team)?.bySlack.peek();
  }

  /**
   * Takes a request out and charges its team.
   *
   * @param entry - the request that {@link FairQueue.peek} returned
   */
  take(entry: Entry): void {
    const line = this.lines.get(entry.team)!;
    this.virtualTime = Math.max(this.virtualTime, line.start);
    line.start += entry.cost / entry.weight;
    if (this.ready.has(line)) this.ready.put(line);
    this.remove(entry);
  }

  /**
   * Puts a request back that was taken and not served; its team is not charged.
   *
   * @param entry - the request
   * @returns the request that had to leave because the queue is full
   */
  restore(entry: Entry): Entry | undefined {
    this.credit(entry);
    return this.push(entry);
  }

  /**
   * Takes back the charge of a request that was taken and not served.
   *
   * @param entry - the request
   */
  credit(entry: Entry): void {
    const tokens = entry.cost / entry.weight;
    const line = this.lines.get(entry.team);
    if (!line) {
      const tag = this.idleTags.get(entry.team);
      if (tag !== undefined) this.idleTags.set(entry.team, tag - tokens);
      return;
    }
    line.start -= tokens;
    if (this.ready.has(line)) this.ready.put(line);
  }

  /**
   * Removes a request without charging its team.
   *
   * @param entry - the request; nothing happens when it does not wait
   */
  remove(entry: Entry): void {
    if (!this.arrivals.has(entry)) return;
    const line = this.lines.get(entry.team)!;
    line.bySlack.remove(entry);
    line.byAge.remove(entry);
    this.arrivals.delete(entry);
    if (line.bySlack.size > 0) {
      this.longest.put(line);
      return;
    }
    this.close(line);
  }

  /**
   * Passes a team over until {@link FairQueue.unblock}.
   *
   * @param team - name of the team
   */
  block(team: string): void {
    this.blocked.add(team);
    const line = this.lines.get(team);
    if (line) this.ready.remove(line);
  }

  /**
   * Lets a team take turns again.
   *
   * @param team - name of the team
   * @param keepsTurns - true when it may catch up on the turns that it was passed over for; false
   *   after a wait for its own tokens
   */
  unblock(team: string, keepsTurns: boolean): void {
    if (!this.blocked.delete(team)) return;
    const line = this.lines.get(team);
    if (!line) return;
    if (!keepsTurns) line.start = Math.max(line.start, this.virtualTime);
    this.ready.put(line);
  }

  private open(team: string): TeamLine<Entry> {
    const line: TeamLine<Entry> = {
      team,
      bySlack: IndexedHeap.create((left, right) => this.isMoreUrgent(left, right)),
      byAge: IndexedHeap.create((left, right) => this.isMoreUrgent(right, left)),
      start: Math.max(this.virtualTime, this.idleTags.get(team) ?? 0),
    };
    this.idleTags.delete(team);
    this.lines.set(team, line);
    return line;
  }

  private close(line: TeamLine<Entry>): void {
    this.lines.delete(line.team);
    this.ready.remove(line);
    this.longest.remove(line);
    if (this.lines.size === 0) this.virtualTime = Math.max(this.virtualTime, line.start);
    if (line.start > this.virtualTime) this.idleTags.set(line.team, line.start);
    if (this.idleTags.size > this.mostEntries) this.forgetIdle();
  }

  private forgetIdle(): void {
    for (const [team, tag] of this.idleTags) {
      if (tag <= this.virtualTime) this.idleTags.delete(team);
    }
  }

  private isMoreUrgent(left: Entry, right: Entry): boolean {
    if (left.startByMs !== right.startByMs) return left.startByMs < right.startByMs;
    return this.arrivals.get(left)! < this.arrivals.get(right)!;
  }
}
