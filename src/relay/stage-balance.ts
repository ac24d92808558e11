/** Resource usage of a request. */
export interface RequestCost {
  /** Time for which a prefill engine is busy with the prompt, in milliseconds. */
  readonly prefillMs: number;
  /** Time for which the request holds a decode slot, in milliseconds. */
  readonly decodeMs: number;
  /** KV cache tokens reserved for decoding. */
  readonly kvTokens: number;
}

/** Capacity of one decode engine. */
export interface DecodeCapacity {
  readonly slots: number;
  readonly kvTokens: number;
}

/** Minimum difference from the current split that justifies a change, in engines. */
const HYSTERESIS_ENGINES = 0.6;

/**
 * Computes the number of prefill engines at which prefill and decode reach full load together. The current
 * number is kept while it is close, because an engine serves no requests while it changes its role.
 *
 * @param engines - number of engines of the pool
 * @param prefillEngines - current number of prefill engines
 * @param cost - average cost of a request
 * @param capacity - capacity of one decode engine
 * @returns the wanted number of prefill engines
 */
export function computePrefillEngines(
  engines: number,
  prefillEngines: number,
  cost: RequestCost,
  capacity: DecodeCapacity,
): number {
  if (engines < 2) return prefillEngines;
  const slots = Math.max(
    1,
    Math.min(capacity.slots, capacity.kvTokens / Math.max(1, cost.kvTokens)),
  );
  const decodeMs = cost.decodeMs / slots;
  const exact = (engines * cost.prefillMs) / Math.max(1, cost.prefillMs + decodeMs);
  const bounded = Math.min(engines - 1, Math.max(1, exact));
  const near = Math.abs(bounded - prefillEngines) < HYSTERESIS_ENGINES;
  return near && prefillEngines > 0 ? prefillEngines : Math.round(bounded);
}
