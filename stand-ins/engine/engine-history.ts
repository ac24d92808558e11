import { AttemptLog } from './attempt-log.js';

/** Records that are kept across restarts of the engine, so that tests can read them. */
export class EngineHistory {
  readonly attempts = AttemptLog.create();

  /** Number of tokens that prefills have computed. */
  private prefillTokens = 0;

  /** Number of computed tokens whose results were never transferred. */
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
   * Adds tokens that a prefill has computed.
   *
   * @param tokens - number of tokens
   */
  addPrefillTokens(tokens: number): void {
    this.prefillTokens += tokens;
  }

  /**
   * Adds computed tokens whose result was never transferred.
   *
   * @param tokens - number of tokens
   */
  addWastedPrefillTokens(tokens: number): void {
    this.wastedPrefillTokens += tokens;
  }

  /**
   * Reads the totals.
   *
   * @returns the totals under the names of the fields of `GET /record`
   */
  totals() {
    const { prefillTokens, wastedPrefillTokens } = this;
    return { prefillTokens, wastedPrefillTokens };
  }
}
