import { randomUUID } from 'node:crypto';

import { sameIncarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Member } from '../membership/membership.js';
import type { FundingAttempt, PeerDebit } from './admission-message.js';
import type { FleetView } from './fleet-view.js';
import { HedgedDebit } from './hedged-debit.js';
import { type HomeAssignment } from './home-assignment.js';
import { HomeClient } from './home-client.js';
import { HomeShares, type ShareGrant } from './home-shares.js';
import type { SupplyReading } from './team-supply.js';
import {
  type DebitPart,
  sumGranted,
  type SlotHold,
  type WaitingRequest,
} from './waiting-request.js';

/** Retry delay returned to a peer while this VM may not grant tokens. */
const NO_LEASE_RETRY_MS = 250;

/** Debits and refunds tokens at the homes of a team, of which this VM may be one. */
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
   * @param homeAssignment - assigns home VMs to teams
   * @param fleet - reads membership and configuration
   * @param onCollected - receives the attempts for which other homes were asked
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

  /** Number of teams that have a token bucket on this VM. */
  get bucketCount(): number {
    return this.shares.size;
  }

  /**
   * Debits the local share at once, and asks the other homes for the rest if the buckets of those
   * that are not in back-off can hold that much.
   *
   * @param request - the request that needs the tokens
   * @param hold - the slot held for it
   * @returns the attempt, or undefined when other homes are asked; it is then passed to
   *   `onCollected`
   */
  collect(request: WaitingRequest, hold: SlotHold): FundingAttempt | undefined {
    const { team, cost } = request;
    const homes = this.homeAssignment.homes(team, this.kernel.find('membership').current());
    const { self } = this.fleet.snapshot();
    const localHome = homes.find((home) => sameIncarnation(home, self));
    const startTimes = { startedMs: this.clock.monotonicMs(), startedWallMs: this.clock.wallMs() };
    const parts = localHome ? this.debitLocal(localHome, team, cost) : [];
    const others = homes.filter((home) => home !== localHome);
    const ready = others.filter((home) => this.homeClient.backoffUntil(team, home) === 0);
    const backoffs = others.map((home) => this.homeClient.backoffUntil(team, home)).filter(Boolean);
    const backoffUntilMs = backoffs.length > 0 ? Math.min(...backoffs) : 0;
    const funding = { parts, ...startTimes };
    const answeredHomes = localHome ? 1 : 0;
    const attempt = { request, hold, funding, answeredHomes, backoffUntilMs };
    const available = sumGranted(parts) + ready.length * this.burstPerHome(team, homes.length);
    const asksOthers = sumGranted(parts) < cost && ready.length > 0 && available >= cost;
    if (!asksOthers) return attempt;
    void this.collectFromPeers(attempt, ready);
    return undefined;
  }

  /**
   * Derives a reading of the team's supply from an attempt.
   *
   * @param attempt - an attempt that has ended
   * @returns the sum over the homes that answered
   */
  readSupply(attempt: FundingAttempt): SupplyReading {
    const { team } = attempt.request;
    const limits = this.fleet.limitsOf(team) ?? { rate: 0, burst: 0 };
    const epoch = this.kernel.find('membership').current();
    const homes = Math.max(1, this.homeAssignment.homes(team, epoch).length);
    return {
      readMs: this.clock.monotonicMs(),
      level: sumGranted(attempt.funding.parts),
      rate: (limits.rate * attempt.answeredHomes) / homes,
      burst: this.burstPerHome(team, homes) * attempt.answeredHomes,
      backoffUntilMs: attempt.backoffUntilMs,
    };
  }

  /**
   * Refunds tokens to the home that granted them.
   *
   * @param team - name of the team
   * @param part - tokens granted by the home
   * @param tokens - tokens not used
   */
  refund(team: string, part: DebitPart, tokens: number): void {
    const { self, nowMs } = this.fleet.snapshot();
    if (sameIncarnation(part.home, self)) this.shares.refund(part.debitId, tokens, nowMs);
    else this.homeClient.refund(part.home, team, tokens, part.debitId);
  }

  /**
   * Debits the local share for another VM.
   *
   * @param debit - the requested debit
   * @returns the grant
   */
  debitForPeer(debit: PeerDebit): ShareGrant {
    if (!this.fleet.maySpend()) return createEmptyGrant();
    return this.shares.debit(debit.team, debit.tokens, debit.debitId, this.fleet.snapshot());
  }

  /**
   * Refunds tokens from another VM to the local share.
   *
   * @param refund - the refunded tokens
   */
  refundForPeer(refund: PeerDebit): void {
    this.shares.refund(refund.debitId, refund.tokens, this.clock.monotonicMs());
  }

  /** Drops the shares of the previous incarnation. */
  reset(): void {
    this.shares.reset();
  }

  /** Applies the current members and limits to the local shares. */
  applyFleetChanges(): void {
    const snapshot = this.fleet.snapshot();
    this.shares.applyEpochs(snapshot);
    this.shares.applyLimits(snapshot);
  }

  /** Drops buckets that nobody uses. */
  evictIdle(): void {
    this.shares.evictIdle(this.fleet.snapshot());
  }

  private debitLocal(localHome: Member, team: string, tokens: number): readonly DebitPart[] {
    if (!this.fleet.maySpend()) return [];
    const debitId = randomUUID();
    const { granted } = this.shares.debit(team, tokens, debitId, this.fleet.snapshot());
    return granted > 0 ? [{ home: localHome, debitId, granted }] : [];
  }

  private async collectFromPeers(attempt: FundingAttempt, homes: readonly Member[]): Promise<void> {
    const { request, funding } = attempt;
    const hedgedDebit = HedgedDebit.create(this.homeClient, this.clock, request, funding);
    const { parts, answeredHomes } = await hedgedDebit.collect(homes);
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
 * Creates the answer to a peer while this VM may not grant tokens.
 *
 * @returns a grant of nothing
 */
export function createEmptyGrant(): ShareGrant {
  return { granted: 0, retryAfterMs: NO_LEASE_RETRY_MS };
}
