import type { ModelQueues } from './model-queues.js';
import { IndexedHeap } from './indexed-heap.js';
import { TeamSupply } from './team-supply.js';

// A team with one debit at a time gets 1 / round trip requests a second through each VM: with round
// trips of 100 ms, 10 to 69 of 250 requests of a team at 60% of its rate were refused. Debits without
// a distance let a team beyond its rate take more slots (93.8% of another team's requests served).
/** Wait for the answer to a debit before the team's next one starts. */
const DEBIT_SPACING_MS = 10;

/** Keeps what is known of each team's tokens, and passes teams over in the lanes. */
export class TeamSupplies {
  private readonly supplies = new Map<string, TeamSupply>();

  private readonly blocked = IndexedHeap.create<TeamSupply>(
    (left, right) => left.blockedUntilMs < right.blockedUntilMs,
  );

  private constructor(private readonly modelQueues: ModelQueues) {}

  /**
   * Creates supplies without teams.
   *
   * @param lanes - where teams are passed over
   * @returns new supplies
   */
  static create(modelQueues: ModelQueues): TeamSupplies {
    return new TeamSupplies(modelQueues);
  }

  /** Monotonic time when the first team that is passed over may go on; Infinity when none is. */
  get nextUnblockMs(): number {
    return this.blocked.peek()?.blockedUntilMs ?? Infinity;
  }

  /**
   * Finds or makes the supply of a team.
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
   * Tells whether a team waits for tokens.
   *
   * @param team - name of the team
   * @returns true while it is passed over or a debit for it is under way
   */
  isBlocked(team: string): boolean {
    const supply = this.supplies.get(team);
    return supply !== undefined && (supply.debitsInFlight > 0 || supply.blockedUntilMs > 0);
  }

  /**
   * Notes that a debit for a team is under way, and passes the team over when it must wait for it.
   *
   * @param supply - supply of the team
   * @param nowMs - monotonic time in milliseconds
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
   * Notes that a debit has ended. The team takes turns again unless it waits for tokens, and keeps
   * the turns that it was passed over for.
   *
   * @param supply - supply of the team
   * @param nowMs - monotonic time in milliseconds
   */
  endDebit(supply: TeamSupply, nowMs: number): void {
    Object.assign(supply, { debitsInFlight: supply.debitsInFlight - 1 });
    if (!supply.waitsForTokens) this.unblock(supply, nowMs, true);
  }

  /**
   * Passes a team over.
   *
   * @param supply - supply of the team
   * @param untilMs - monotonic time in milliseconds
   */
  blockUntil(supply: TeamSupply, untilMs: number): void {
    Object.assign(supply, { blockedUntilMs: untilMs, blockedBySpacing: false });
    this.blocked.upsert(supply);
    this.modelQueues.block(supply.team);
  }

  /**
   * Ends the waits that are over.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  unblockExpired(nowMs: number): void {
    for (;;) {
      const supply = this.blocked.peek();
      if (!supply || supply.blockedUntilMs > nowMs) return;
      this.unblock(supply, nowMs);
    }
  }

  /**
   * Ends a team's wait, unless it must wait for a debit.
   *
   * @param supply - supply of the team
   * @param nowMs - monotonic time in milliseconds
   * @param keepsTurns - see {@link FairQueue.unblock}
   */
  unblock(supply: TeamSupply, nowMs: number, keepsStartTag = supply.blockedBySpacing): void {
    this.blocked.remove(supply);
    Object.assign(supply, { blockedUntilMs: 0, blockedBySpacing: false });
    if (!supply.atDebitLimit(nowMs)) this.modelQueues.unblock(supply.team, keepsStartTag);
  }

  /**
   * Notes tokens that came back; a team that waits for tokens goes on.
   *
   * @param team - name of the team
   * @param tokens - tokens refunded
   * @param nowMs - monotonic time in milliseconds
   */
  recordRefund(team: string, tokens: number, nowMs: number): void {
    const supply = this.supplies.get(team);
    if (!supply) return;
    supply.addRefund(tokens);
    if (supply.waitsForTokens) this.unblock(supply, nowMs);
  }

  /** Forgets the teams about which nothing is known. */
  evictUnused(): void {
    this.supplies.forEach((supply, team) => {
      if (supply.isEvictable) this.supplies.delete(team);
    });
  }
}
