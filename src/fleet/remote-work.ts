import type { Kernel } from '../kernel/kernel.js';
import type { FleetWork } from './digest.js';
import { PEER_EXPIRY_MS } from './peer-table.js';

/** Gives the relay what other VMs do; each source, a VM or a hub, replaces what it said before. */
export class RemoteWork {
  /** Waiting punctual requests by source. */
  private readonly punctualBySource = new Map<string, number>();

  /** When the spending of a source and incarnation was last told. */
  private readonly lastSpendingMs = new Map<string, number>();

  private constructor(private readonly kernel: Kernel) {}

  /**
   * Prepares the sources.
   *
   * @param kernel - where it finds `relay`
   * @returns sources that have said nothing
   */
  static create(kernel: Kernel): RemoteWork {
    return new RemoteWork(kernel);
  }

  /** Names of the sources whose loads count. */
  get names(): string[] {
    return [...this.punctualBySource.keys()];
  }

  /** Requests at other VMs that wait for a place and can still be on time. */
  get punctual(): number {
    return [...this.punctualBySource.values()].reduce((sum, punctual) => sum + punctual, 0);
  }

  /**
   * Takes the work that a source tells.
   *
   * @param source - name of the VM or hub
   * @param incarnation - incarnation of its process
   * @param work - its work
   * @param nowMs - monotonic time
   */
  apply(source: string, incarnation: string, work: FleetWork, nowMs: number): void {
    const { loads, rateLimiter, health, catalog } = this.kernel.find('relay');
    const byServer = work.loads.map(
      ([id, running, kvTokens, prefillTokens]) =>
        [id, { running, kvTokens, prefillTokens }] as const,
    );
    const spender = `${source}/${incarnation}`;
    this.punctualBySource.set(source, work.punctual);
    this.lastSpendingMs.set(spender, nowMs);
    loads.update(source, new Map(byServer));
    rateLimiter.recordSpent(spender, work.spent, nowMs);
    work.avoided.forEach(([id, ms]) => health.recordAvoided(id, ms, nowMs));
    work.leavers.forEach(([id, startedAtMs]) => catalog.recordLeaving(id, startedAtMs));
  }

  /**
   * Forgets the loads of all sources but some. What a source has spent is remembered for longer, so
   * that one which was cut off is charged with what it spent meanwhile.
   *
   * @param valid - names of the sources that are kept
   * @param nowMs - monotonic time
   */
  retain(valid: ReadonlySet<string>, nowMs: number): void {
    const { loads, rateLimiter } = this.kernel.find('relay');
    this.punctualBySource.forEach((_punctual, source) => {
      if (valid.has(source)) return;
      this.punctualBySource.delete(source);
      loads.removeVm(source);
    });
    this.lastSpendingMs.forEach((lastMs, spender) => {
      if (nowMs - lastMs <= PEER_EXPIRY_MS) return;
      this.lastSpendingMs.delete(spender);
      rateLimiter.removeVm(spender);
    });
  }

  /** Forgets all sources, because the same work is told by others from now on. */
  clear(): void {
    this.retain(new Set(), Infinity);
  }
}
