/** A failed call to a plain server. */
export class PlainFailure extends Error {
  override readonly name = 'PlainFailure';

  private constructor(
    readonly reason: 'refused' | 'broken' | 'timeout' | 'cancelled',
    /** False only when no byte of the request can have reached the server. */
    readonly sent: boolean,
    message: string,
  ) {
    super(message);
  }

  /**
   * Creates a failure.
   *
   * @param reason - kind of failure
   * @param sent - whether any byte of the request may have reached the server
   * @param message - description of the failure
   * @returns a new failure
   */
  static create(reason: PlainFailure['reason'], sent: boolean, message: string): PlainFailure {
    return new PlainFailure(reason, sent, message);
  }
}
