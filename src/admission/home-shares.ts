import { type Incarnation, sameIncarnation } from '../domain/vm.js';
import type { Member, MemberEpoch } from '../membership/membership.js';
import { DebitLedger } from './debit-ledger.js';
import { EpochLog } from './epoch-log.js';
import { DISPATCH_DELAY_MS, divideLimits } from './share-limits.js';
import { type ShareTable } from './share-table.js';
import { TokenBucket, type BucketLimits } from './token-bucket.js';

/** Wait before a home is asked again whose share waits for confirmations. */
const UNCONFIRMED_RETRY_MS = 50;

/** Wait before a VM is asked again that cannot grant tokens of the team. */
const NO_SHARE_RETRY_MS = 250;

/** A bucket that is full and unused for this long is dropped; it can be made again. */
const IDLE_MS = 60_000;

/** Facts about the fleet and the configuration, read anew for each operation. */
export interface ShareFacts {
  readonly self: Incarnation;
  /** Epochs that a present member may still apply, the present one last. */
  readonly history: readonly MemberEpoch[];
  readonly nowMs: number;
  /** Limits of a team over all homes; undefined when there is no such team. */
  readonly limitsOf: (team: string) => BucketLimits | undefined;
  /** Tells whether a member has confirmed an epoch; starts a question when it is not known. */
  readonly hasConfirmed: (member: Member, epoch: number) => boolean;
}

/** Answer to a debit. */
export interface ShareGrant {
  readonly granted: number;
  /** Milliseconds until the missing tokens would be there. */
  readonly retryAfterMs: number;
}

interface Share {
  readonly bucket: TokenBucket;
  /** Limits of the whole team that are applied. */
  whole: BucketLimits;
  /** Part of the team's limits that the bucket has. */
  part: number;
  usedMs: number;
}

/** Owns the buckets of the teams whose home this VM is; only teams in use have one. */
export class HomeShares {
  private readonly shares = new Map<string, Share>();

  private readonly ledger = DebitLedger.create();

  private readonly log = EpochLog.create();

  private holder: Incarnation | undefined;

  private constructor(private readonly table: ShareTable) {}

  /**
   * Creates shares without buckets.
   *
   * @param table - assigns homes to teams
   * @returns new shares
   */
  static create(table: ShareTable): HomeShares {
    return new HomeShares(table);
  }

  /** Number of teams that have a bucket. */
  get size(): number {
    return this.shares.size;
  }

  /** Drops all buckets; a new incarnation does not spend what an old one held. */
  reset(): void {
    this.shares.clear();
    this.ledger.clear();
    this.log.clear();
  }

  /**
   * Applies the epochs that were folded since the last call. Buckets of lost shares are dropped, and
   * all of them when an epoch may have been missed, because another home may have spent in it.
   *
   * @param facts - fleet and configuration
   */
  applyEpochs(facts: ShareFacts): void {
    if (this.holder && !sameIncarnation(this.holder, facts.self)) this.reset();
    this.holder = facts.self;
    const later = this.log.selectLater(facts.history);
    if (!later) {
      this.shares.clear();
      this.log.clear();
    }
    (later ?? facts.history.slice(-1)).forEach((epoch) => this.applyEpoch(epoch, facts));
    if (facts.history.length === 1) this.log.markConfirmed(facts.nowMs);
  }

  /**
   * Applies changed rates to the buckets there are. The bucket of a removed team is kept and not
   * used, so that a team that is removed and added again does not start with a second burst.
   *
   * @param facts - fleet and configuration
   */
  applyLimits(facts: ShareFacts): void {
    this.shares.forEach((share, team) => {
      const limits = facts.limitsOf(team);
      if (limits) applyLimits(share, limits, facts.nowMs);
    });
  }

  /**
   * Grants tokens from this VM's share, as many of the wanted ones as there are.
   *
   * @param team - name of the team
   * @param tokens - tokens wanted
   * @param debitId - identifies the debit; a repeated call gets the first answer
   * @param facts - fleet and configuration
   * @returns tokens granted, and when the rest would be there
   */
  debit(team: string, tokens: number, debitId: string, facts: ShareFacts): ShareGrant {
    const { nowMs } = facts;
    const earlier = this.ledger.find(debitId);
    if (earlier) return { granted: earlier.refunded ? 0 : earlier.granted, retryAfterMs: 0 };
    this.applyEpochs(facts);
    const limits = facts.limitsOf(team);
    const share = limits ? this.obtain(team, limits, facts) : undefined;
    if (!share) return { granted: 0, retryAfterMs: this.retryWithoutShare(team, facts) };
    share.usedMs = nowMs;
    const { granted, sequence } = share.bucket.debit(tokens, nowMs);
    if (granted > 0) {
      const entry = { granted, sequence, bucket: share.bucket, atMs: nowMs, refunded: false };
      this.ledger.add(debitId, entry);
    }
    const missing = Math.min(tokens - granted, Math.floor(share.whole.burst * share.part));
    return { granted, retryAfterMs: Math.ceil(share.bucket.msUntil(missing, nowMs)) };
  }

  /**
   * Takes tokens of an earlier debit back.
   *
   * @param debitId - id of the debit
   * @param tokens - tokens not used
   * @param nowMs - monotonic time in milliseconds
   */
  refund(debitId: string, tokens: number, nowMs: number): void {
    this.ledger.refund(debitId, tokens, nowMs);
  }

  /**
   * Reads the level of a bucket.
   *
   * @param team - name of the team
   * @param nowMs - monotonic time in milliseconds
   * @returns tokens, or undefined when the team has no bucket here
   */
  level(team: string, nowMs: number): number | undefined {
    return this.shares.get(team)?.bucket.level(nowMs);
  }

  /**
   * Drops buckets that have not been used for a while, are full, and would be full if made again.
   *
   * @param facts - fleet and configuration
   */
  sweep(facts: ShareFacts): void {
    const { nowMs } = facts;
    this.shares.forEach((share, team) => {
      if (nowMs - share.usedMs <= IDLE_MS || !share.bucket.full(nowMs)) return;
      const { rate, burst } = divideLimits(share.whole, 1 / share.part);
      if (this.heldLevel(team, share.part, rate, facts) >= burst) this.shares.delete(team);
    });
  }

  private applyEpoch(epoch: MemberEpoch, facts: ShareFacts): void {
    this.log.append(epoch);
    this.shares.forEach((share, team) => {
      const part = this.table.part(team, epoch, facts.self);
      if (part === 0) this.shares.delete(team);
      else if (part < share.part) resize(share, part, facts.nowMs);
    });
  }

  private obtain(team: string, limits: BucketLimits, facts: ShareFacts): Share | undefined {
    const present = facts.history.at(-1);
    const part = present ? this.table.part(team, present, facts.self) : 0;
    if (part === 0) return undefined;
    const share = this.shares.get(team) ?? this.open(team, part, limits, facts);
    if (!share) return undefined;
    applyLimits(share, limits, facts.nowMs);
    if (part > share.part && this.isFree(team, facts)) resize(share, part, facts.nowMs);
    return share;
  }

  /**
   * A gained share owes the tokens of one dispatch delay, because debits of the displaced home may
   * still be on their way to a server.
   */
  private open(
    team: string,
    part: number,
    limits: BucketLimits,
    facts: ShareFacts,
  ): Share | undefined {
    const { nowMs } = facts;
    const divided = divideLimits(limits, 1 / part);
    const held = this.heldLevel(team, part, divided.rate, facts);
    if (held === -Infinity && !this.isFree(team, facts)) return undefined;
    const level = Math.max(held, (-divided.rate * DISPATCH_DELAY_MS) / 1000);
    const bucket = TokenBucket.create(divided, level, nowMs);
    const share = { bucket, whole: limits, part, usedMs: nowMs };
    this.shares.set(team, share);
    return share;
  }

  /** Computes the level of a bucket that has not been used since this VM provably held its share. */
  private heldLevel(team: string, part: number, rate: number, facts: ShareFacts): number {
    const since = this.log.findHeldSince(
      (epoch) => this.table.part(team, epoch, facts.self) === part,
    );
    if (since === undefined) return -Infinity;
    return (rate * (facts.nowMs - since - DISPATCH_DELAY_MS)) / 1000;
  }

  private isFree(team: string, facts: ShareFacts): boolean {
    const { epoch } = facts.history.at(-1)!;
    const others = this.table
      .displaced(team, facts.history)
      .filter((member) => member.vm !== facts.self.vm);
    // Every member is asked, so that the answers arrive together.
    return others.filter((member) => !facts.hasConfirmed(member, epoch)).length === 0;
  }

  private retryWithoutShare(team: string, facts: ShareFacts): number {
    const present = facts.history.at(-1);
    const home = present && this.table.part(team, present, facts.self) > 0;
    return home ? UNCONFIRMED_RETRY_MS : NO_SHARE_RETRY_MS;
  }
}

function resize(share: Share, part: number, nowMs: number): void {
  Object.assign(share, { part });
  share.bucket.change(divideLimits(share.whole, 1 / part), nowMs);
}

/**
 * Applies changed limits. After a raise the bucket owes the difference over one dispatch delay,
 * because debits at the old rate may still be on their way to a server.
 */
function applyLimits(share: Share, limits: BucketLimits, nowMs: number): void {
  if (share.whole.rate === limits.rate && share.whole.burst === limits.burst) return;
  const raised = Math.max(0, limits.rate - share.whole.rate) * share.part;
  Object.assign(share, { whole: limits });
  share.bucket.change(divideLimits(limits, 1 / share.part), nowMs);
  share.bucket.owe((raised * DISPATCH_DELAY_MS) / 1000, nowMs);
}
