import type { Address } from '../domain/vm.js';
import { scoreRendezvous } from '../kernel/rendezvous.js';
import { Evacuations } from './evacuations.js';

/** Role of an engine in serving a request. */
export type Stage = 'prefill' | 'decode' | 'both';

/** A server as it announces itself. */
export interface CatalogServer {
  readonly id: string;
  /** Start time of the server, in milliseconds since the Unix epoch; 0 when unknown. */
  readonly startedAtMs: number;
  readonly pool: string;
  readonly address: Address;
  readonly availabilityZone: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly leaving: boolean;
  /** Undefined for plain services. */
  readonly stage: Stage | undefined;
  /** Time for which the server said that it stays cold, in milliseconds; undefined when it did not say. */
  readonly coldForMs?: number | undefined;
}

/** A change of the catalog; `server` is undefined when the entry was removed. */
export interface CatalogChange {
  readonly id: string;
  readonly server: CatalogServer | undefined;
}

/**
 * Time within which live servers announce themselves again after the store has recovered, in
 * milliseconds; specified by the users' platform.
 */
export const REANNOUNCE_MS = 2000;

/**
 * Time after a rollback of the store in which the entry of a server that had been removed is not believed
 * until it is written again, in milliseconds: it is from the older copy, and the server may have left. Longer
 * than three heartbeats, after which the store removes it again.
 */
const DISTRUST_MS = 5000;

/** Maximum number of removed servers that are remembered. */
const MAX_REMOVED = 200;

/** Maximum number of leaving servers in a digest, and of remembered ones that have no entry. */
const MAX_LEAVERS = 40;

/** Servers of all pools, including those that are leaving. */
export class ServerCatalog {
  readonly evacuations = Evacuations.create();

  private servers = new Map<string, CatalogServer>();

  /** Servers whose entries expired during a store outage, with the time at which they are removed. */
  private readonly missing = new Map<string, number>();

  /** Start times of servers that are known to leave; an entry that is not newer does not reactivate them. */
  private readonly leaving = new Map<string, number>();

  /** Start times of the servers that were last removed, by id. */
  private readonly removed = new Map<string, number>();

  private storeRecoveredMs = -Infinity;

  private rolledBackMs = -Infinity;

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
   * Records that the store is available again after an outage, so that entries that expired in the
   * meantime may reappear.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @param remainingMs - remaining time for them to reappear, in milliseconds
   */
  recordStoreRecovery(nowMs: number, remainingMs = REANNOUNCE_MS): void {
    this.storeRecoveredMs = Math.max(this.storeRecoveredMs, nowMs + remainingMs - REANNOUNCE_MS);
  }

  /**
   * Records that the store has come back from an older copy: for a while, entries of servers that had been
   * removed are only accepted as changes.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordRollback(nowMs: number): void {
    this.rolledBackMs = nowMs;
  }

  /**
   * Returns for how long entries that expired in a store outage may still reappear.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; 0 when no outage has ended recently
   */
  settlingMs(nowMs: number): number {
    return Math.max(0, this.storeRecoveredMs + REANNOUNCE_MS - nowMs);
  }

  /** Hash of the entries present in the store; equal on all VMs that know the same entries. */
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
   * @param change - the entry that was written or removed
   * @param nowMs - monotonic time, in milliseconds
   */
  apply({ id, server }: CatalogChange, nowMs: number): void {
    if (server) {
      this.removed.delete(id);
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
   * Replaces all entries after changes have been missed.
   *
   * @param servers - the entries present in the store
   * @param nowMs - monotonic time, in milliseconds
   */
  replace(servers: readonly CatalogServer[], nowMs: number): void {
    const credible = servers.filter((server) => !this.isObsolete(server, nowMs));
    const ids = new Set(credible.map(({ id }) => id));
    [...this.servers.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.apply({ id, server: undefined }, nowMs));
    credible.forEach((server) => this.put(server));
  }

  /**
   * Records that a server is leaving, as observed by this VM or reported by another one.
   *
   * @param id - id of the server
   * @param startedAtMs - start time of the server, in milliseconds since the Unix epoch
   * @returns whether it was not known to leave
   */
  recordLeaving(id: string, startedAtMs: number): boolean {
    const knownMs = this.leaving.get(id);
    this.leaving.delete(id);
    this.leaving.set(id, Math.max(startedAtMs, knownMs ?? 0));
    // A server that has an entry stays known: it would get requests again.
    const gone = [...this.leaving.keys()].filter((other) => !this.servers.has(other));
    gone.slice(0, -MAX_LEAVERS).forEach((other) => this.leaving.delete(other));
    return knownMs === undefined || knownMs < startedAtMs;
  }

  /** Start times of the servers that were last known to leave, by id. */
  get leavers(): ReadonlyMap<string, number> {
    return new Map([...this.leaving].slice(-MAX_LEAVERS));
  }

  /**
   * Lists the servers of a pool that may receive new requests.
   *
   * @param pool - name of the pool
   * @param nowMs - monotonic time, in milliseconds
   * @returns servers in no particular order
   */
  usable(pool: string, nowMs: number): CatalogServer[] {
    return this.listPool(pool, nowMs).filter((server) => !this.isEvacuated(server));
  }

  /**
   * Returns whether a server is in an evacuated zone.
   *
   * @param server - the server
   * @returns true while it may get nothing new
   */
  isEvacuated({ availabilityZone }: CatalogServer): boolean {
    return this.evacuations.has(availabilityZone);
  }

  /**
   * Returns whether a pool has servers that could run requests, and all of them are in evacuated zones.
   *
   * @param pool - name of the pool
   * @param nowMs - monotonic time, in milliseconds
   * @param canRun - selects the servers that can run the request
   * @returns false also when the pool has no such servers
   */
  allEvacuated(pool: string, nowMs: number, canRun: (server: CatalogServer) => boolean): boolean {
    if (this.evacuations.zones.length === 0) return false;
    const servers = this.listPool(pool, nowMs).filter(canRun);
    return servers.length > 0 && servers.every((server) => this.isEvacuated(server));
  }

  private listPool(pool: string, nowMs: number): CatalogServer[] {
    this.removeExpired(nowMs);
    return [...this.servers.values()].filter(
      (server) => server.pool === pool && !this.isLeaving(server),
    );
  }

  /**
   * Finds a server.
   *
   * @param id - id of the server
   * @returns its latest entry, or undefined
   */
  find(id: string): CatalogServer | undefined {
    return this.servers.get(id);
  }

  /**
   * Returns whether a server that was usable before is leaving, or has no entry any more.
   *
   * @param server - the server as it was then
   * @returns true when it may get no new requests
   */
  hasLeft(server: CatalogServer): boolean {
    return this.isLeaving(this.servers.get(server.id) ?? { ...server, leaving: true });
  }

  /** Entries present in the store, including those of leaving servers. */
  get present(): CatalogServer[] {
    return this.all.filter(({ id }) => !this.missing.has(id));
  }

  /** All entries, including those that expired in a store outage and may reappear. */
  get all(): CatalogServer[] {
    return [...this.servers.values()];
  }

  private put(server: CatalogServer): void {
    this.servers.set(server.id, server);
    this.cachedHash = undefined;
    this.missing.delete(server.id);
    if (server.leaving) this.recordLeaving(server.id, server.startedAtMs);
  }

  /** Whether an entry is from an older copy of the store and its server had been removed. */
  private isObsolete({ id, startedAtMs }: CatalogServer, nowMs: number): boolean {
    const removedStartMs = this.removed.get(id);
    if (removedStartMs === undefined || startedAtMs > removedStartMs) return false;
    return nowMs < this.rolledBackMs + DISTRUST_MS;
  }

  private isLeaving({ id, startedAtMs, leaving }: CatalogServer): boolean {
    const leftAtMs = this.leaving.get(id);
    return leaving || (leftAtMs !== undefined && startedAtMs <= leftAtMs);
  }

  private removeExpired(nowMs: number): void {
    this.missing.forEach((dueMs, id) => {
      if (nowMs < dueMs) return;
      this.missing.delete(id);
      this.remove(id);
    });
  }

  private remove(id: string): void {
    const startedAtMs = this.servers.get(id)?.startedAtMs ?? 0;
    this.servers.delete(id);
    this.removed.delete(id);
    this.removed.set(id, startedAtMs);
    const [oldest] = this.removed.keys();
    if (this.removed.size > MAX_REMOVED) this.removed.delete(oldest!);
    this.cachedHash = undefined;
  }
}

function describeServer(server: CatalogServer): string {
  const { id, startedAtMs, pool, address, availabilityZone, slots, leaving, stage } = server;
  const { host, port } = address;
  return [id, startedAtMs, pool, host, port, availabilityZone, slots, leaving, stage].join(' ');
}
