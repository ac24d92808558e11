import { randomUUID } from 'node:crypto';

import { sameIncarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Member } from '../membership/membership.js';
import type { Collection, PeerDebit } from './admission-message.js';
import type { FleetFacts } from './fleet-facts.js';
import { HomeDebits } from './home-debits.js';
import { HomeShares, type ShareGrant } from './home-shares.js';
import { RemoteDebits } from './remote-debits.js';
import { type ShareTable } from './share-table.js';
import type { SupplyReading } from './team-supply.js';
import { type DebitPart, sumGranted, type Turn, type WaitingRequest } from './waiting-request.js';

/** Wait before a peer asks again while this VM may not spend. */
const NO_LEASE_RETRY_MS = 250;

/** Debits and refunds tokens at a team's homes; this VM is one of them for some teams. */
export class TokenCollector {
  private readonly shares: HomeShares;

  private readonly remote: RemoteDebits;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly table: ShareTable,
    private readonly facts: FleetFacts,
    private readonly collected: (collection: Collection) => void,
  ) {
    this.shares = HomeShares.create(table);
    this.remote = RemoteDebits.create(kernel, clock);
  }

  /**
   * Creates a collector without buckets.
   *
   * @param kernel - finds the services that it uses
   * @param clock - source of time
   * @param table - assigns homes to teams
   * @param facts - facts about the fleet and the configuration
   * @param collected - takes the collections for which other homes were asked
   * @returns a new collector
   */
  static create(
    kernel: Kernel,
    clock: Clock,
    table: ShareTable,
    facts: FleetFacts,
    collected: (collection: Collection) => void,
  ): TokenCollector {
    return new TokenCollector(kernel, clock, table, facts, collected);
  }

  /** Number of teams that have a bucket here. */
  get buckets(): number {
    return this.shares.size;
  }

  /**
   * Debits the own share at once and asks the other homes for the rest.
   *
   * @param request - the request to fund
   * @param turn - its place at the servers
   * @returns the collection, or undefined when other homes are asked
   */
  collect(request: WaitingRequest, turn: Turn): Collection | undefined {
    const { team, cost } = request;
    const homes = this.table.homes(team, this.kernel.find('membership').current());
    const { self } = this.facts.read();
    const own = homes.find((home) => sameIncarnation(home, self));
    const started = { startedMs: this.clock.monotonicMs(), startedWallMs: this.clock.wallMs() };
    const parts = own ? this.debitOwn(own, team, cost) : [];
    const others = homes.filter((home) => home !== own);
    const ready = others.filter((home) => this.remote.pausedUntil(team, home) === 0);
    const pauses = others.map((home) => this.remote.pausedUntil(team, home)).filter(Boolean);
    const pausedUntilMs = pauses.length > 0 ? Math.min(...pauses) : 0;
    const funding = { parts, ...started };
    const answered = own ? 1 : 0;
    const collection = { request, turn, funding, answered, pausedUntilMs };
    const most = sumGranted(parts) + ready.length * this.shareBurst(team, homes.length);
    const asks = sumGranted(parts) < cost && ready.length > 0 && most >= cost;
    if (!asks) return collection;
    void this.askOthers(collection, ready);
    return undefined;
  }

  /**
   * Reads what a collection shows of the team's tokens.
   *
   * @param collection - a collection that has ended
   * @returns the sum over the homes that answered
   */
  readSupply(collection: Collection): SupplyReading {
    const { team } = collection.request;
    const limits = this.facts.limitsOf(team) ?? { rate: 0, burst: 0 };
    const epoch = this.kernel.find('membership').current();
    const homes = Math.max(1, this.table.homes(team, epoch).length);
    return {
      atMs: this.clock.monotonicMs(),
      level: sumGranted(collection.funding.parts),
      rate: (limits.rate * collection.answered) / homes,
      burst: this.shareBurst(team, homes) * collection.answered,
      pausedUntilMs: collection.pausedUntilMs,
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
    const { self, nowMs } = this.facts.read();
    if (sameIncarnation(part.home, self)) this.shares.refund(part.debitId, tokens, nowMs);
    else this.remote.refund(part.home, team, tokens, part.debitId);
  }

  /**
   * Debits the own share for another VM.
   *
   * @param debit - what the VM asks for
   * @returns what the share grants
   */
  debitForPeer(debit: PeerDebit): ShareGrant {
    if (!this.facts.maySpend()) return refuseDebit();
    return this.shares.debit(debit.team, debit.tokens, debit.debitId, this.facts.read());
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
  applyFacts(): void {
    const facts = this.facts.read();
    this.shares.applyEpochs(facts);
    this.shares.applyLimits(facts);
  }

  /** Drops buckets that nobody uses. */
  sweep(): void {
    this.shares.sweep(this.facts.read());
  }

  private debitOwn(own: Member, team: string, tokens: number): readonly DebitPart[] {
    if (!this.facts.maySpend()) return [];
    const debitId = randomUUID();
    const { granted } = this.shares.debit(team, tokens, debitId, this.facts.read());
    return granted > 0 ? [{ home: own, debitId, granted }] : [];
  }

  private async askOthers(collection: Collection, homes: readonly Member[]): Promise<void> {
    const { request, funding } = collection;
    const debits = HomeDebits.create(this.remote, this.clock, request, funding);
    const { parts, answered } = await debits.collect(homes);
    const unanswered = homes.map((home) => this.remote.pausedUntil(request.team, home));
    this.collected({
      ...collection,
      funding: { ...funding, parts },
      answered: collection.answered + answered,
      pausedUntilMs: Math.max(collection.pausedUntilMs, ...unanswered),
    });
  }

  private shareBurst(team: string, homes: number): number {
    return Math.floor((this.facts.limitsOf(team)?.burst ?? 0) / Math.max(1, homes));
  }
}

/**
 * Makes the answer to a peer while this VM may not spend.
 *
 * @returns a grant of nothing
 */
export function refuseDebit(): ShareGrant {
  return { granted: 0, retryAfterMs: NO_LEASE_RETRY_MS };
}
