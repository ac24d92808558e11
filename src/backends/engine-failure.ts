import type { CallFailure } from '../kernel/call-failure.js';

/**
 * Why a call to an engine failed: `busy`, no slot or memory; `gone`, the reservation or the KV
 * cache is not there; `refused`, the connection could not be made, so the call had no effect;
 * `broken`, the connection was lost or an answer was malformed; `silent`, a progress deadline
 * passed; `rejected`, another error status; `cancelled`, the caller's signal.
 */
export type EngineFailureReason =
  'busy' | 'gone' | 'refused' | 'broken' | 'silent' | 'rejected' | 'cancelled';

/** A failed call to an engine. */
export type EngineFailure = CallFailure<EngineFailureReason>;
