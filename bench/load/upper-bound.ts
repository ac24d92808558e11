import type { Pool, Targets } from './pool.js';

/** Resources that a request needs from the pool. */
export interface Demand {
  readonly promptTokens: number;
  /** Leading prompt tokens that are shared with other requests. */
  readonly sharedTokens: number;
  readonly outputTokens: number;
}

/** Capacity of a pool for a mix of requests. */
export interface Capacity {
  readonly prefillPerSecond: number;
  readonly decodePerSecond: number;
  readonly requestsPerSecond: number;
}

/** Formulas of the capacity and the goodput bound, printed in reports. */
export const CAPACITY_FORMULA = [
  'prefill/s = prefill engines × prefill tokens/s ÷ mean prompt tokens without shared prefix',
  'decode/s = decode engines × slots ÷ mean (transfer + output tokens × time per token)',
  'bound = min(requests inside the rates that can meet the first-token target in an empty pool,',
  '            min(prefill/s, decode/s) × time)',
].join('\n');

/**
 * Computes the minimum prefill time of a request.
 *
 * @param demand - the request
 * @param pool - the pool
 * @returns milliseconds, with the shared prefix cached
 */
export function computePrefillMs(demand: Demand, pool: Pool): number {
  const computed = demand.promptTokens - demand.sharedTokens;
  return (computed * 1000) / pool.prefillTokensPerSecond;
}

/**
 * Computes the minimum transfer time of a request's KV cache.
 *
 * @param demand - the request
 * @param pool - the pool
 * @returns milliseconds on an idle link
 */
export function computeTransferMs(demand: Demand, pool: Pool): number {
  return (demand.promptTokens * pool.kvBytesPerToken * 1000) / pool.linkBytesPerSecond;
}

/**
 * Checks whether a request can meet the first-token target.
 *
 * @param demand - the request
 * @param pool - the pool, assumed to be idle
 * @param targets - the targets
 * @returns true when it can
 */
export function isFeasible(demand: Demand, pool: Pool, targets: Targets): boolean {
  const minimumMs = computePrefillMs(demand, pool) + computeTransferMs(demand, pool) + pool.tokenMs;
  return minimumMs <= targets.firstTokenMs;
}

/**
 * Computes the capacity of a pool for a mix of requests; see {@link CAPACITY_FORMULA}.
 *
 * @param demands - demands of the requests in the mix
 * @param pool - the pool
 * @returns capacity in requests per second
 */
export function computeCapacity(demands: readonly Demand[], pool: Pool): Capacity {
  const sum = (measure: (demand: Demand) => number) =>
    demands.reduce((total, demand) => total + measure(demand), 0) / Math.max(1, demands.length);
  const prefillMs = sum((demand) => computePrefillMs(demand, pool));
  const slotMs = sum(
    (demand) => computeTransferMs(demand, pool) + demand.outputTokens * pool.tokenMs,
  );
  const prefillPerSecond = (pool.prefillEngines * 1000) / prefillMs;
  const decodePerSecond = (pool.decodeEngines * pool.slots * 1000) / slotMs;
  const requestsPerSecond = Math.min(prefillPerSecond, decodePerSecond);
  return { prefillPerSecond, decodePerSecond, requestsPerSecond };
}
