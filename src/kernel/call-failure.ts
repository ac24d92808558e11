/** A failed call to an external system. */
export class CallFailure<Reason extends string> extends Error {
  override readonly name = 'CallFailure';

  private constructor(
    readonly reason: Reason,
    message: string,
  ) {
    super(message);
  }

  /**
   * Creates a failure.
   *
   * @param reason - kind of failure
   * @param message - what happened
   * @returns a new failure
   */
  static create<Reason extends string>(reason: Reason, message: string): CallFailure<Reason> {
    return new CallFailure(reason, message);
  }
}
