import type { Refusal } from '../domain/refusal.js';
import type { Outcome } from '../kernel/outcome.js';

/** Tokens debited for one request. */
export abstract class Grant {
  /** Tokens debited so far. */
  abstract readonly tokens: number;

  /** True when no other suspect may run on the same server as the request. */
  abstract readonly suspect: boolean;

  /**
   * Checks, right before sending, that the debit is recent and that the VM's lease is live.
   *
   * @returns true when the request may be sent now
   */
  abstract sendable(): boolean;

  /**
   * Debits tokens beyond the estimate.
   *
   * @param tokens - number of additional tokens
   * @returns nothing, or a refusal when the team has no tokens in time
   */
  abstract extend(tokens: number): Promise<Outcome<void, Refusal>>;

  /**
   * Replaces a debit that is too old for its request to be sent. The request keeps its place in the
   * queue: the new debit is served before all waiting requests of its team.
   *
   * @returns nothing, or a refusal when the team has no tokens in time
   */
  abstract renew(): Promise<Outcome<void, Refusal>>;

  /**
   * Refunds unused tokens. Further calls have no effect.
   *
   * @param usedTokens - tokens that the request used; 0 when it was not sent
   */
  abstract settle(usedTokens: number): void;
}
