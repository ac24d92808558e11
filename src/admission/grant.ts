import type { Refusal } from '../domain/refusal.js';
import type { Outcome } from '../kernel/outcome.js';

/** Tokens debited for one request. */
export abstract class Grant {
  /** Tokens debited so far. */
  abstract readonly tokens: number;

  /** True when the request must run alone among suspects on its server. */
  abstract readonly suspect: boolean;

  /**
   * Checks, right before sending, that the debit is recent and the share lease is live.
   *
   * @returns true when the request may be sent now
   */
  abstract sendable(): boolean;

  /**
   * Debits tokens beyond the estimate.
   *
   * @param tokens - how many more
   * @returns nothing, or a refusal when the team has no tokens in time
   */
  abstract extend(tokens: number): Promise<Outcome<void, Refusal>>;

  /**
   * Replaces a debit that has become too old to be sent. The request keeps its place: the new debit
   * goes before all waiting requests of its team.
   *
   * @returns nothing, or a refusal when the team has no tokens in time
   */
  abstract renew(): Promise<Outcome<void, Refusal>>;

  /**
   * Refunds what was not used; further calls have no effect.
   *
   * @param usedTokens - tokens that ran; 0 when the request was not sent
   */
  abstract settle(usedTokens: number): void;
}
