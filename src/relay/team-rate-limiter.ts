import { SharedBucket, type BucketSize } from './shared-bucket.js';

/** Rate of a team over the whole fleet. */
export interface TeamRate {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** How far a team may exceed its rate in a window; the excess is served last. */
export interface RateTolerance {
  /** Fraction of rate and burst by which they may be exceeded. */
  readonly part: number;
  /** Tokens that may be spent in a window in addition. */
  readonly tokens: number;
  readonly windowMs: number;
}

/** Fill level of a bucket when a VM starts: what the team used before is not known. */
const INITIAL_LEVEL_FRACTION = 0.5;

/** Fraction of the tolerance that is added to the rate, and fraction that is added to the burst. */
const RATE_TOLERANCE_FRACTION = 0.4;
const BURST_TOLERANCE_FRACTION = 0.2;

/** Fraction of the tolerance that small requests may overdraw, so that large ones do not starve them. */
const SMALL_OVERDRAFT_FRACTION = 0.1;

/** Largest size of a small request, as a fraction of the burst. */
const SMALL_REQUEST_FRACTION = 0.02;

/** Whether a request is admitted under the rate of its team. */
export type RateDecision =
  | { readonly kind: 'admitted'; readonly insideRate: boolean }
  | { readonly kind: 'exceeded'; readonly retryAfterMs: number; readonly level: number };

/** Tokens that a VM has admitted since its start: the total, and those inside the rate. */
export type SpentTokens = readonly [all: number, inside: number];

interface TeamBuckets {
  rate: TeamRate;
  readonly all: SharedBucket;
  readonly inside: SharedBucket;
}

/**
 * Enforces the rates of teams over the whole fleet. Every VM counts against the full rate, so a burst at
 * one VM is not refused, and the excess is at most what arrives between two digests. A team that exceeds
 * its rate is served up to the tolerance from the capacity that others leave.
 *
 * Load pattern: one team at several times its rate.
 */
export class TeamRateLimiter {
  private readonly teams = new Map<string, TeamBuckets>();

  /** Fraction of the fleet that is out of contact, 0 to 1; it may spend its share unnoticed. */
  private unreachableFraction = 0;

  /** True while this VM has just started and has not learned yet what the others spend. */
  private joining = false;

  private constructor(private readonly tolerance: RateTolerance) {}

  /**
   * Creates a rate limiter.
   *
   * @param tolerance - how far a team may exceed its rate
   * @returns a rate limiter without teams
   */
  static create(tolerance: RateTolerance): TeamRateLimiter {
    return new TeamRateLimiter(tolerance);
  }

  /**
   * Replaces the teams by those of a configuration, so that all VMs count in the same way from the same
   * time on.
   *
   * @param teams - the teams with their rates
   * @param nowMs - monotonic time, in milliseconds
   */
  configure(teams: readonly (TeamRate & { readonly name: string })[], nowMs: number): void {
    const names = new Set(teams.map(({ name }) => name));
    [...this.teams.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.teams.delete(name));
    teams.forEach((team) => this.ensureBuckets(team.name, team, nowMs));
  }

  /**
   * Sets the fraction of the rate that VMs out of contact may be spending.
   *
   * @param fraction - 0 when every known VM is in contact, up to 1
   * @param nowMs - monotonic time, in milliseconds
   * @param joining - whether this VM has just started
   */
  setUnreachableFraction(fraction: number, nowMs: number, joining = false): void {
    this.joining = joining;
    const bounded = Math.min(1, Math.max(0, fraction));
    if (bounded === this.unreachableFraction) return;
    this.unreachableFraction = bounded;
    this.teams.forEach((buckets) => this.resize(buckets, nowMs));
  }

  /**
   * Charges a request.
   *
   * @param team - name of the request's team
   * @param rate - the team's current rate
   * @param tokens - tokens to charge
   * @param nowMs - monotonic time, in milliseconds
   * @returns admitted, or when to retry
   */
  admit(team: string, rate: TeamRate, tokens: number, nowMs: number): RateDecision {
    if (rate.tokensPerSecond <= 0) return { kind: 'admitted', insideRate: true };
    const { all, inside } = this.ensureBuckets(team, rate, nowMs);
    const { tokensPerMs, capacity } = this.toleratedSize(rate);
    // A request larger than the bucket is admitted when the bucket is full; otherwise it never could be.
    // When all VMs have just started, one such request at each of them would be many times the team's rate.
    const small = tokens <= SMALL_REQUEST_FRACTION * rate.burstTokens;
    const overdraft = small ? SMALL_OVERDRAFT_FRACTION * this.tolerance.tokens : 0;
    const max = this.joining ? rate.burstTokens : capacity;
    const needed = Math.min(tokens, max) - overdraft;
    const level = all.level(nowMs);
    if (level < needed) {
      const retryAfterMs = (needed - level) / Math.max(0.001, tokensPerMs);
      return { kind: 'exceeded', retryAfterMs, level: Math.round(level) };
    }
    all.spend(tokens);
    const insideRate = inside.level(nowMs) >= Math.min(tokens, this.ratedSize(rate).capacity);
    if (insideRate) inside.spend(tokens);
    return { kind: 'admitted', insideRate };
  }

  /**
   * Refunds the charge of a request that was not run.
   *
   * @param team - name of the request's team
   * @param tokens - tokens that it was charged
   * @param insideRate - whether it was admitted inside the rate
   */
  refund(team: string, tokens: number, insideRate: boolean): void {
    const buckets = this.teams.get(team);
    buckets?.all.spend(-tokens);
    if (insideRate) buckets?.inside.spend(-tokens);
  }

  /**
   * Subtracts what another VM has admitted.
   *
   * @param vm - the VM and its incarnation
   * @param spent - tokens by team
   * @param nowMs - monotonic time, in milliseconds
   */
  recordSpent(vm: string, spent: Readonly<Record<string, SpentTokens>>, nowMs: number): void {
    Object.entries(spent).forEach(([team, [all, inside]]) => {
      const buckets = this.teams.get(team);
      buckets?.all.recordSpent(vm, all, nowMs);
      buckets?.inside.recordSpent(vm, inside, nowMs);
    });
  }

  /**
   * Removes a VM that has left the fleet.
   *
   * @param vm - the VM and its incarnation
   */
  removeVm(vm: string): void {
    this.teams.forEach(({ all, inside }) => {
      all.removeVm(vm);
      inside.removeVm(vm);
    });
  }

  /** Tokens that this VM has admitted since its start, by team. */
  get spent(): Record<string, [number, number]> {
    const totals: Record<string, [number, number]> = {};
    this.teams.forEach(({ all, inside }, team) => {
      totals[team] = [Math.round(all.spent), Math.round(inside.spent)];
    });
    return totals;
  }

  private ensureBuckets(team: string, rate: TeamRate, nowMs: number): TeamBuckets {
    const known = this.teams.get(team);
    if (known) {
      const same =
        known.rate.tokensPerSecond === rate.tokensPerSecond &&
        known.rate.burstTokens === rate.burstTokens;
      known.rate = rate;
      if (!same) this.resize(known, nowMs);
      return known;
    }
    const tolerated = this.toleratedSize(rate);
    const rated = this.ratedSize(rate);
    const buckets = {
      rate,
      all: SharedBucket.create(tolerated, tolerated.capacity * INITIAL_LEVEL_FRACTION, nowMs),
      inside: SharedBucket.create(rated, rated.capacity * INITIAL_LEVEL_FRACTION, nowMs),
    };
    this.teams.set(team, buckets);
    return buckets;
  }

  private resize({ rate, all, inside }: TeamBuckets, nowMs: number): void {
    all.resize(this.toleratedSize(rate), nowMs);
    inside.resize(this.ratedSize(rate), nowMs);
  }

  private ratedSize({ tokensPerSecond, burstTokens }: TeamRate): BucketSize {
    const heard = 1 - this.unreachableFraction;
    return { tokensPerMs: (tokensPerSecond * heard) / 1000, capacity: burstTokens * heard };
  }

  private toleratedSize(rate: TeamRate): BucketSize {
    const { part, tokens, windowMs } = this.tolerance;
    const heard = 1 - this.unreachableFraction;
    const rated = this.ratedSize(rate);
    const added = (RATE_TOLERANCE_FRACTION * tokens * heard) / Math.max(1, windowMs);
    return {
      tokensPerMs: rated.tokensPerMs * (1 + RATE_TOLERANCE_FRACTION * part) + added,
      capacity:
        rated.capacity * (1 + RATE_TOLERANCE_FRACTION * part) +
        BURST_TOLERANCE_FRACTION * tokens * heard,
    };
  }
}
