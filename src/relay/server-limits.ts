import { rankByRendezvous } from '../kernel/rendezvous.js';
import type { CatalogServer } from './server-catalog.js';

/** VMs that share the limits of servers. */
export interface LimitSharers {
  /** Name of this VM. */
  readonly self: string;
  /**
   * Names of the VMs that callers may use, this one included if it is one of them; the same array until
   * they change.
   */
  readonly vms: readonly string[];
  /** False while this VM has just started and may not know the others yet. */
  readonly settled: boolean;
}

/** What a server's answer says: its limit, in requests per second, or undefined for none. */
export type NamedLimit = number | undefined;

/** How an answer has changed what is known of a server's limit. */
export type LimitChange = 'named' | 'changed' | 'lifted';

/** Id, start time and limit of a server (-1 for none), and age of the answer that said so, in milliseconds. */
export type LimitReport = [id: string, startedAtMs: number, perSecond: number, ageMs: number];

/**
 * Requests that a limited server may get in a window: a multiple of what its limit allows and a number, as
 * the platform tolerates. The number also lets through the requests whose answers show that a limit of
 * nearly nothing has been lifted.
 */
export const LIMIT_WINDOW_MS = 4000;
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;

/** Fraction of these requests that is used; the rest covers VMs that disagree on the members of the fleet. */
const USED_FRACTION = 0.9;

/** Age from which an answer is not reported to other VMs any more, in milliseconds. */
const MAX_REPORT_AGE_MS = 10_000;

/** Age from which a limit is not in force any more unless a new answer confirms it, in milliseconds. */
const MAX_LIMIT_AGE_MS = 30_000;

/** Retry delay for callers when this VM has no share of any server that is left, in milliseconds. */
export const NO_SHARE_RETRY_MS = 1000;

/** Maximum number of servers in a digest. */
const MAX_REPORTS = 40;

/** A request that counts against the limit of a server. */
export interface LimitCharge {
  /** Records that the request is sent now; until then it counts as if it was. */
  readonly begin: (nowMs: number) => void;
  /** Takes the charge back, because the request has not been sent. */
  readonly refund: () => void;
}

const NO_CHARGE: LimitCharge = { begin: () => undefined, refund: () => undefined };

interface Statement {
  readonly perSecond: NamedLimit;
  readonly atMs: number;
}

interface LimitedServer {
  readonly startedAtMs: number;
  /** The last statement, in an answer to this VM or to another one. */
  latest: Statement;
  /** The last statement in an answer to this VM; undefined when there is none or a later one is known. */
  own: Statement | undefined;
  /** Requests of this VM in the last window, with the times at which they were sent, in milliseconds. */
  readonly sent: Map<object, number>;
  /** Requests of this VM that are charged and not sent yet. */
  readonly waiting: Set<object>;
}

/**
 * Limits the requests of all VMs together to servers that name a limit. A few VMs for each server, chosen
 * by rendezvous hashing, share what it may get in a window; the others send it none. No VM needs to know
 * what the others have just sent, so late reports of them cannot exceed the limit.
 *
 * Load pattern: slow servers that take a few requests a second, from hundreds of VMs.
 */
export class ServerLimits {
  private readonly servers = new Map<string, LimitedServer>();

  /** Position of this VM among the VMs in `sharedBy`, by server. */
  private readonly ranks = new Map<string, number>();

  private sharedBy: readonly string[] = [];

  private constructor(private readonly sharers: () => LimitSharers) {}

  /**
   * Creates an instance that knows no limits.
   *
   * @param sharers - returns the VMs that share the limits
   * @returns a new instance
   */
  static create(sharers: () => LimitSharers): ServerLimits {
    return new ServerLimits(sharers);
  }

  /**
   * Records what an answer to this VM says of a server's limit.
   *
   * @param server - the server as it was known when it was called
   * @param perSecond - its limit, or undefined when the answer names none
   * @param nowMs - monotonic time, in milliseconds
   * @returns how the answer changes what this VM knew, or undefined when it does not
   */
  recordAnswer(
    { id, startedAtMs }: Pick<CatalogServer, 'id' | 'startedAtMs'>,
    perSecond: NamedLimit,
    nowMs: number,
  ): LimitChange | undefined {
    const known = this.servers.get(id);
    // An answer to a call that began before a restart says nothing of the new start.
    if (known && startedAtMs < known.startedAtMs) return undefined;
    if (!known && perSecond === undefined) return undefined;
    const before = this.perSecondOf({ id, startedAtMs }, nowMs);
    const server = this.apply(id, startedAtMs, { perSecond, atMs: nowMs });
    server.own = server.latest;
    if (before === perSecond) return undefined;
    if (perSecond === undefined) return 'lifted';
    return before === undefined ? 'named' : 'changed';
  }

  /**
   * Records limits that other VMs report.
   *
   * @param reports - their answers from servers
   * @param nowMs - monotonic time, in milliseconds
   */
  recordReported(reports: readonly LimitReport[], nowMs: number): void {
    reports.forEach(([id, startedAtMs, perSecond, ageMs]) => {
      const known = this.servers.get(id);
      const atMs = nowMs - ageMs;
      if (ageMs > MAX_REPORT_AGE_MS || (known && startedAtMs < known.startedAtMs)) return;
      const limit = perSecond < 0 ? undefined : perSecond;
      if (!known && limit === undefined) return;
      if (known?.startedAtMs === startedAtMs && atMs <= known.latest.atMs) return;
      const server = this.apply(id, startedAtMs, { perSecond: limit, atMs });
      // The own statement is older; reported on, it would look like the state of the server.
      if (server.own?.perSecond !== limit) server.own = undefined;
    });
  }

  /**
   * Lists what answers to this VM have said lately, for its digest.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns reports, at most MAX_REPORTS
   */
  reports(nowMs: number): LimitReport[] {
    this.expire(nowMs);
    const reports = [...this.servers].flatMap(([id, { startedAtMs, own }]): LimitReport[] => {
      if (!own || nowMs - own.atMs > MAX_REPORT_AGE_MS) return [];
      return [[id, startedAtMs, own.perSecond ?? -1, Math.round(nowMs - own.atMs)]];
    });
    return limitReports(reports);
  }

  /**
   * Returns the limit of a server.
   *
   * @param server - the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns requests per second from all VMs together, or undefined when it has no limit
   */
  perSecondOf(
    { id, startedAtMs }: Pick<CatalogServer, 'id' | 'startedAtMs'>,
    nowMs: number,
  ): NamedLimit {
    const known = this.servers.get(id);
    if (!known || known.startedAtMs < startedAtMs) return undefined;
    if (nowMs - known.latest.atMs > MAX_LIMIT_AGE_MS) return undefined;
    return known.latest.perSecond;
  }

  /**
   * Lists the servers that this VM may send a request to now.
   *
   * @param servers - servers of a pool
   * @param nowMs - monotonic time, in milliseconds
   * @returns those without a limit, and those of whose limit this VM has a request left
   */
  select(servers: readonly CatalogServer[], nowMs: number): CatalogServer[] {
    if (this.servers.size === 0) return [...servers];
    return servers.filter((server) => this.isFree(server, nowMs));
  }

  /**
   * Charges a request that is about to be sent.
   *
   * @param server - the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns the charge, or undefined when the request may not be sent
   */
  tryAcquire(server: CatalogServer, nowMs: number): LimitCharge | undefined {
    if (!this.isFree(server, nowMs)) return undefined;
    const known = this.servers.get(server.id);
    if (!known || this.perSecondOf(server, nowMs) === undefined) return NO_CHARGE;
    return createCharge(known);
  }

  /**
   * Computes when servers can take requests of this VM.
   *
   * @param servers - the servers that may be used
   * @param requests - number of requests
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; 0 when one has no limit, Infinity when this VM has no share of any
   */
  estimateWaitMs(servers: readonly CatalogServer[], requests: number, nowMs: number): number {
    const limited = servers.filter((server) => this.perSecondOf(server, nowMs) !== undefined);
    if (limited.length < servers.length) return 0;
    const waits = limited.flatMap(({ id }) => this.listWaits(id, nowMs));
    if (waits.length === 0) return Infinity;
    waits.sort((left, right) => left - right);
    const rounds = Math.floor((requests - 1) / waits.length);
    return rounds * LIMIT_WINDOW_MS + waits[(requests - 1) % waits.length]!;
  }

  /** Lists the times until each request of this VM's share may be sent, in milliseconds. */
  private listWaits(id: string, nowMs: number): number[] {
    const { sent, waiting } = this.expireSent(id, nowMs);
    const taken = [...sent.values()].map((atMs) => atMs + LIMIT_WINDOW_MS - nowMs);
    taken.push(...Array.from(waiting, () => LIMIT_WINDOW_MS));
    const share = this.shareOf(id);
    const free = Math.max(0, share - taken.length);
    // When the share has become smaller, the first that expire set none free.
    return [
      ...Array.from({ length: free }, () => 0),
      ...taken.slice(Math.max(0, taken.length - share)),
    ];
  }

  private isFree(server: CatalogServer, nowMs: number): boolean {
    if (this.perSecondOf(server, nowMs) === undefined) return true;
    const { sent, waiting } = this.expireSent(server.id, nowMs);
    return sent.size + waiting.size < this.shareOf(server.id);
  }

  private expireSent(id: string, nowMs: number): LimitedServer {
    const known = this.servers.get(id)!;
    known.sent.forEach((atMs, charge) => {
      if (atMs <= nowMs - LIMIT_WINDOW_MS) known.sent.delete(charge);
    });
    return known;
  }

  /** Requests that this VM may send to a limited server in a window. */
  private shareOf(id: string): number {
    const { self, vms, settled } = this.sharers();
    if (!settled) return 0;
    const perWindow = ((this.servers.get(id)?.latest.perSecond ?? 0) * LIMIT_WINDOW_MS) / 1000;
    const allowed = USED_FRACTION * (TOLERATED_FACTOR * perWindow + TOLERATED_REQUESTS);
    const requests = Math.floor(allowed);
    const sharers = Math.min(vms.length, requests);
    const rank = this.rankAt(id, self, vms);
    if (rank >= sharers) return 0;
    return Math.floor(requests / sharers) + (rank < requests % sharers ? 1 : 0);
  }

  private rankAt(id: string, self: string, vms: readonly string[]): number {
    if (vms !== this.sharedBy) {
      this.ranks.clear();
      this.sharedBy = vms;
    }
    const known = this.ranks.get(id);
    if (known !== undefined) return known;
    const rank = rankByRendezvous(id, vms, (vm) => vm).indexOf(self);
    this.ranks.set(id, rank < 0 ? Infinity : rank);
    return this.ranks.get(id)!;
  }

  private apply(id: string, startedAtMs: number, latest: Statement): LimitedServer {
    const known = this.servers.get(id);
    if (known?.startedAtMs === startedAtMs) {
      known.latest = latest;
      return known;
    }
    const server = {
      startedAtMs,
      latest,
      own: undefined,
      sent: new Map<object, number>(),
      waiting: new Set<object>(),
    };
    this.servers.set(id, server);
    return server;
  }

  private expire(nowMs: number): void {
    this.servers.forEach(({ latest }, id) => {
      const ageMs = nowMs - latest.atMs;
      const lifted = latest.perSecond === undefined && ageMs > MAX_REPORT_AGE_MS;
      if (lifted || ageMs > MAX_LIMIT_AGE_MS) this.servers.delete(id);
    });
  }
}

function createCharge({ sent, waiting }: LimitedServer): LimitCharge {
  const charge = {};
  waiting.add(charge);
  return {
    begin: (nowMs) => {
      if (waiting.delete(charge)) sent.set(charge, nowMs);
    },
    refund: () => {
      waiting.delete(charge);
      sent.delete(charge);
    },
  };
}

/**
 * Merges the reports of several VMs; of each server the latest answer is kept.
 *
 * @param reports - reports by VM
 * @returns at most MAX_REPORTS reports
 */
export function mergeLimitReports(reports: readonly (readonly LimitReport[])[]): LimitReport[] {
  const latest = new Map<string, LimitReport>();
  reports.flat().forEach((report) => {
    const [id, startedAtMs, , ageMs] = report;
    const known = latest.get(id);
    const isNewer =
      !known || startedAtMs > known[1] || (startedAtMs === known[1] && ageMs < known[3]);
    if (isNewer) latest.set(id, report);
  });
  return limitReports([...latest.values()]);
}

/**
 * Adds to the age of a report.
 *
 * @param report - the report
 * @param ms - time for which it has been held, in milliseconds
 * @returns the report with its present age
 */
export function ageLimitReport(
  [id, startedAtMs, perSecond, ageMs]: LimitReport,
  ms: number,
): LimitReport {
  return [id, startedAtMs, perSecond, ageMs + ms];
}

/** Keeps the latest reports. */
function limitReports(reports: LimitReport[]): LimitReport[] {
  if (reports.length <= MAX_REPORTS) return reports;
  return reports.sort((left, right) => left[3] - right[3]).slice(0, MAX_REPORTS);
}
