import { IndexedHeap } from './indexed-heap.js';

/** Properties of a waiting request that determine its position in the queue. */
export interface QueueEntry {
  readonly team: string;
  /** Weight of the team; teams with waiting requests get capacity in proportion to it. */
  readonly weight: number;
  /** Tokens that the request will be charged. */
  readonly cost: number;
  /**
   * Latest start time that meets the first-token target, in milliseconds. Within a team, the
   * request with the earliest one is served first.
   */
  readonly startByMs: number;
}

interface TeamQueue<Entry> {
  readonly team: string;
  readonly byUrgency: IndexedHeap<Entry>;
  readonly byLeastUrgency: IndexedHeap<Entry>;
  startTag: number;
}

/**
 * Start-time fair queueing over teams, measured in tokens. The team with the smallest start tag is
 * served next, and each service advances its tag by cost / weight. Operations are O(log n).
 */
export class FairQueue<Entry extends QueueEntry> {
  private readonly teamQueues = new Map<string, TeamQueue<Entry>>();

  private readonly arrivalNumbers = new Map<Entry, number>();

  private readonly blocked = new Set<string>();

  /** Start tags of teams whose tag exceeded the virtual time when they had no more waiting requests. */
  private readonly idleTags = new Map<string, number>();

  private readonly eligible = IndexedHeap.create<TeamQueue<Entry>>(
    (left, right) => left.startTag < right.startTag,
  );

  private readonly byLength = IndexedHeap.create<TeamQueue<Entry>>(
    (left, right) => left.byUrgency.size > right.byUrgency.size,
  );

  private arrivalCount = 0;

  private virtualTime = 0;

  private constructor(private readonly maxEntries: number) {}

  /**
   * Creates an empty queue.
   *
   * @param maxEntries - maximum number of waiting requests
   * @returns a new queue
   */
  static create<Entry extends QueueEntry>(maxEntries: number): FairQueue<Entry> {
    return new FairQueue<Entry>(maxEntries);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.arrivalNumbers.size;
  }

  /**
   * Adds a request.
   *
   * @param entry - the request
   * @returns the request that was evicted because the queue is full, or undefined. It is the least
   *   urgent one of the team with the most waiting requests, and the newest one at equal urgency.
   */
  push(entry: Entry): Entry | undefined {
    const queue = this.teamQueues.get(entry.team) ?? this.addTeam(entry.team);
    this.arrivalCount += 1;
    this.arrivalNumbers.set(entry, this.arrivalCount);
    queue.byUrgency.upsert(entry);
    queue.byLeastUrgency.upsert(entry);
    this.byLength.upsert(queue);
    if (!this.blocked.has(entry.team)) this.eligible.upsert(queue);
    if (this.size <= this.maxEntries) return undefined;
    const leastUrgent = this.byLength.peek()!.byLeastUrgency.peek()!;
    this.remove(leastUrgent);
    return leastUrgent;
  }

  /**
   * Returns the request to be served next without removing it.
   *
   * @returns the request, or undefined when every waiting team is blocked
   */
  peek(): Entry | undefined {
    return this.eligible.peek()?.byUrgency.peek();
  }

  /**
   * Returns a team's next request without removing it, whether or not the team is blocked.
   *
   * @param team - name of the team
   * @returns the request, or undefined when the team has none waiting
   */
  peekTeam(team: string): Entry | undefined {
    return this.teamQueues.get(team)?.byUrgency.peek();
  }

  /**
   * Removes a request and charges its team.
   *
   * @param entry - the request that {@link FairQueue.peek} returned
   */
  take(entry: Entry): void {
    const queue = this.teamQueues.get(entry.team)!;
    this.virtualTime = Math.max(this.virtualTime, queue.startTag);
    queue.startTag += entry.cost / entry.weight;
    if (this.eligible.has(queue)) this.eligible.upsert(queue);
    this.remove(entry);
  }

  /**
   * Puts back a request that was taken but not served, and reverts the charge to its team.
   *
   * @param entry - the request
   * @returns the request that was evicted because the queue is full, or undefined
   */
  requeue(entry: Entry): Entry | undefined {
    this.refundCharge(entry);
    return this.push(entry);
  }

  /**
   * Reverts the charge for a request that was taken but not served.
   *
   * @param entry - the request
   */
  refundCharge(entry: Entry): void {
    const tokens = entry.cost / entry.weight;
    const queue = this.teamQueues.get(entry.team);
    if (!queue) {
      const tag = this.idleTags.get(entry.team);
      if (tag !== undefined) this.idleTags.set(entry.team, tag - tokens);
      return;
    }
    queue.startTag -= tokens;
    if (this.eligible.has(queue)) this.eligible.upsert(queue);
  }

  /**
   * Removes a request without charging its team.
   *
   * @param entry - the request; nothing happens when it is not in the queue
   */
  remove(entry: Entry): void {
    if (!this.arrivalNumbers.has(entry)) return;
    const queue = this.teamQueues.get(entry.team)!;
    queue.byUrgency.remove(entry);
    queue.byLeastUrgency.remove(entry);
    this.arrivalNumbers.delete(entry);
    if (queue.byUrgency.size > 0) {
      this.byLength.upsert(queue);
      return;
    }
    this.removeTeam(queue);
  }

  /**
   * Skips a team until {@link FairQueue.unblock}.
   *
   * @param team - name of the team
   */
  block(team: string): void {
    this.blocked.add(team);
    const queue = this.teamQueues.get(team);
    if (queue) this.eligible.remove(queue);
  }

  /**
   * Lets a team be served again.
   *
   * @param team - name of the team
   * @param keepsStartTag - true when the team may catch up on the service that it missed while it
   *   was blocked; false after a wait for its own tokens
   */
  unblock(team: string, keepsStartTag: boolean): void {
    if (!this.blocked.delete(team)) return;
    const queue = this.teamQueues.get(team);
    if (!queue) return;
    if (!keepsStartTag) queue.startTag = Math.max(queue.startTag, this.virtualTime);
    this.eligible.upsert(queue);
  }

  private addTeam(team: string): TeamQueue<Entry> {
    const queue: TeamQueue<Entry> = {
      team,
      byUrgency: IndexedHeap.create((left, right) => this.isMoreUrgent(left, right)),
      byLeastUrgency: IndexedHeap.create((left, right) => this.isMoreUrgent(right, left)),
      startTag: Math.max(this.virtualTime, this.idleTags.get(team) ?? 0),
    };
    this.idleTags.delete(team);
    this.teamQueues.set(team, queue);
    return queue;
  }

  private removeTeam(queue: TeamQueue<Entry>): void {
    this.teamQueues.delete(queue.team);
    this.eligible.remove(queue);
    this.byLength.remove(queue);
    if (this.teamQueues.size === 0) this.virtualTime = Math.max(this.virtualTime, queue.startTag);
    if (queue.startTag > this.virtualTime) this.idleTags.set(queue.team, queue.startTag);
    if (this.idleTags.size > this.maxEntries) this.evictIdleTags();
  }

  private evictIdleTags(): void {
    for (const [team, tag] of this.idleTags) {
      if (tag <= this.virtualTime) this.idleTags.delete(team);
    }
  }

  private isMoreUrgent(left: Entry, right: Entry): boolean {
    if (left.startByMs !== right.startByMs) return left.startByMs < right.startByMs;
    return this.arrivalNumbers.get(left)! < this.arrivalNumbers.get(right)!;
  }
}
