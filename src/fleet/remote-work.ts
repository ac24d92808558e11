import type { Kernel } from '../kernel/kernel.js';
import type { QueuesElsewhere } from '../relay/decode-queue.js';
import type { FleetWork } from './digest.js';
import { PEER_EXPIRY_MS } from './peer-table.js';

/** Passes the work of other VMs to the relay. Each report of a source, a VM or a hub, replaces its last one. */
export class RemoteWork {
  /** Waiting requests and starts by source. */
  private readonly queuesBySource = new Map<string, QueuesElsewhere>();

  /** Monotonic time of the last spending report, in milliseconds, by source and incarnation. */
  private readonly lastSpendingMs = new Map<string, number>();

  private constructor(private readonly kernel: Kernel) {}

  /**
   * Creates an instance without reports of other VMs.
   *
   * @param kernel - provides `relay`
   * @returns a new instance
   */
  static create(kernel: Kernel): RemoteWork {
    return new RemoteWork(kernel);
  }

  /** Names of the sources whose load is counted. */
  get names(): string[] {
    return [...this.queuesBySource.keys()];
  }

  /** Requests that wait for decode slots at other VMs, and their starts. */
  get queues(): QueuesElsewhere {
    const sum = (count: (queues: QueuesElsewhere) => number) =>
      [...this.queuesBySource.values()].reduce((total, each) => total + count(each), 0);
    return {
      waiting: sum(({ waiting }) => waiting),
      punctual: sum(({ punctual }) => punctual),
      startsPerSecond: sum(({ startsPerSecond }) => startsPerSecond),
    };
  }

  /**
   * Applies the work that a source reports.
   *
   * @param source - name of the VM or hub
   * @param incarnation - incarnation of the process at the source
   * @param work - reported work, which replaces that of the last report
   * @param part - part of the fleet whose work it is, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   */
  apply(source: string, incarnation: string, work: FleetWork, part: number, nowMs: number): void {
    const relay = this.kernel.find('relay');
    const { loads, costs, rateLimiter, retryBudgets, health, catalog, crashes, limits } = relay;
    const byServer = work.loads.map(
      ([id, running, kvTokens, prefillTokens]) =>
        [id, { running, kvTokens, prefillTokens }] as const,
    );
    const spender = `${source}/${incarnation}`;
    const { waiting, punctual, startsPerSecond } = work;
    this.queuesBySource.set(source, { waiting, punctual, startsPerSecond });
    this.lastSpendingMs.set(spender, nowMs);
    loads.update(source, new Map(byServer));
    costs.update(source, work.costs);
    relay.capacities.update(source, work.capacities, nowMs);
    rateLimiter.recordSpent(spender, work.spent, nowMs);
    retryBudgets.recordReported(spender, work.retries, part, nowMs);
    work.avoided.forEach(([id, ms]) => health.recordAvoided(id, ms, nowMs));
    crashes.recordReported(work.crashes, nowMs);
    crashes.recordReportedSound(work.sound, nowMs);
    limits.recordReported(work.limits, nowMs);
    limits.cold.recordReported(work.cold, nowMs);
    work.leavers.forEach(([id, startedAtMs]) => catalog.recordLeaving(id, startedAtMs));
  }

  /**
   * Removes the load of all sources except the given ones. The spending of a source is kept for
   * PEER_EXPIRY_MS after its last report, so that a source that was partitioned is charged for what it
   * spent meanwhile.
   *
   * @param valid - names of the sources to keep
   * @param nowMs - monotonic time, in milliseconds
   */
  retain(valid: ReadonlySet<string>, nowMs: number): void {
    const { loads, costs, capacities, rateLimiter, retryBudgets } = this.kernel.find('relay');
    this.queuesBySource.forEach((_queues, source) => {
      if (valid.has(source)) return;
      this.queuesBySource.delete(source);
      loads.removeVm(source);
      costs.removeSource(source);
      capacities.removeSource(source);
    });
    this.lastSpendingMs.forEach((lastMs, spender) => {
      if (nowMs - lastMs <= PEER_EXPIRY_MS) return;
      this.lastSpendingMs.delete(spender);
      rateLimiter.removeVm(spender);
      retryBudgets.removeSource(spender);
    });
  }

  /** Removes all sources, because other sources report the same work from now on. */
  clear(): void {
    this.retain(new Set(), Infinity);
  }
}
