/** Shortest wait before a team's homes are asked again, so that short waits do not become polling. */
export const SHORTEST_WAIT_MS = 5;

/** A reading older than this is not used in place of asking. */
const FRESH_MS = 250;

/** Time for which a team counts as short of tokens, or as beyond its rate. */
const SHORT_MEMORY_MS = 1000;

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
  readonly pausedUntilMs: number;
}

/** What this VM knows of one team's tokens and requests. */
export class TeamSupply {
  /** True while a debit for the team is under way. */
  busy = false;

  /** Monotonic time until which the team's requests wait for tokens; 0 when they do not. */
  blockedUntilMs = 0;

  /** Tokens of requests in progress that may come back. */
  refundable = 0;

  /** Monotonic time when a request of the team last waited for tokens or was beyond its rate. */
  shortMs = -Infinity;

  private reading: SupplyReading | undefined;

  private returned = 0;

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
  get unused(): boolean {
    return !this.busy && this.blockedUntilMs === 0 && this.refundable === 0;
  }

  /**
   * Tells whether the team sends about as much as its rate allows, or more.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns true when one of its requests waited for tokens or was beyond the rate lately
   */
  wasShort(nowMs: number): boolean {
    return nowMs - this.shortMs < SHORT_MEMORY_MS;
  }

  /**
   * Notes what the homes had.
   *
   * @param reading - the sum over the homes
   */
  read(reading: SupplyReading): void {
    this.reading = reading;
    this.returned = 0;
  }

  /**
   * Notes tokens that came back since the last reading.
   *
   * @param tokens - tokens refunded
   */
  addReturned(tokens: number): void {
    this.returned += tokens;
  }

  /**
   * Estimates when the homes can give a number of tokens.
   *
   * @param tokens - tokens wanted
   * @param nowMs - monotonic time in milliseconds
   * @returns milliseconds, 0 when they may be there
   */
  msUntil(tokens: number, nowMs: number): number {
    const { reading } = this;
    if (!reading) return 0;
    if (reading.rate === 0 || tokens > reading.burst) {
      return Math.max(reading.pausedUntilMs - nowMs, NO_HOME_WAIT_MS);
    }
    const grown = (reading.rate * (nowMs - reading.atMs)) / 1000;
    const missing = tokens - reading.level - this.returned - grown;
    if (missing <= 0) return 0;
    return Math.max(SHORTEST_WAIT_MS, Math.ceil((missing / reading.rate) * 1000));
  }

  /**
   * Tells whether a recent reading shows that the homes cannot give a number of tokens yet.
   *
   * @param tokens - tokens wanted
   * @param nowMs - monotonic time in milliseconds
   * @returns true when asking them would be in vain
   */
  isKnownShort(tokens: number, nowMs: number): boolean {
    const fresh = this.reading !== undefined && nowMs - this.reading.atMs < FRESH_MS;
    return fresh && this.msUntil(tokens, nowMs) > 0;
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
  isHopeless(tokens: number, deadlineMs: number, nowMs: number): boolean {
    const { reading } = this;
    if (!reading || reading.pausedUntilMs > 0 || reading.rate === 0) return false;
    if (tokens > reading.burst) return false;
    return nowMs + this.msUntil(tokens - this.refundable, nowMs) > deadlineMs;
  }
}
