import { IndexedHeap } from './indexed-heap.js';
import type { ModelQueues } from './model-queues.js';
import { TeamSupply } from './team-supply.js';

/**
 * Maximum wait for the answer to a debit before the team's next debit starts. With one debit at a
 * time, a team gets at most 1 / round trip requests per second through each VM: at round trips of
 * 100 ms, 10 to 69 of 250 requests of a team at 60% of its rate were refused. Without spacing, a
 * team beyond its rate takes more slots: only 93.8% of another team's requests were served.
 */
const DEBIT_SPACING_MS = 10;

/** Keeps the supply of each team, and blocks teams in the queues while they wait for tokens. */
export class TeamSupplies {
  private readonly supplies = new Map<string, TeamSupply>();

  private readonly blocked = IndexedHeap.create<TeamSupply>(
    (left, right) => left.blockedUntilMs < right.blockedUntilMs,
  );

  private constructor(private readonly modelQueues: ModelQueues) {}

  /**
   * Creates an instance without teams; a team is added when it is first looked up.
   *
   * @param modelQueues - queues in which teams are blocked
   * @returns a new instance
   */
  static create(modelQueues: ModelQueues): TeamSupplies {
    return new TeamSupplies(modelQueues);
  }

  /**
   * Monotonic time when the first block ends, in milliseconds; Infinity when no team is blocked.
   */
  get nextUnblockMs(): number {
    return this.blocked.peek()?.blockedUntilMs ?? Infinity;
  }

  /**
   * Finds the supply of a team, or creates it.
   *
   * @param team - name of the team
   * @returns the supply
   */
  getOrCreate(team: string): TeamSupply {
    const known = this.supplies.get(team);
    if (known) return known;
    const supply = TeamSupply.create(team);
    this.supplies.set(team, supply);
    return supply;
  }

  /**
   * Returns whether a team is blocked or has a debit in flight.
   *
   * @param team - name of the team
   * @returns true until the block has ended and no debit is in flight
   */
  isBlocked(team: string): boolean {
    const supply = this.supplies.get(team);
    return supply !== undefined && (supply.debitsInFlight > 0 || supply.blockedUntilMs > 0);
  }

  /**
   * Records that a debit for a team has started. The team is blocked until the debit ends when it
   * has reached its maximum of concurrent debits, and otherwise for at most {@link
   * DEBIT_SPACING_MS}.
   *
   * @param supply - supply of the team
   * @param nowMs - monotonic time, in milliseconds
   */
  beginDebit(supply: TeamSupply, nowMs: number): void {
    Object.assign(supply, { debitsInFlight: supply.debitsInFlight + 1 });
    if (supply.atDebitLimit(nowMs)) this.modelQueues.block(supply.team);
    else {
      this.blockUntil(supply, nowMs + DEBIT_SPACING_MS);
      Object.assign(supply, { blockedBySpacing: true });
    }
  }

  /**
   * Records that a debit has ended. Unless the team waits for tokens, it is served again and may
   * catch up on the service that it missed while it was blocked.
   *
   * @param supply - supply of the team
   * @param nowMs - monotonic time, in milliseconds
   */
  endDebit(supply: TeamSupply, nowMs: number): void {
    Object.assign(supply, { debitsInFlight: supply.debitsInFlight - 1 });
    if (!supply.waitsForTokens) this.unblock(supply, nowMs, true);
  }

  /**
   * Blocks a team until a given time: its requests are skipped in all queues.
   *
   * @param supply - supply of the team
   * @param untilMs - monotonic time when the block ends, in milliseconds
   */
  blockUntil(supply: TeamSupply, untilMs: number): void {
    Object.assign(supply, { blockedUntilMs: untilMs, blockedBySpacing: false });
    this.blocked.upsert(supply);
    this.modelQueues.block(supply.team);
  }

  /**
   * Unblocks the teams whose block has expired.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  unblockExpired(nowMs: number): void {
    for (;;) {
      const supply = this.blocked.peek();
      if (!supply || supply.blockedUntilMs > nowMs) return;
      this.unblock(supply, nowMs);
    }
  }

  /**
   * Ends a team's block. The team is served again unless it is at its maximum of concurrent debits.
   *
   * @param supply - supply of the team
   * @param nowMs - monotonic time, in milliseconds
   * @param keepsStartTag - see {@link FairQueue.unblock}
   */
  unblock(supply: TeamSupply, nowMs: number, keepsStartTag = supply.blockedBySpacing): void {
    this.blocked.remove(supply);
    Object.assign(supply, { blockedUntilMs: 0, blockedBySpacing: false });
    if (!supply.atDebitLimit(nowMs)) this.modelQueues.unblock(supply.team, keepsStartTag);
  }

  /**
   * Records refunded tokens. A team that waits for tokens is unblocked.
   *
   * @param team - name of the team
   * @param tokens - tokens refunded
   * @param nowMs - monotonic time, in milliseconds
   */
  recordRefund(team: string, tokens: number, nowMs: number): void {
    const supply = this.supplies.get(team);
    if (!supply) return;
    supply.addRefund(tokens);
    if (supply.waitsForTokens) this.unblock(supply, nowMs);
  }

  /** Evicts teams that have no debit in flight, are not blocked and have no refundable tokens. */
  evictUnused(): void {
    this.supplies.forEach((supply, team) => {
      if (supply.isEvictable) this.supplies.delete(team);
    });
  }
}
