import { type Incarnation, sameIncarnation } from '../domain/vm.js';
import type { Member, MemberEpoch } from '../membership/membership.js';
import { DebitLedger } from './debit-ledger.js';
import { EpochLog } from './epoch-log.js';
import { type HomeAssignment } from './home-assignment.js';
import { DISPATCH_DELAY_MS, divideLimits } from './share-limits.js';
import { TokenBucket, type BucketLimits } from './token-bucket.js';

/** Retry delay of a home whose share still waits for confirmations from other members. */
const UNCONFIRMED_RETRY_MS = 50;

/** Retry delay of a VM that is not a home of the team. */
const NO_SHARE_RETRY_MS = 250;

/** A bucket that is full and unused for this long is dropped; it can be created again. */
const IDLE_EVICTION_MS = 60_000;

/** State of the fleet and the configuration, read anew for each operation. */
export interface FleetSnapshot {
  readonly self: Incarnation;
  /** Epochs that a current member may still apply, the current one last. */
  readonly history: readonly MemberEpoch[];
  readonly nowMs: number;
  /** Limits of a team, summed over all homes; undefined when there is no such team. */
  readonly limitsOf: (team: string) => BucketLimits | undefined;
  /** Returns whether a member has confirmed an epoch; queries the member when that is not known. */
  readonly hasConfirmed: (member: Member, epoch: number) => boolean;
}

/** Answer to a debit. */
export interface ShareGrant {
  readonly granted: number;
  /** Milliseconds until the missing tokens are expected. */
  readonly retryAfterMs: number;
}

interface Share {
  readonly bucket: TokenBucket;
  /** Limits of the whole team, as last applied. */
  teamLimits: BucketLimits;
  /** Fraction of the team's limits that the bucket has. */
  fraction: number;
  lastUsedMs: number;
}

/** Owns the token buckets of the teams that have a home on this VM; only teams in use have one. */
export class HomeShares {
  private readonly shares = new Map<string, Share>();

  private readonly ledger = DebitLedger.create();

  private readonly epochLog = EpochLog.create();

  private holder: Incarnation | undefined;

  private constructor(private readonly homeAssignment: HomeAssignment) {}

  /**
   * Creates an instance without buckets.
   *
   * @param homeAssignment - assigns home VMs to teams
   * @returns a new instance
   */
  static create(homeAssignment: HomeAssignment): HomeShares {
    return new HomeShares(homeAssignment);
  }

  /** Number of teams that have a bucket. */
  get size(): number {
    return this.shares.size;
  }

  /** Drops all buckets: a new incarnation must not spend the tokens of the previous one. */
  reset(): void {
    this.shares.clear();
    this.ledger.clear();
    this.epochLog.clear();
  }

  /**
   * Applies the epochs since the last call. Buckets of lost shares are dropped. When an epoch may
   * have been missed, all buckets are dropped, because another home may have spent their tokens in
   * it.
   *
   * @param fleet - state of the fleet and the configuration
   */
  applyEpochs(fleet: FleetSnapshot): void {
    if (this.holder && !sameIncarnation(this.holder, fleet.self)) this.reset();
    this.holder = fleet.self;
    const unapplied = this.epochLog.selectUnapplied(fleet.history);
    if (!unapplied) {
      this.shares.clear();
      this.epochLog.clear();
    }
    (unapplied ?? fleet.history.slice(-1)).forEach((epoch) => this.applyEpoch(epoch, fleet));
    if (fleet.history.length === 1) this.epochLog.markConfirmed(fleet.nowMs);
  }

  /**
   * Applies changed limits to the existing buckets. The bucket of a removed team is kept but not
   * used, so that a team that is removed and added again does not start with a second burst.
   *
   * @param fleet - state of the fleet and the configuration
   */
  applyLimits(fleet: FleetSnapshot): void {
    this.shares.forEach((share, team) => {
      const limits = fleet.limitsOf(team);
      if (limits) applyLimits(share, limits, fleet.nowMs);
    });
  }

  /**
   * Grants tokens from this VM's share: the requested number, or as many as the bucket has.
   *
   * @param team - name of the team
   * @param tokens - tokens requested
   * @param debitId - identifies the debit; a retried call gets the first answer
   * @param fleet - state of the fleet and the configuration
   * @returns tokens granted, and when the rest is expected
   */
  debit(team: string, tokens: number, debitId: string, fleet: FleetSnapshot): ShareGrant {
    const { nowMs } = fleet;
    const earlier = this.ledger.find(debitId);
    if (earlier) return { granted: earlier.refunded ? 0 : earlier.granted, retryAfterMs: 0 };
    this.applyEpochs(fleet);
    const limits = fleet.limitsOf(team);
    const share = limits ? this.getOrCreate(team, limits, fleet) : undefined;
    if (!share) return { granted: 0, retryAfterMs: this.retryDelayWithoutShare(team, fleet) };
    share.lastUsedMs = nowMs;
    const { granted, sequence } = share.bucket.debit(tokens, nowMs);
    if (granted > 0) {
      const entry = { granted, sequence, bucket: share.bucket, atMs: nowMs, refunded: false };
      this.ledger.add(debitId, entry);
    }
    const missing = Math.min(tokens - granted, Math.floor(share.teamLimits.burst * share.fraction));
    return { granted, retryAfterMs: Math.ceil(share.bucket.msUntilAvailable(missing, nowMs)) };
  }

  /**
   * Refunds tokens of an earlier debit.
   *
   * @param debitId - id of the debit
   * @param tokens - tokens not used
   * @param nowMs - monotonic time, in milliseconds
   */
  refund(debitId: string, tokens: number, nowMs: number): void {
    this.ledger.refund(debitId, tokens, nowMs);
  }

  /**
   * Returns the level of a team's bucket on this VM.
   *
   * @param team - name of the team
   * @param nowMs - monotonic time, in milliseconds
   * @returns tokens, or undefined when the team has no bucket on this VM
   */
  level(team: string, nowMs: number): number | undefined {
    return this.shares.get(team)?.bucket.level(nowMs);
  }

  /**
   * Drops buckets that have not been used for {@link IDLE_EVICTION_MS}, are full, and would be full
   * if created again.
   *
   * @param fleet - state of the fleet and the configuration
   */
  evictIdle(fleet: FleetSnapshot): void {
    const { nowMs } = fleet;
    this.shares.forEach((share, team) => {
      if (nowMs - share.lastUsedMs <= IDLE_EVICTION_MS || !share.bucket.isFull(nowMs)) return;
      const { rate, burst } = divideLimits(share.teamLimits, 1 / share.fraction);
      if (this.computeHeldLevel(team, share.fraction, rate, fleet) >= burst)
        this.shares.delete(team);
    });
  }

  private applyEpoch(epoch: MemberEpoch, fleet: FleetSnapshot): void {
    this.epochLog.append(epoch);
    this.shares.forEach((share, team) => {
      const fraction = this.homeAssignment.fractionOf(team, epoch, fleet.self);
      if (fraction === 0) this.shares.delete(team);
      else if (fraction < share.fraction) resize(share, fraction, fleet.nowMs);
    });
  }

  private getOrCreate(team: string, limits: BucketLimits, fleet: FleetSnapshot): Share | undefined {
    const current = fleet.history.at(-1);
    const fraction = current ? this.homeAssignment.fractionOf(team, current, fleet.self) : 0;
    if (fraction === 0) return undefined;
    const share = this.shares.get(team) ?? this.createShare(team, fraction, limits, fleet);
    if (!share) return undefined;
    applyLimits(share, limits, fleet.nowMs);
    if (fraction > share.fraction && this.isReleasedByOthers(team, fleet))
      resize(share, fraction, fleet.nowMs);
    return share;
  }

  /**
   * Creates the bucket of a share. A newly gained share starts with a debt of one dispatch delay at
   * its rate, because requests paid at the displaced home may still be on their way to a server.
   */
  private createShare(
    team: string,
    fraction: number,
    limits: BucketLimits,
    fleet: FleetSnapshot,
  ): Share | undefined {
    const { nowMs } = fleet;
    const divided = divideLimits(limits, 1 / fraction);
    const heldLevel = this.computeHeldLevel(team, fraction, divided.rate, fleet);
    if (heldLevel === -Infinity && !this.isReleasedByOthers(team, fleet)) return undefined;
    const level = Math.max(heldLevel, (-divided.rate * DISPATCH_DELAY_MS) / 1000);
    const bucket = TokenBucket.create(divided, level, nowMs);
    const share = { bucket, teamLimits: limits, fraction, lastUsedMs: nowMs };
    this.shares.set(team, share);
    return share;
  }

  /**
   * Computes the level of a bucket that has been unused for as long as this VM provably holds its
   * share; -Infinity without proof.
   */
  private computeHeldLevel(
    team: string,
    fraction: number,
    rate: number,
    fleet: FleetSnapshot,
  ): number {
    const since = this.epochLog.findHeldSince(
      (epoch) => this.homeAssignment.fractionOf(team, epoch, fleet.self) === fraction,
    );
    if (since === undefined) return -Infinity;
    return (rate * (fleet.nowMs - since - DISPATCH_DELAY_MS)) / 1000;
  }

  private isReleasedByOthers(team: string, fleet: FleetSnapshot): boolean {
    const { epoch } = fleet.history.at(-1)!;
    const others = this.homeAssignment
      .findDisplaced(team, fleet.history)
      .filter((member) => member.vm !== fleet.self.vm);
    // Filters instead of stopping at the first miss, so that all members are queried concurrently.
    return others.filter((member) => !fleet.hasConfirmed(member, epoch)).length === 0;
  }

  private retryDelayWithoutShare(team: string, fleet: FleetSnapshot): number {
    const current = fleet.history.at(-1);
    const home = current && this.homeAssignment.fractionOf(team, current, fleet.self) > 0;
    return home ? UNCONFIRMED_RETRY_MS : NO_SHARE_RETRY_MS;
  }
}

function resize(share: Share, fraction: number, nowMs: number): void {
  Object.assign(share, { fraction });
  share.bucket.updateLimits(divideLimits(share.teamLimits, 1 / fraction), nowMs);
}

/**
 * Applies changed limits. After a raise, the bucket gets a debt of the rate difference over one
 * dispatch delay, because requests paid at the old rate may still be on their way to a server.
 */
function applyLimits(share: Share, limits: BucketLimits, nowMs: number): void {
  if (share.teamLimits.rate === limits.rate && share.teamLimits.burst === limits.burst) return;
  const raised = Math.max(0, limits.rate - share.teamLimits.rate) * share.fraction;
  Object.assign(share, { teamLimits: limits });
  share.bucket.updateLimits(divideLimits(limits, 1 / share.fraction), nowMs);
  share.bucket.addDebt((raised * DISPATCH_DELAY_MS) / 1000, nowMs);
}
