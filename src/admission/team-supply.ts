/**
 * Minimum wait before a team's homes are asked again, so that short waits do not turn into polling.
 */
export const MIN_TOKEN_WAIT_MS = 5;

/** An older reading is not used: the homes are asked instead. */
const READING_MAX_AGE_MS = 250;

/** Time for which a team counts as short of tokens, or as beyond its rate, after it last was. */
const SHORTAGE_WINDOW_MS = 1000;

/** Maximum number of concurrent debits of one team while its homes have tokens. */
const MAX_CONCURRENT_DEBITS = 8;

/** Wait before a retry when no home can be asked. */
const NO_HOME_WAIT_MS = 50;

/** Tokens that a team's homes had when they were last asked, and their refill rate. */
export interface SupplyReading {
  /** Monotonic time of the reading, in milliseconds. */
  readonly readMs: number;
  readonly level: number;
  /** Refill rate of the homes that answered, in tokens per second. */
  readonly rate: number;
  /** Maximum number of tokens that these homes can hold. */
  readonly burst: number;
  /** Monotonic time when a home in back-off may be asked again, in milliseconds; 0 when none is. */
  readonly backoffUntilMs: number;
}

/** Estimates one team's token supply from the last answers of its homes, and tracks its debits. */
export class TeamSupply {
  /** Number of debits in flight for the team. */
  debitsInFlight = 0;

  /** Monotonic time until which the team is blocked, in milliseconds; 0 when it is not. */
  blockedUntilMs = 0;

  /** True when the team is blocked only until its next debit may start. */
  blockedBySpacing = false;

  /** Tokens of running requests that may be refunded. */
  refundable = 0;

  /** Monotonic time when a request of the team last waited for tokens or exceeded its rate, in
   * milliseconds. */
  lastShortMs = -Infinity;

  private reading: SupplyReading | undefined;

  private refundedSinceReading = 0;

  private constructor(readonly team: string) {}

  /**
   * Creates the supply of a team whose homes have not been asked.
   *
   * @param team - name of the team
   * @returns a new supply
   */
  static create(team: string): TeamSupply {
    return new TeamSupply(team);
  }

  /** True when the team has no debits in flight, no block and no tokens that may be refunded. */
  get isEvictable(): boolean {
    return this.debitsInFlight === 0 && this.blockedUntilMs === 0 && this.refundable === 0;
  }

  /** False when no home answered the last failed debit; the team may have tokens in that case. */
  get homesAnswered(): boolean {
    return this.reading !== undefined && this.reading.rate > 0;
  }

  /** True when the team's requests wait for tokens. */
  get waitsForTokens(): boolean {
    return this.blockedUntilMs > 0 && !this.blockedBySpacing;
  }

  /**
   * Returns whether the team sends at about its rate or above it.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when one of its requests waited for tokens or exceeded the rate in the last
   *   {@link SHORTAGE_WINDOW_MS}
   */
  wasRecentlyShort(nowMs: number): boolean {
    return nowMs - this.lastShortMs < SHORTAGE_WINDOW_MS;
  }

  /**
   * Returns whether the team must wait for a debit in flight before it starts another one. A team
   * that is short of tokens gets one debit at a time: concurrent debits would each get only a part
   * of the tokens that are left.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when no further debit may start
   */
  atDebitLimit(nowMs: number): boolean {
    return this.debitsInFlight >= (this.wasRecentlyShort(nowMs) ? 1 : MAX_CONCURRENT_DEBITS);
  }

  /**
   * Describes the last reading for the decision record.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns the reading as facts; empty until the homes have been asked
   */
  describe(nowMs: number): Record<string, number> {
    const { reading } = this;
    if (!reading) return {};
    return {
      supplyAgeMs: Math.round(nowMs - reading.readMs),
      supplyLevel: reading.level,
      supplyRate: reading.rate,
      silentForMs: Math.max(0, Math.round(reading.backoffUntilMs - reading.readMs)),
      refundable: this.refundable,
    };
  }

  /**
   * Replaces the reading.
   *
   * @param reading - sums over the homes that answered
   */
  update(reading: SupplyReading): void {
    this.reading = reading;
    this.refundedSinceReading = 0;
  }

  /**
   * Adds tokens that were refunded since the last reading.
   *
   * @param tokens - tokens refunded
   */
  addRefund(tokens: number): void {
    this.refundedSinceReading += tokens;
  }

  /**
   * Estimates when the homes can grant a number of tokens.
   *
   * @param tokens - tokens requested
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; 0 when the tokens may be available now
   */
  msUntilAvailable(tokens: number, nowMs: number): number {
    const { reading } = this;
    if (!reading) return 0;
    if (reading.rate === 0 || tokens > reading.burst) {
      return Math.max(reading.backoffUntilMs - nowMs, NO_HOME_WAIT_MS);
    }
    const grown = (reading.rate * (nowMs - reading.readMs)) / 1000;
    const missing = tokens - reading.level - this.refundedSinceReading - grown;
    if (missing <= 0) return 0;
    return Math.max(MIN_TOKEN_WAIT_MS, Math.ceil((missing / reading.rate) * 1000));
  }

  /**
   * Returns whether a recent reading shows that the homes cannot grant a number of tokens yet.
   *
   * @param tokens - tokens requested
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when a debit would fail
   */
  isKnownShort(tokens: number, nowMs: number): boolean {
    const fresh = this.reading !== undefined && nowMs - this.reading.readMs < READING_MAX_AGE_MS;
    return fresh && this.msUntilAvailable(tokens, nowMs) > 0;
  }

  /**
   * Returns whether a wait cannot succeed before a deadline, even if all running requests refund as
   * much as they can. Returns false while a home is in back-off, because its tokens are unknown.
   *
   * @param tokens - tokens requested
   * @param deadlineMs - monotonic time, in milliseconds
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when the request can be refused now
   */
  cannotMeetDeadline(tokens: number, deadlineMs: number, nowMs: number): boolean {
    const { reading } = this;
    if (!reading || reading.backoffUntilMs > 0 || reading.rate === 0) return false;
    if (tokens > reading.burst) return false;
    return nowMs + this.msUntilAvailable(tokens - this.refundable, nowMs) > deadlineMs;
  }
}
