import type { AdmissionLanes } from './admission-lanes.js';
import { IndexedHeap } from './indexed-heap.js';
import { TeamSupply } from './team-supply.js';

/** Keeps what is known of each team's tokens, and passes teams over in the lanes. */
export class TeamSupplies {
  private readonly supplies = new Map<string, TeamSupply>();

  private readonly blocked = IndexedHeap.create<TeamSupply>(
    (left, right) => left.blockedUntilMs < right.blockedUntilMs,
  );

  private constructor(private readonly lanes: AdmissionLanes) {}

  /**
   * Creates supplies without teams.
   *
   * @param lanes - where teams are passed over
   * @returns new supplies
   */
  static create(lanes: AdmissionLanes): TeamSupplies {
    return new TeamSupplies(lanes);
  }

  /** Monotonic time when the first team that is passed over may go on; Infinity when none is. */
  get nextMs(): number {
    return this.blocked.peek()?.blockedUntilMs ?? Infinity;
  }

  /**
   * Finds or makes the supply of a team.
   *
   * @param team - name of the team
   * @returns the supply
   */
  obtain(team: string): TeamSupply {
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
    return supply !== undefined && (supply.busy || supply.blockedUntilMs > 0);
  }

  /**
   * Passes a team over while a debit for it is under way.
   *
   * @param supply - supply of the team
   */
  beginDebit(supply: TeamSupply): void {
    Object.assign(supply, { busy: true });
    this.lanes.block(supply.team);
  }

  /**
   * Lets a team take turns again after a debit; it keeps the turns that it was passed over for.
   *
   * @param supply - supply of the team
   */
  endDebit(supply: TeamSupply): void {
    if (!supply.busy) return;
    Object.assign(supply, { busy: false });
    this.lanes.unblock(supply.team, true);
  }

  /**
   * Passes a team over.
   *
   * @param supply - supply of the team
   * @param untilMs - monotonic time in milliseconds
   */
  blockUntil(supply: TeamSupply, untilMs: number): void {
    Object.assign(supply, { blockedUntilMs: untilMs });
    this.blocked.put(supply);
    this.lanes.block(supply.team);
  }

  /**
   * Ends the waits that are over.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  unblockDue(nowMs: number): void {
    for (;;) {
      const supply = this.blocked.peek();
      if (!supply || supply.blockedUntilMs > nowMs) return;
      this.unblock(supply);
    }
  }

  /**
   * Ends a team's wait.
   *
   * @param supply - supply of the team
   */
  unblock(supply: TeamSupply): void {
    this.blocked.remove(supply);
    Object.assign(supply, { blockedUntilMs: 0 });
    if (!supply.busy) this.lanes.unblock(supply.team, false);
  }

  /**
   * Notes tokens that came back; a team that waits for tokens goes on.
   *
   * @param team - name of the team
   * @param tokens - tokens refunded
   */
  noteReturned(team: string, tokens: number): void {
    const supply = this.supplies.get(team);
    if (!supply) return;
    supply.addReturned(tokens);
    if (supply.blockedUntilMs > 0) this.unblock(supply);
  }

  /** Forgets the teams about which nothing is known. */
  sweep(): void {
    this.supplies.forEach((supply, team) => {
      if (supply.unused) this.supplies.delete(team);
    });
  }
}
