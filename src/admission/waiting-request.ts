import type { Refusal } from '../domain/refusal.js';
import type { Outcome } from '../kernel/outcome.js';
import type { Member } from '../membership/membership.js';
import type { QueueEntry } from './fair-queue.js';

/** Tokens that one home gave. */
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

/** Holds a place at the servers from the debit until routing counts the request itself. */
export interface SlotHold {
  heldSinceMs: number;
  readonly release: () => void;
}

/** What a waiting request gets when its wait has ended well. */
export interface Admitted {
  readonly funding: Funding;
  readonly hold: SlotHold;
}

/** A request in the fair queue. */
export interface WaitingRequest extends QueueEntry {
  readonly requestId: string;
  /** Tokens of the cost that may come back when the request has ended. */
  readonly refundable: number;
  /** Monotonic time of the first-token target, in milliseconds. */
  readonly firstTokenDueMs: number;
  /** Tokens to prefill. */
  readonly promptTokens: number;
  /** Model whose capacity is needed; empty when none is. */
  readonly model: string;
  /** Monotonic time when the wait began, in milliseconds. */
  readonly enqueuedMs: number;
  readonly deadlineMs: number;
  readonly finish: (outcome: Outcome<Admitted, Refusal>) => void;
  /** What the request waited for when its turn was last considered. */
  waitsFor: 'capacity' | 'tokens';
  /** True once the first-token target can no longer be met. */
  late: boolean;
  /** True once `finish` was called. */
  finished: boolean;
}

/**
 * Adds up tokens.
 *
 * @param parts - what homes gave
 * @returns their sum
 */
export function sumGranted(parts: readonly DebitPart[]): number {
  return parts.reduce((sum, part) => sum + part.granted, 0);
}
