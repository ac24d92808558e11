import { randomUUID } from 'node:crypto';

import { sameIncarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Member } from '../membership/membership.js';
import type { FundingAttempt, PeerDebit } from './admission-message.js';
import type { FleetView } from './fleet-view.js';
import { HedgedDebit } from './hedged-debit.js';
import { HomeShares, type ShareGrant } from './home-shares.js';
import { HomeClient } from './home-client.js';
import { type HomeAssignment } from './home-assignment.js';
import type { SupplyReading } from './team-supply.js';
import {
  type DebitPart,
  sumGranted,
  type SlotHold,
  type WaitingRequest,
} from './waiting-request.js';

/** Wait before a peer asks again while this VM may not spend. */
const NO_LEASE_RETRY_MS = 250;

/** Debits and refunds tokens at a team's homes; this VM is one of them for some teams. */
export class TokenCollector {
  private readonly shares: HomeShares;

  private readonly homeClient: HomeClient;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly homeAssignment: HomeAssignment,
    private readonly fleet: FleetView,
    private readonly onCollected: (attempt: FundingAttempt) => void,
  ) {
    this.shares = HomeShares.create(homeAssignment);
    this.homeClient = HomeClient.create(kernel, clock);
  }

  /**
   * Creates a collector without buckets.
   *
   * @param kernel - finds the services that it uses
   * @param clock - source of time
   * @param homeAssignment - assigns homes to teams
   * @param fleet - facts about the fleet and the configuration
   * @param onCollected - takes the collections for which other homes were asked
   * @returns a new collector
   */
  static create(
    kernel: Kernel,
    clock: Clock,
    homeAssignment: HomeAssignment,
    fleet: FleetView,
    onCollected: (attempt: FundingAttempt) => void,
  ): TokenCollector {
    return new TokenCollector(kernel, clock, homeAssignment, fleet, onCollected);
  }

  /** Number of teams that have a bucket here. */
  get bucketCount(): number {
    return this.shares.size;
  }

  /**
   * Debits the own share at once and asks the other homes for the rest.
   *
   * @param request - the request to fund
   * @param turn - its place at the servers
   * @returns the collection, or undefined when other homes are asked
   */
  collect(request: WaitingRequest, hold: SlotHold): FundingAttempt | undefined {
    const { team, cost } = request;
    const homes = this.homeAssignment.homes(team, this.kernel.find('membership').current());
    const { self } = this.fleet.snapshot();
    const own = homes.find((home) => sameIncarnation(home, self));
    const started = { startedMs: this.clock.monotonicMs(), startedWallMs: this.clock.wallMs() };
    const parts = own ? this.debitLocal(own, team, cost) : [];
    const others = homes.filter((home) => home !== own);
    const ready = others.filter((home) => this.homeClient.backoffUntil(team, home) === 0);
    const backoffs = others.map((home) => this.homeClient.backoffUntil(team, home)).filter(Boolean);
    const backoffUntilMs = backoffs.length > 0 ? Math.min(...backoffs) : 0;
    const funding = { parts, ...started };
    const answeredHomes = own ? 1 : 0;
    const attempt = { request, hold, funding, answeredHomes, backoffUntilMs };
    const available = sumGranted(parts) + ready.length * this.burstPerHome(team, homes.length);
    const asksOthers = sumGranted(parts) < cost && ready.length > 0 && available >= cost;
    if (!asksOthers) return attempt;
    void this.collectFromPeers(attempt, ready);
    return undefined;
  }

  /**
   * Reads what a collection shows of the team's tokens.
   *
   * @param collection - a collection that has ended
   * @returns the sum over the homes that answered
   */
  readSupply(attempt: FundingAttempt): SupplyReading {
    const { team } = attempt.request;
    const limits = this.fleet.limitsOf(team) ?? { rate: 0, burst: 0 };
    const epoch = this.kernel.find('membership').current();
    const homes = Math.max(1, this.homeAssignment.homes(team, epoch).length);
    return {
      atMs: this.clock.monotonicMs(),
      level: sumGranted(attempt.funding.parts),
      rate: (limits.rate * attempt.answeredHomes) / homes,
      burst: this.burstPerHome(team, homes) * attempt.answeredHomes,
      backoffUntilMs: attempt.backoffUntilMs,
    };
  }

  /**
   * Gives tokens back to the home that gave them.
   *
   * @param team - name of the team
   * @param part - what the home gave
   * @param tokens - tokens not used
   */
  refund(team: string, part: DebitPart, tokens: number): void {
    const { self, nowMs } = this.fleet.snapshot();
    if (sameIncarnation(part.home, self)) this.shares.refund(part.debitId, tokens, nowMs);
    else this.homeClient.refund(part.home, team, tokens, part.debitId);
  }

  /**
   * Debits the own share for another VM.
   *
   * @param debit - what the VM asks for
   * @returns what the share grants
   */
  debitForPeer(debit: PeerDebit): ShareGrant {
    if (!this.fleet.maySpend()) return createEmptyGrant();
    return this.shares.debit(debit.team, debit.tokens, debit.debitId, this.fleet.snapshot());
  }

  /**
   * Takes tokens back into the own share from another VM.
   *
   * @param refund - what the VM gives back
   */
  refundForPeer(refund: PeerDebit): void {
    this.shares.refund(refund.debitId, refund.tokens, this.clock.monotonicMs());
  }

  /** Forgets the shares of the incarnation before. */
  reset(): void {
    this.shares.reset();
  }

  /** Applies the present members and limits to the own shares. */
  applyFleetChanges(): void {
    const snapshot = this.fleet.snapshot();
    this.shares.applyEpochs(snapshot);
    this.shares.applyLimits(snapshot);
  }

  /** Drops buckets that nobody uses. */
  evictIdle(): void {
    this.shares.evictIdle(this.fleet.snapshot());
  }

  private debitLocal(own: Member, team: string, tokens: number): readonly DebitPart[] {
    if (!this.fleet.maySpend()) return [];
    const debitId = randomUUID();
    const { granted } = this.shares.debit(team, tokens, debitId, this.fleet.snapshot());
    return granted > 0 ? [{ home: own, debitId, granted }] : [];
  }

  private async collectFromPeers(attempt: FundingAttempt, homes: readonly Member[]): Promise<void> {
    const { request, funding } = attempt;
    const debits = HedgedDebit.create(this.homeClient, this.clock, request, funding);
    const { parts, answeredHomes } = await debits.collect(homes);
    const backoffEnds = homes.map((home) => this.homeClient.backoffUntil(request.team, home));
    this.onCollected({
      ...attempt,
      funding: { ...funding, parts },
      answeredHomes: attempt.answeredHomes + answeredHomes,
      backoffUntilMs: Math.max(attempt.backoffUntilMs, ...backoffEnds),
    });
  }

  private burstPerHome(team: string, homes: number): number {
    return Math.floor((this.fleet.limitsOf(team)?.burst ?? 0) / Math.max(1, homes));
  }
}

/**
 * Makes the answer to a peer while this VM may not spend.
 *
 * @returns a grant of nothing
 */
export function createEmptyGrant(): ShareGrant {
  return { granted: 0, retryAfterMs: NO_LEASE_RETRY_MS };
}
