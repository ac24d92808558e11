import type { RequestCost } from './stage-balance.js';

/** Number of requests, and sums of their prefill time, decode time and KV cache tokens. */
export type CostSums = readonly [
  requests: number,
  prefillMs: number,
  decodeMs: number,
  kvTokens: number,
];

/** Half-life of a request's weight, in milliseconds: about the length of a burst. */
const HALF_LIFE_MS = 8000;

/** Weighted number of requests below which no average is known. */
const MIN_REQUESTS = 6;

/**
 * Time after the first requests ended before which no average is known, in milliseconds: of the requests
 * that started together, the short ones end first.
 */
const MIN_HISTORY_MS = 5000;

const NO_REQUESTS: CostSums = [0, 0, 0, 0];

interface OwnSums {
  sums: CostSums;
  updatedMs: number;
}

/**
 * Averages the cost of requests by pool over all VMs; recent requests have more weight. In a large fleet
 * one VM alone, the commander included, runs too few requests to know it.
 */
export class PoolCosts {
  private readonly own = new Map<string, OwnSums>();

  private readonly others = new Map<string, Readonly<Record<string, CostSums>>>();

  /** Monotonic time since which enough requests of a pool have been known, in milliseconds. */
  private readonly knownSinceMs = new Map<string, number>();

  /**
   * Creates an instance without requests.
   *
   * @returns a new instance
   */
  static create(): PoolCosts {
    return new PoolCosts();
  }

  /**
   * Adds a request of this VM that completed successfully.
   *
   * @param pool - name of its pool
   * @param cost - cost of the request
   * @param nowMs - monotonic time, in milliseconds
   */
  add(pool: string, { prefillMs, decodeMs, kvTokens }: RequestCost, nowMs: number): void {
    const sums = addSums(this.ownSums(pool, nowMs), [1, prefillMs, decodeMs, kvTokens]);
    this.own.set(pool, { sums, updatedMs: nowMs });
  }

  /**
   * Returns the sums of this VM, for its digest.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns sums by pool
   */
  reported(nowMs: number): Record<string, [number, number, number, number]> {
    const pools = [...this.own.keys()].map((pool) => {
      const [requests, prefillMs, decodeMs, kvTokens] = this.ownSums(pool, nowMs);
      const rounded = [prefillMs, decodeMs, kvTokens].map(Math.round) as [number, number, number];
      return [pool, [Math.round(100 * requests) / 100, ...rounded]] as const;
    });
    return Object.fromEntries(pools) as Record<string, [number, number, number, number]>;
  }

  /**
   * Replaces the sums of another VM, or of all VMs that a hub sums.
   *
   * @param source - the VM or hub
   * @param sums - sums by pool
   */
  update(source: string, sums: Readonly<Record<string, CostSums>>): void {
    this.others.set(source, sums);
  }

  /**
   * Removes a VM or hub that reports no more.
   *
   * @param source - the VM or hub
   */
  removeSource(source: string): void {
    this.others.delete(source);
  }

  /**
   * Computes the average cost of a pool's requests.
   *
   * @param pool - name of the pool
   * @param nowMs - monotonic time, in milliseconds
   * @returns the average, or undefined while it would rest on too few requests or on too short a time
   */
  average(pool: string, nowMs: number): RequestCost | undefined {
    const sums = [...this.others.values()].map((byPool) => byPool[pool] ?? NO_REQUESTS);
    const [requests, prefillMs, decodeMs, kvTokens] = sums.reduce(
      addSums,
      this.ownSums(pool, nowMs),
    );
    if (requests < MIN_REQUESTS) {
      this.knownSinceMs.delete(pool);
      return undefined;
    }
    const sinceMs = this.knownSinceMs.get(pool) ?? nowMs;
    this.knownSinceMs.set(pool, sinceMs);
    if (nowMs - sinceMs < MIN_HISTORY_MS) return undefined;
    return {
      prefillMs: prefillMs / requests,
      decodeMs: decodeMs / requests,
      kvTokens: kvTokens / requests,
    };
  }

  private ownSums(pool: string, nowMs: number): CostSums {
    const own = this.own.get(pool);
    if (!own) return NO_REQUESTS;
    const weight = 0.5 ** ((nowMs - own.updatedMs) / HALF_LIFE_MS);
    const [requests, prefillMs, decodeMs, kvTokens] = own.sums;
    return [weight * requests, weight * prefillMs, weight * decodeMs, weight * kvTokens];
  }
}

/**
 * Adds two sums.
 *
 * @param left - one of them
 * @param right - the other
 * @returns the sums of both
 */
export function addSums(left: CostSums, right: CostSums): CostSums {
  return [left[0] + right[0], left[1] + right[1], left[2] + right[2], left[3] + right[3]];
}
