import type { ServerCapacities } from '../capacity/server-capacities.js';
import type { Clock } from '../kernel/clock.js';
import type { Decisions } from '../observability/decisions.js';
import type { Metrics } from '../observability/metrics.js';
import type { QueuesElsewhere } from './decode-queue.js';
import type { CrashLedger } from './crash-ledger.js';
import type { TrialPermit } from './crash-trials.js';
import type { PoolCosts } from './pool-costs.js';
import type { PriorityShedding } from './priority-shedding.js';
import type { FleetContact, RetryBudget } from './retry-budget.js';
import type { CatalogServer, ServerCatalog } from './server-catalog.js';
import type { ServerHealth } from './server-health.js';
import type { ServerLimits } from './server-limits.js';
import type { ServerLoads } from './server-loads.js';
import type { Upstream } from './upstream.js';

/** Services and state that all runs of a VM share. */
export interface RunContext {
  readonly clock: Clock;
  readonly upstream: Upstream;
  readonly catalog: ServerCatalog;
  readonly loads: ServerLoads;
  readonly health: ServerHealth;
  /** What each server takes well. */
  readonly capacities: ServerCapacities;
  /** Rates of requests to servers from all VMs together. */
  readonly limits: ServerLimits;
  /** Crashes of servers and the requests that may have caused them. */
  readonly crashes: CrashLedger;
  /** Asks the fleet for a trial of a request that may crash servers. */
  readonly acquireTrial: (group: string) => Promise<TrialPermit | undefined>;
  readonly decisions: Decisions;
  readonly metrics: Metrics;
  readonly availabilityZone: string;
  /** Number of VMs in the fleet, this one included. */
  readonly fleetSize: () => number;
  /** Contact of this VM with the others, for limits that they share. */
  readonly fleetContact: () => FleetContact;
  /** Borrows a request to one of some servers from another VM if this VM may send none to any of them. */
  readonly borrow: (servers: readonly CatalogServer[]) => Promise<boolean>;
  /** Requests that wait for decode slots at other VMs, and their starts. */
  readonly queuesElsewhere: () => QueuesElsewhere;
  /** Average cost of requests by pool. */
  readonly costs: PoolCosts;
  /**
   * Returns the retry budget of a pool.
   *
   * @param pool - name of the pool
   * @returns the budget
   */
  readonly retryBudget: (pool: string) => RetryBudget;
  /**
   * Returns how the refusals of a pool are divided among priorities.
   *
   * @param pool - name of the pool
   * @returns the shedding of the pool
   */
  readonly shedding: (pool: string) => PriorityShedding;
}
