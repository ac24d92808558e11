import { RetryBudget, type RetryLimits, type RetryTotals } from './retry-budget.js';

/** Retry budgets of all pools. */
export class RetryBudgets {
  private readonly byPool = new Map<string, RetryBudget>();

  private constructor(
    private readonly limits: RetryLimits,
    private readonly startedMs: number,
  ) {}

  /**
   * Creates an instance without history.
   *
   * @param limits - limits for each pool over the whole fleet
   * @param startedMs - monotonic start time of this process, in milliseconds
   * @returns a new instance
   */
  static create(limits: RetryLimits, startedMs: number): RetryBudgets {
    return new RetryBudgets(limits, startedMs);
  }

  /** Requests and retries of this VM since its start, by pool. */
  get totals(): Record<string, [number, number]> {
    return Object.fromEntries(
      [...this.byPool].map(([pool, { totals }]) => [pool, [totals[0], totals[1]]]),
    );
  }

  /**
   * Returns the budget of a pool.
   *
   * @param pool - name of the pool
   * @returns the budget
   */
  forPool(pool: string): RetryBudget {
    const known = this.byPool.get(pool);
    if (known) return known;
    const budget = RetryBudget.create(this.limits, this.startedMs);
    this.byPool.set(pool, budget);
    return budget;
  }

  /**
   * Counts what another VM, or all VMs that a hub sums, have spent since their previous report.
   *
   * @param source - the VM or hub and its incarnation
   * @param totals - requests and retries by pool since the start of the source
   * @param part - part of the fleet that the source reports, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   */
  recordReported(
    source: string,
    totals: Readonly<Record<string, RetryTotals>>,
    part: number,
    nowMs: number,
  ): void {
    Object.entries(totals).forEach(([pool, each]) =>
      this.forPool(pool).recordReported(source, each, part, nowMs),
    );
  }

  /**
   * Removes a source that has left the fleet.
   *
   * @param source - the VM or hub and its incarnation
   */
  removeSource(source: string): void {
    this.byPool.forEach((budget) => budget.removeSource(source));
  }
}
