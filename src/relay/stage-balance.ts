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

/** Number of requests over which the cost is averaged. */
const AVERAGE_WINDOW = 50;

/** Minimum number of requests before an engine may change its role. */
const MIN_SAMPLES = 6;

/** Running average of the cost of requests; recent ones have more weight. */
export class CostAverage {
  private samples = 0;

  private current: RequestCost = { prefillMs: 0, decodeMs: 0, kvTokens: 0 };

  /**
   * Creates an average without samples.
   *
   * @returns a new average
   */
  static create(): CostAverage {
    return new CostAverage();
  }

  /** The average, or undefined while there are too few samples. */
  get cost(): RequestCost | undefined {
    return this.samples < MIN_SAMPLES ? undefined : this.current;
  }

  /**
   * Adds a request that completed successfully.
   *
   * @param cost - cost of the request
   */
  add(cost: RequestCost): void {
    this.samples += 1;
    const weight = 1 / Math.min(this.samples, AVERAGE_WINDOW);
    const { prefillMs, decodeMs, kvTokens } = this.current;
    this.current = {
      prefillMs: prefillMs + weight * (cost.prefillMs - prefillMs),
      decodeMs: decodeMs + weight * (cost.decodeMs - decodeMs),
      kvTokens: kvTokens + weight * (cost.kvTokens - kvTokens),
    };
  }
}

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
