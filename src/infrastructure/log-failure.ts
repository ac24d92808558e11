import type { CallFailure } from '../kernel/call-failure.js';

/**
 * Why a call to the log service failed. A call that failed with `unavailable` or `throttled` had no effect;
 * whether one that failed with `unknown` took effect can only be found out by reading.
 */
export type LogFailureReason = 'unavailable' | 'throttled' | 'unknown';

/** A failed call to the log service. */
export type LogFailure = CallFailure<LogFailureReason>;
