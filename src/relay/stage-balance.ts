/** What one request costs on average. */
export interface RequestCost {
  /** Time that a prefill engine is busy with its prompt, in milliseconds. */
  readonly prefillMs: number;
  /** Time for which it holds a decode place, in milliseconds. */
  readonly decodeMs: number;
  /** KV cache tokens that its decode place reserves. */
  readonly kvTokens: number;
}

/** Room of one decode engine. */
export interface DecodeCapacity {
  readonly slots: number;
  readonly kvTokens: number;
}

/** Distance from the present split below which nothing is changed, in engines. */
const HYSTERESIS_ENGINES = 0.6;

/** Requests that an average is taken over. */
const AVERAGE_WINDOW = 50;

/** Requests that are needed before an engine changes its role. */
const MIN_SAMPLES = 6;

/** Averages the cost of requests; the newest count most. */
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
   * Adds a request that ended well.
   *
   * @param cost - what it cost
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
 * Finds the number of prefill engines at which prefill and decode become full at the same load. The
 * present number is kept while it is near, because an engine serves nothing while it changes.
 *
 * @param engines - all engines of the pool
 * @param prefillEngines - how many read prompts now
 * @param cost - what a request costs
 * @param room - room of one decode engine
 * @returns the wanted number of prefill engines
 */
export function computePrefillEngines(
  engines: number,
  prefillEngines: number,
  cost: RequestCost,
  room: DecodeCapacity,
): number {
  if (engines < 2) return prefillEngines;
  const places = Math.max(1, Math.min(room.slots, room.kvTokens / Math.max(1, cost.kvTokens)));
  const decodeMs = cost.decodeMs / places;
  const exact = (engines * cost.prefillMs) / Math.max(1, cost.prefillMs + decodeMs);
  const bounded = Math.min(engines - 1, Math.max(1, exact));
  const near = Math.abs(bounded - prefillEngines) < HYSTERESIS_ENGINES;
  return near && prefillEngines > 0 ? prefillEngines : Math.round(bounded);
}
