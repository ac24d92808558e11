/**
 * Why a call to the log failed: `unavailable` and `throttled` had no effect; the effect of
 * `unknown` can be found out only by reading.
 */
export type LogFailureReason = 'unavailable' | 'throttled' | 'unknown';

/** A failed call to the log service. */
export class LogFailure extends Error {
  override readonly name = 'LogFailure';

  private constructor(
    readonly reason: LogFailureReason,
    message: string,
  ) {
    super(message);
  }

  /**
   * Creates a failure.
   *
   * @param reason - whether the call may have had an effect
   * @param message - what happened
   * @returns a new failure
   */
  static create(reason: LogFailureReason, message: string): LogFailure {
    return new LogFailure(reason, message);
  }
}
