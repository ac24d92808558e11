import type { Refusal } from '../domain/refusal.js';
import type { Outcome } from '../kernel/outcome.js';
import type { Member } from '../membership/membership.js';
import type { QueueEntry } from './fair-queue.js';

/** Tokens that one home granted. */
export interface DebitPart {
  readonly home: Member;
  readonly debitId: string;
  readonly granted: number;
}

/** Tokens for one request, from one or more homes. */
export interface Funding {
  readonly parts: readonly DebitPart[];
  /** Monotonic time right before the first debit, in milliseconds. */
  readonly startedMs: number;
  /** Wall clock right before the first debit, in milliseconds. */
  readonly startedWallMs: number;
}

/**
 * Keeps a server slot free for an admitted request, from the debit until the request is sent and
 * routing counts it.
 */
export interface SlotHold {
  heldSinceMs: number;
  readonly release: () => void;
}

/** What a waiting request receives when it is admitted. */
export interface Admitted {
  readonly funding: Funding;
  readonly hold: SlotHold;
}

/** A request in the fair queue. */
export interface WaitingRequest extends QueueEntry {
  readonly requestId: string;
  /** Maximum number of tokens that may be refunded to the request. */
  readonly maxRefundTokens: number;
  /** Monotonic time by which the first token is due, in milliseconds. */
  readonly firstTokenDueMs: number;
  /** Number of tokens to prefill. */
  readonly promptTokens: number;
  /**
   * Model whose capacity is needed; empty for plain services and for further debits of a request.
   */
  readonly model: string;
  /** Monotonic time when the request was enqueued, in milliseconds. */
  readonly enqueuedMs: number;
  readonly deadlineMs: number;
  readonly finish: (outcome: Outcome<Admitted, Refusal>) => void;
  /** What the request waited for when it was last considered. */
  waitsFor: 'capacity' | 'tokens';
  /** True once the first-token target can no longer be met. */
  late: boolean;
  /** True once the request has been admitted or refused. */
  finished: boolean;
}

/**
 * Sums the granted tokens.
 *
 * @param parts - tokens granted by each home
 * @returns their sum
 */
export function sumGranted(parts: readonly DebitPart[]): number {
  return parts.reduce((sum, part) => sum + part.granted, 0);
}
