import type { Address } from '../domain/vm.js';
import { scoreRendezvous } from '../kernel/rendezvous.js';

/** What an engine does in the path of a request. */
export type Stage = 'prefill' | 'decode' | 'both';

/** A server as it announces itself. */
export interface CatalogServer {
  readonly id: string;
  /** Start of the server, in milliseconds since the Unix epoch; 0 when not stated. */
  readonly startedAtMs: number;
  readonly pool: string;
  readonly address: Address;
  readonly availabilityZone: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly leaving: boolean;
  /** Undefined for plain services. */
  readonly stage: Stage | undefined;
}

/** A change of the catalog; undefined says that the entry was removed. */
export interface CatalogChange {
  readonly id: string;
  readonly server: CatalogServer | undefined;
}

/**
 * Time after the store's return within which live servers have announced themselves again, in
 * milliseconds; from the users' platform.
 */
export const REANNOUNCE_MS = 2000;

/** Leaving servers that are remembered; each digest names all of them. */
const MAX_LEAVERS = 40;

/** Servers of all pools, with those that are leaving. */
export class ServerCatalog {
  private servers = new Map<string, CatalogServer>();

  /** Servers whose entries went missing during an outage, with the time at which they are dropped. */
  private readonly missing = new Map<string, number>();

  /** Starts of servers that are known to leave; an older entry does not bring them back. */
  private readonly leaving = new Map<string, number>();

  private storeRecoveredMs = -Infinity;

  private cachedHash: number | undefined;

  /**
   * Creates an empty catalog.
   *
   * @returns a new catalog
   */
  static create(): ServerCatalog {
    return new ServerCatalog();
  }

  /**
   * Says that the store answers again after an outage: entries that lapsed meanwhile may come back.
   *
   * @param nowMs - monotonic time
   * @param leftMs - time that is left for it, in milliseconds
   */
  recordStoreRecovery(nowMs: number, leftMs = REANNOUNCE_MS): void {
    this.storeRecoveredMs = Math.max(this.storeRecoveredMs, nowMs + leftMs - REANNOUNCE_MS);
  }

  /**
   * Tells for how long entries that lapsed in an outage may still come back.
   *
   * @param nowMs - monotonic time
   * @returns milliseconds; 0 when no outage has ended lately
   */
  settlingMs(nowMs: number): number {
    return Math.max(0, this.storeRecoveredMs + REANNOUNCE_MS - nowMs);
  }

  /** Hash of the present entries; the same on all VMs that know the same ones. */
  get hash(): number {
    this.cachedHash ??= scoreRendezvous(
      'catalog',
      this.present.map(describeServer).sort().join('\n'),
    );
    return this.cachedHash;
  }

  /**
   * Applies a change.
   *
   * @param change - entry that was written or removed
   * @param nowMs - monotonic time
   */
  apply({ id, server }: CatalogChange, nowMs: number): void {
    if (server) {
      this.put(server);
      return;
    }
    if (!this.servers.has(id)) return;
    const leftMs = this.settlingMs(nowMs);
    if (leftMs === 0) {
      this.remove(id);
      return;
    }
    if (!this.missing.has(id)) this.missing.set(id, nowMs + leftMs);
    this.cachedHash = undefined;
  }

  /**
   * Replaces all entries, after changes have been missed.
   *
   * @param servers - the present entries
   * @param nowMs - monotonic time
   */
  replace(servers: readonly CatalogServer[], nowMs: number): void {
    const ids = new Set(servers.map(({ id }) => id));
    [...this.servers.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.apply({ id, server: undefined }, nowMs));
    servers.forEach((server) => this.put(server));
  }

  /**
   * Records that a server is leaving, whoever saw it.
   *
   * @param id - the server
   * @param startedAtMs - its start
   */
  recordLeaving(id: string, startedAtMs: number): void {
    const newest = Math.max(startedAtMs, this.leaving.get(id) ?? 0);
    this.leaving.delete(id);
    this.leaving.set(id, newest);
    const [oldest] = this.leaving.keys();
    if (this.leaving.size > MAX_LEAVERS && oldest !== undefined) this.leaving.delete(oldest);
  }

  /** Servers that are known to leave, with their starts. */
  get leavers(): ReadonlyMap<string, number> {
    return this.leaving;
  }

  /**
   * Lists the servers of a pool that may get new work.
   *
   * @param pool - name of the pool
   * @param nowMs - monotonic time
   * @returns servers in no particular order
   */
  usable(pool: string, nowMs: number): CatalogServer[] {
    this.removeExpired(nowMs);
    return [...this.servers.values()].filter(
      (server) => server.pool === pool && !this.isLeaving(server),
    );
  }

  /**
   * Finds a server.
   *
   * @param id - the server
   * @returns its newest entry, or undefined
   */
  find(id: string): CatalogServer | undefined {
    return this.servers.get(id);
  }

  /** Entries that the store has, those of leaving servers included. */
  get present(): CatalogServer[] {
    return this.all.filter(({ id }) => !this.missing.has(id));
  }

  /** All entries, with those that went missing in an outage and may come back. */
  get all(): CatalogServer[] {
    return [...this.servers.values()];
  }

  private put(server: CatalogServer): void {
    this.servers.set(server.id, server);
    this.cachedHash = undefined;
    this.missing.delete(server.id);
    if (server.leaving) this.recordLeaving(server.id, server.startedAtMs);
  }

  private isLeaving({ id, startedAtMs, leaving }: CatalogServer): boolean {
    const left = this.leaving.get(id);
    return leaving || (left !== undefined && startedAtMs <= left);
  }

  private removeExpired(nowMs: number): void {
    this.missing.forEach((dueMs, id) => {
      if (nowMs < dueMs) return;
      this.missing.delete(id);
      this.remove(id);
    });
  }

  private remove(id: string): void {
    this.servers.delete(id);
    this.cachedHash = undefined;
  }
}

function describeServer(server: CatalogServer): string {
  const { id, startedAtMs, pool, address, availabilityZone, slots, leaving, stage } = server;
  const { host, port } = address;
  return [id, startedAtMs, pool, host, port, availabilityZone, slots, leaving, stage].join(' ');
}
