/** Shortest wait before a team's homes are asked again, so that short waits do not become polling. */
export const MIN_TOKEN_WAIT_MS = 5;

/** A reading older than this is not used in place of asking. */
const READING_MAX_AGE_MS = 250;

/** Time for which a team counts as short of tokens, or as beyond its rate. */
const SHORTAGE_WINDOW_MS = 1000;

/** Debits of one team that may be under way while its homes have tokens. */
const MAX_CONCURRENT_DEBITS = 8;

/** Wait when no home can be asked. */
const NO_HOME_WAIT_MS = 50;

/** Tokens that a team's homes had when they were last asked, and how fast they grow. */
export interface SupplyReading {
  readonly atMs: number;
  readonly level: number;
  /** Tokens a second of the homes that answered. */
  readonly rate: number;
  /** Most tokens that these homes can hold. */
  readonly burst: number;
  /** Monotonic time when a home that did not answer may be asked again; 0 when all answered. */
  readonly backoffUntilMs: number;
}

/** What this VM knows of one team's tokens and requests. */
export class TeamSupply {
  /** Debits of the team that are under way. */
  debitsInFlight = 0;

  /** Monotonic time until which the team is passed over; 0 when it is not. */
  blockedUntilMs = 0;

  /** True when the team is passed over only until its next debit may start. */
  blockedBySpacing = false;

  /** Tokens of requests in progress that may come back. */
  refundable = 0;

  /** Monotonic time when a request of the team last waited for tokens or was beyond its rate. */
  lastShortMs = -Infinity;

  private reading: SupplyReading | undefined;

  private refundedSinceReading = 0;

  private constructor(readonly team: string) {}

  /**
   * Creates the knowledge of a team that has not been asked for.
   *
   * @param team - name of the team
   * @returns a new supply
   */
  static create(team: string): TeamSupply {
    return new TeamSupply(team);
  }

  /** True when nothing would be lost by forgetting the team. */
  get isEvictable(): boolean {
    return this.debitsInFlight === 0 && this.blockedUntilMs === 0 && this.refundable === 0;
  }

  /** False when no home answered the last debit that failed; the team may have tokens then. */
  get homesAnswered(): boolean {
    return this.reading !== undefined && this.reading.rate > 0;
  }

  /** True when the team's requests wait for tokens. */
  get waitsForTokens(): boolean {
    return this.blockedUntilMs > 0 && !this.blockedBySpacing;
  }

  /**
   * Tells whether the team sends about as much as its rate allows, or more.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns true when one of its requests waited for tokens or was beyond the rate lately
   */
  wasRecentlyShort(nowMs: number): boolean {
    return nowMs - this.lastShortMs < SHORTAGE_WINDOW_MS;
  }

  /**
   * Tells whether the team has to wait for a debit before it starts another one. Debits of a team
   * that is short of tokens go one after another: each would get a part of what there is.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns true when no further debit may start
   */
  atDebitLimit(nowMs: number): boolean {
    return this.debitsInFlight >= (this.wasRecentlyShort(nowMs) ? 1 : MAX_CONCURRENT_DEBITS);
  }

  /**
   * Describes the last reading for the record of decisions.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns the reading as facts; empty before the homes were asked
   */
  describe(nowMs: number): Record<string, number> {
    const { reading } = this;
    if (!reading) return {};
    return {
      supplyAgeMs: Math.round(nowMs - reading.atMs),
      supplyLevel: reading.level,
      supplyRate: reading.rate,
      silentForMs: Math.max(0, Math.round(reading.backoffUntilMs - reading.atMs)),
      refundable: this.refundable,
    };
  }

  /**
   * Notes what the homes had.
   *
   * @param reading - the sum over the homes
   */
  update(reading: SupplyReading): void {
    this.reading = reading;
    this.refundedSinceReading = 0;
  }

  /**
   * Notes tokens that came back since the last reading.
   *
   * @param tokens - tokens refunded
   */
  addRefund(tokens: number): void {
    this.refundedSinceReading += tokens;
  }

  /**
   * Estimates when the homes can give a number of tokens.
   *
   * @param tokens - tokens wanted
   * @param nowMs - monotonic time in milliseconds
   * @returns milliseconds, 0 when they may be there
   */
  msUntilAvailable(tokens: number, nowMs: number): number {
    const { reading } = this;
    if (!reading) return 0;
    if (reading.rate === 0 || tokens > reading.burst) {
      return Math.max(reading.backoffUntilMs - nowMs, NO_HOME_WAIT_MS);
    }
    const grown = (reading.rate * (nowMs - reading.atMs)) / 1000;
    const missing = tokens - reading.level - this.refundedSinceReading - grown;
    if (missing <= 0) return 0;
    return Math.max(MIN_TOKEN_WAIT_MS, Math.ceil((missing / reading.rate) * 1000));
  }

  /**
   * Tells whether a recent reading shows that the homes cannot give a number of tokens yet.
   *
   * @param tokens - tokens wanted
   * @param nowMs - monotonic time in milliseconds
   * @returns true when asking them would be in vain
   */
  isKnownShort(tokens: number, nowMs: number): boolean {
    const fresh = this.reading !== undefined && nowMs - this.reading.atMs < READING_MAX_AGE_MS;
    return fresh && this.msUntilAvailable(tokens, nowMs) > 0;
  }

  /**
   * Tells whether a wait cannot succeed before a deadline, even if all requests in progress give
   * back what they may and a silent home answers again.
   *
   * @param tokens - tokens wanted
   * @param deadlineMs - monotonic time in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns true when the request can be refused now
   */
  cannotMeetDeadline(tokens: number, deadlineMs: number, nowMs: number): boolean {
    const { reading } = this;
    if (!reading || reading.backoffUntilMs > 0 || reading.rate === 0) return false;
    if (tokens > reading.burst) return false;
    return nowMs + this.msUntilAvailable(tokens - this.refundable, nowMs) > deadlineMs;
  }
}
