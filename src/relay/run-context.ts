import type { Clock } from '../kernel/clock.js';
import type { Decisions } from '../observability/decisions.js';
import type { Metrics } from '../observability/metrics.js';
import type { RetryBudget } from './retry-budget.js';
import type { ServerCatalog } from './server-catalog.js';
import type { ServerHealth } from './server-health.js';
import type { ServerLoads } from './server-loads.js';
import type { CostAverage } from './stage-balance.js';
import type { Upstream } from './upstream.js';

/** What all runs of a VM share. */
export interface RunContext {
  readonly clock: Clock;
  readonly upstream: Upstream;
  readonly catalog: ServerCatalog;
  readonly loads: ServerLoads;
  readonly health: ServerHealth;
  readonly decisions: Decisions;
  readonly metrics: Metrics;
  readonly availabilityZone: string;
  /** VMs of the fleet, this one included. */
  readonly fleetSize: () => number;
  /** Whether requests wait at other VMs that can still be on time. */
  readonly punctualElsewhere: () => boolean;
  /**
   * Finds what requests of a pool cost on average.
   *
   * @param pool - name of the pool
   * @returns the average
   */
  readonly costAverage: (pool: string) => CostAverage;
  /**
   * Finds the allowance for repeated sends of a pool.
   *
   * @param pool - name of the pool
   * @returns its allowance
   */
  readonly retryBudget: (pool: string) => RetryBudget;
}
