import type { Kernel } from '../kernel/kernel.js';
import type { FleetWork } from './digest.js';
import { FORGOTTEN_MS } from './fleet-book.js';

/** Gives the relay what other VMs do; each source, a VM or a hub, replaces what it said before. */
export class WorkSources {
  /** Waiting punctual requests by source. */
  private readonly sources = new Map<string, number>();

  /** When the spending of a source and incarnation was last told. */
  private readonly spenders = new Map<string, number>();

  private constructor(private readonly kernel: Kernel) {}

  /**
   * Prepares the sources.
   *
   * @param kernel - where it finds `relay`
   * @returns sources that have said nothing
   */
  static create(kernel: Kernel): WorkSources {
    return new WorkSources(kernel);
  }

  /** Names of the sources whose loads count. */
  get names(): string[] {
    return [...this.sources.keys()];
  }

  /** Requests at other VMs that wait for a place and can still be on time. */
  get punctual(): number {
    return [...this.sources.values()].reduce((sum, punctual) => sum + punctual, 0);
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
    this.sources.set(source, work.punctual);
    this.spenders.set(spender, nowMs);
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
    this.sources.forEach((_punctual, source) => {
      if (valid.has(source)) return;
      this.sources.delete(source);
      loads.removeVm(source);
    });
    this.spenders.forEach((heardMs, spender) => {
      if (nowMs - heardMs <= FORGOTTEN_MS) return;
      this.spenders.delete(spender);
      rateLimiter.removeVm(spender);
    });
  }

  /** Forgets all sources, because the same work is told by others from now on. */
  clear(): void {
    this.retain(new Set(), Infinity);
  }
}
