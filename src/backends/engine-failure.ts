/**
 * Why a call to an engine failed: `busy`, no slot or memory; `gone`, the reservation or the KV
 * cache is not there; `refused`, the connection could not be made, so the call had no effect;
 * `broken`, the connection was lost or an answer was malformed; `silent`, a progress deadline
 * passed; `rejected`, another error status; `cancelled`, the caller's signal.
 */
export type EngineFailureReason =
  'busy' | 'gone' | 'refused' | 'broken' | 'silent' | 'rejected' | 'cancelled';

/** A failed call to an engine. */
export class EngineFailure extends Error {
  override readonly name = 'EngineFailure';

  private constructor(
    readonly reason: EngineFailureReason,
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
  static create(reason: EngineFailureReason, message: string): EngineFailure {
    return new EngineFailure(reason, message);
  }
}
