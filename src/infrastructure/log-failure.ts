import type { CallFailure } from '../kernel/call-failure.js';

/**
 * Why a call to the log failed: `unavailable` and `throttled` had no effect; the effect of
 * `unknown` can be found out only by reading.
 */
export type LogFailureReason = 'unavailable' | 'throttled' | 'unknown';

/** A failed call to the log service. */
export type LogFailure = CallFailure<LogFailureReason>;
