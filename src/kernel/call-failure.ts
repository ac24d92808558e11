/** A failed call to an external system. */
export class CallFailure<Reason extends string> extends Error {
  override readonly name = 'CallFailure';

  private constructor(
    readonly reason: Reason,
    message: string,
    cause: unknown,
  ) {
    super(message, { cause });
  }

  /**
   * Creates a failure.
   *
   * @param reason - kind of failure
   * @param message - what happened
   * @param cause - the error that made the call fail
   * @returns a new failure
   */
  static create<Reason extends string>(
    reason: Reason,
    message: string,
    cause?: unknown,
  ): CallFailure<Reason> {
    return new CallFailure(reason, message, cause);
  }
}
