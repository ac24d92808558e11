import type { CallFailure } from '../kernel/call-failure.js';

/**
 * Why a call to an engine failed: `busy`, no free slot or memory; `gone`, the reservation or the KV
 * cache no longer exists; `refused`, the connection could not be opened, so the call had no effect;
 * `broken`, the connection was lost or a response was malformed or too large; `silent`, the
 * progress deadline expired; `rejected`, another error status; `cancelled`, the caller's signal
 * aborted.
 */
export type EngineFailureReason =
  'busy' | 'gone' | 'refused' | 'broken' | 'silent' | 'rejected' | 'cancelled';

/** A failed call to an engine. */
export type EngineFailure = CallFailure<EngineFailureReason>;
