/** State of a request. */
export type AttemptState =
  | 'new'
  | 'admitting'
  | 'reserving'
  | 'prefilling'
  | 'extending'
  | 'transferring'
  | 'decoding'
  | 'pausing'
  | 'ended';

/** Limits of a request. */
export interface AttemptLimits {
  /** Prompt tokens that admission debits. */
  readonly promptTokens: number;
  /** Monotonic time after which a request for which no server can be chosen is refused, in milliseconds. */
  readonly capacityDeadlineMs: number;
  /** Monotonic time after which a failed phase is not retried, in milliseconds. */
  readonly retryDeadlineMs: number;
}
