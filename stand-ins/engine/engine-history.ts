import { AttemptLog } from './attempt-log.js';

/** What outlives a restart of the engine, so that tests can read it. */
export class EngineHistory {
  readonly attempts = AttemptLog.create();

  /** Tokens computed by prefills. */
  private prefillTokens = 0;

  /** Tokens computed for results that were never transferred. */
  private wastedPrefillTokens = 0;

  /**
   * Creates an empty history.
   *
   * @returns a new history
   */
  static create(): EngineHistory {
    return new EngineHistory();
  }

  /**
   * Counts tokens that a prefill has computed.
   *
   * @param tokens - how many
   */
  addPrefillTokens(tokens: number): void {
    this.prefillTokens += tokens;
  }

  /**
   * Counts computed tokens that were of no use.
   *
   * @param tokens - how many
   */
  addWastedPrefillTokens(tokens: number): void {
    this.wastedPrefillTokens += tokens;
  }

  /**
   * Reads the totals.
   *
   * @returns the totals as the record shows them
   */
  totals() {
    const { prefillTokens, wastedPrefillTokens } = this;
    return { prefillTokens, wastedPrefillTokens };
  }
}
