import type { CatalogServer } from './server-catalog.js';

/** For how long a server is cold after its start, and what it takes until then. */
export interface ColdRate {
  /** Time after the start, in milliseconds. */
  readonly coldMs: number;
  /** Requests per second that it takes from all VMs together. */
  readonly perSecond: number;
}

/** Id of a server and the time for which it stays cold, in milliseconds. */
export type ColdReport = [id: string, leftMs: number];

/** Maximum number of servers in a digest: those of two zones of seven at the design size. */
const MAX_REPORTS = 300;

/** Longest accepted time for which a server says that it is cold, in milliseconds. */
const MAX_COLD_MS = 600_000;

/** Time for which a server that could not be reached may have been back before this VM saw it, in milliseconds. */
const RETURN_NOTICE_MS = 1000;

/**
 * Knows which servers are cold: those whose entry says so, those that have just started or come back, and
 * those that could not be reached lately, since they may have started again.
 */
export class ColdServers {
  /** Start times of the servers with an entry. */
  private starts: Map<string, number> | undefined;

  /** Monotonic times until which servers are cold, by this VM's own knowledge, in milliseconds. */
  private readonly ownUntilMs = new Map<string, number>();

  /** The same as reported by other VMs. */
  private readonly reportedUntilMs = new Map<string, number>();

  private readStore = false;

  private constructor(
    private readonly rateOf: (pool: string) => ColdRate | undefined,
    private readonly unreachableMs: (id: string) => number,
  ) {}

  /**
   * Creates an instance that knows no cold server.
   *
   * @param rateOf - returns the rate of the cold servers of a pool, or undefined when they are never cold
   * @param unreachableMs - returns when a server could last not be reached, as monotonic time
   * @returns a new instance
   */
  static create(
    rateOf: (pool: string) => ColdRate | undefined,
    unreachableMs: (id: string) => number,
  ): ColdServers {
    return new ColdServers(rateOf, unreachableMs);
  }

  /**
   * Returns the rate of the cold servers of a pool.
   *
   * @param pool - name of the pool
   * @returns the rate, or undefined when its servers are never cold
   */
  rate(pool: string): ColdRate | undefined {
    return this.rateOf(pool);
  }

  /** Whether this VM has read all entries from the store itself, and with them which servers are cold. */
  get hasReadStore(): boolean {
    return this.readStore;
  }

  /**
   * Records an entry that was read or removed.
   *
   * @param id - id of the server
   * @param server - its entry, or undefined when it was removed
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when the server has become cold
   */
  recordEntry(id: string, server: CatalogServer | undefined, nowMs: number): boolean {
    this.starts ??= new Map();
    if (!server) {
      this.starts.delete(id);
      return false;
    }
    const isStart = this.starts.get(id) !== server.startedAtMs;
    this.starts.set(id, server.startedAtMs);
    const presumedMs = isStart ? (this.rateOf(server.pool)?.coldMs ?? 0) : 0;
    return this.extend(id, server.coldForMs ?? presumedMs, nowMs);
  }

  /**
   * Records all entries. What entries from another VM say of the time left is older than they are, so
   * that only the starts count; the other VM reports the rest.
   *
   * @param servers - the entries
   * @param fromStore - false when another VM sent them
   * @param nowMs - monotonic time, in milliseconds
   */
  recordEntries(servers: readonly CatalogServer[], fromStore: boolean, nowMs: number): void {
    const isFirst = this.starts === undefined;
    this.readStore ||= fromStore;
    const entries = fromStore
      ? servers
      : servers.map((each) => ({ ...each, coldForMs: undefined }));
    const ids = new Set(servers.map(({ id }) => id));
    this.starts?.forEach((_, id) => {
      if (!ids.has(id)) this.starts!.delete(id);
    });
    // What this VM knew of no servers cannot show which of them have just started.
    if (isFirst) this.starts = new Map(servers.map(({ id, startedAtMs }) => [id, startedAtMs]));
    entries.forEach((server) => this.recordEntry(server.id, server, nowMs));
  }

  /**
   * Records the servers that other VMs know to be cold.
   *
   * @param reports - the servers
   * @param nowMs - monotonic time, in milliseconds
   */
  recordReported(reports: readonly ColdReport[], nowMs: number): void {
    reports.forEach(([id, leftMs]) => {
      const untilMs = nowMs + Math.min(leftMs, MAX_COLD_MS);
      this.reportedUntilMs.set(id, Math.max(untilMs, this.reportedUntilMs.get(id) ?? -Infinity));
    });
  }

  /**
   * Lists the servers that this VM itself knows to be cold. What it has learned from others is left out:
   * reported again and again, it would never end.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns reports, at most MAX_REPORTS
   */
  reports(nowMs: number): ColdReport[] {
    [this.ownUntilMs, this.reportedUntilMs].forEach((known) =>
      known.forEach((untilMs, id) => {
        if (untilMs <= nowMs) known.delete(id);
      }),
    );
    return [...this.ownUntilMs]
      .slice(0, MAX_REPORTS)
      .map(([id, untilMs]) => [id, Math.ceil(untilMs - nowMs)]);
  }

  /**
   * Returns for how long a server is cold.
   *
   * @param server - the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; 0 or less when it is not cold
   */
  leftMs({ id, pool }: CatalogServer, nowMs: number): number {
    const rate = this.rateOf(pool);
    if (!rate) return 0;
    const untilMs = Math.max(
      this.ownUntilMs.get(id) ?? -Infinity,
      this.reportedUntilMs.get(id) ?? -Infinity,
      this.unreachableMs(id) + RETURN_NOTICE_MS + rate.coldMs,
    );
    return untilMs - nowMs;
  }

  private extend(id: string, leftMs: number, nowMs: number): boolean {
    if (leftMs <= 0) return false;
    const knownMs = this.ownUntilMs.get(id) ?? -Infinity;
    this.ownUntilMs.set(id, Math.max(knownMs, nowMs + Math.min(leftMs, MAX_COLD_MS)));
    return knownMs <= nowMs;
  }
}

/**
 * Merges the reports of several VMs; of each server the longest time is kept.
 *
 * @param reports - reports by VM
 * @returns at most MAX_REPORTS reports
 */
export function mergeColdReports(reports: readonly (readonly ColdReport[])[]): ColdReport[] {
  const longest = new Map<string, number>();
  reports.flat().forEach(([id, leftMs]) => longest.set(id, Math.max(leftMs, longest.get(id) ?? 0)));
  return [...longest].slice(0, MAX_REPORTS);
}

/**
 * Subtracts the time for which reports have been held.
 *
 * @param reports - the reports
 * @param ms - that time, in milliseconds
 * @returns the reports of servers that are still cold
 */
export function ageColdReports(reports: readonly ColdReport[], ms: number): ColdReport[] {
  return reports.flatMap(([id, leftMs]): ColdReport[] => (leftMs > ms ? [[id, leftMs - ms]] : []));
}
