import { rankByRendezvous } from '../kernel/rendezvous.js';
import { shuffle } from '../kernel/shuffle.js';
import { ColdServers, type ColdRate } from './cold-servers.js';
import { RateShare, type Loan, type RateCharge } from './rate-share.js';
import type { CatalogServer } from './server-catalog.js';

/** VMs that share the rates of servers. */
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
  /** The same VMs, with those that were lost in the last minutes and may be cut off. */
  readonly lastingVms: readonly string[];
  /** The same as `settled` for cold servers, whose window is shorter. */
  readonly coldSettled: boolean;
  /** False while this VM hears nothing of the others, so that servers may be cold without its knowledge. */
  readonly informed: boolean;
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

/** Window in which a cold server must not get more requests than it takes in a second, in milliseconds. */
export const COLD_WINDOW_MS = 1000;

/** Time after it was asked for until which a loan may be used, in milliseconds. */
export const LOAN_MS = 1000;

/** Rates that servers have for all VMs together. */
export type RateKind = 'limit' | 'cold';

/** A request on the share of another VM that this VM would like to send. */
export interface LoanWish {
  readonly kind: RateKind;
  readonly server: string;
  /** VMs that have a share, in no particular order, without this one. */
  readonly lenders: readonly string[];
}

/** Maximum number of servers for which loans are asked for at once. */
const MAX_WISHES = 3;

/** Requests that a cold server may get in a second, as the platform tolerates. */
export interface ColdTolerance {
  /** Multiple of what it takes. */
  readonly factor: number;
  /** Requests in addition to these. */
  readonly requests: number;
}

/** What the rates of servers depend on. */
export interface RateSources {
  readonly sharers: () => LimitSharers;
  /** Returns the rate of the cold servers of a pool, or undefined when they are never cold. */
  readonly coldRate?: (pool: string) => ColdRate | undefined;
  /** Returns when a server could last not be reached, as monotonic time in milliseconds. */
  readonly unreachableMs?: (id: string) => number;
  readonly coldTolerance?: ColdTolerance;
}

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
}

/** A rate that is in force at a server, and the part of this VM in it. */
interface Rate {
  readonly kind: RateKind;
  readonly used: RateShare;
  /** Requests of this VM in a window. */
  readonly share: number;
  /** Calls that a request consists of. */
  readonly weight: number;
  /** Time until it ends, in milliseconds; Infinity when that is not known. */
  readonly leftMs: number;
}

/** VMs that have a share, most preferred first, and the share of each. */
interface Split {
  readonly ranked: readonly string[];
  /** Position of this VM. */
  readonly rank: number;
}

/**
 * Owns the rates of requests to servers: limits that servers name and rates of cold servers, for all VMs
 * together, and the times for which a server wants nothing from this VM. A few VMs for each server, chosen
 * by rendezvous hashing, share what it may get in a window; the others send it none unless one of these
 * lends them a request. No VM needs to know what the others have just sent, so late reports of them cannot
 * exceed the rate.
 *
 * Load pattern: slow servers that take a few requests a second, from hundreds of VMs.
 */
export class ServerLimits {
  private readonly servers = new Map<string, LimitedServer>();

  /** What this VM uses of the rates, by server. */
  private readonly used: Readonly<Record<RateKind, Map<string, RateShare>>> = {
    limit: new Map(),
    cold: new Map(),
  };

  /** Start time of the servers that want nothing, and the monotonic time until then in milliseconds. */
  private readonly quiet = new Map<
    string,
    { readonly startedAtMs: number; readonly untilMs: number }
  >();

  /** Servers that are cold, as far as this VM knows. */
  readonly cold: ColdServers;

  private splits = new WeakMap<readonly string[], Map<string, Split>>();

  private constructor(private readonly sources: RateSources) {
    const { coldRate = () => undefined, unreachableMs = () => -Infinity } = sources;
    this.cold = ColdServers.create(coldRate, unreachableMs);
  }

  /**
   * Creates an instance that knows no limits.
   *
   * @param sources - the VMs that share the rates, and what the rates of cold servers are
   * @returns a new instance
   */
  static create(sources: RateSources): ServerLimits {
    return new ServerLimits(sources);
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
   * Records that a server has turned a request of this VM away and wants no others for a time.
   *
   * @param server - the server as it was known when it was called
   * @param forMs - that time, in milliseconds
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when it did not want any before, too
   */
  recordQuiet(
    { id, startedAtMs }: Pick<CatalogServer, 'id' | 'startedAtMs'>,
    forMs: number,
    nowMs: number,
  ): boolean {
    this.quiet.forEach(({ untilMs }, known) => {
      if (untilMs <= nowMs) this.quiet.delete(known);
    });
    const known = this.quiet.get(id);
    if (known && known.startedAtMs > startedAtMs) return true;
    const sinceMs = known?.startedAtMs === startedAtMs ? known.untilMs : -Infinity;
    this.quiet.set(id, { startedAtMs, untilMs: Math.max(sinceMs, nowMs + forMs) });
    return sinceMs > -Infinity;
  }

  /**
   * Lists the servers that this VM may send a request to now.
   *
   * @param servers - servers of a pool
   * @param nowMs - monotonic time, in milliseconds
   * @returns those without a rate, and those of whose rate this VM has a request left
   */
  select(servers: readonly CatalogServer[], nowMs: number): CatalogServer[] {
    return servers.filter((server) => this.isFree(server, nowMs));
  }

  /**
   * Charges a request that is about to be sent. At an engine that decodes it consists of two calls, of
   * which the first one, a reservation, is made now.
   *
   * @param server - the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns the charge, or undefined when the request may not be sent
   */
  tryAcquire(server: CatalogServer, nowMs: number): RateCharge | undefined {
    if (!this.isFree(server, nowMs)) return undefined;
    const rates = this.listRates(server, nowMs);
    const charges = rates.map(({ kind, used, share, weight }) => ({
      kind,
      ...used.charge(share, weight, nowMs),
    }));
    const { pool } = server;
    // Requests are counted before a server is cold, too: it may become cold while they are on their way.
    const isWatched =
      this.cold.rate(pool) !== undefined && !rates.some(({ kind }) => kind === 'cold');
    if (isWatched) {
      const used = this.shareUse('cold', server.id);
      charges.push({ kind: 'cold', ...used.charge(Infinity, weightAt(server), nowMs) });
    }
    return {
      mayBegin: (atMs) =>
        !this.isQuiet(server, atMs) &&
        charges.every(({ kind, loan }) => this.covers(server, kind, loan, atMs)),
      begin: (atMs) => charges.forEach(({ begin }) => begin(atMs)),
      refund: () => charges.forEach(({ refund }) => refund()),
    };
  }

  /**
   * Computes when servers can take requests of this VM.
   *
   * @param servers - the servers that may be used
   * @param requests - number of requests
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; 0 when one has no rate, Infinity when this VM has no share of any
   */
  estimateWaitMs(servers: readonly CatalogServer[], requests: number, nowMs: number): number {
    const waits: number[] = [];
    for (const server of servers) {
      const each = this.listWaits(server, requests, nowMs);
      if (each === 'free') return 0;
      waits.push(...each);
    }
    if (waits.length === 0) return servers.length === 0 ? 0 : Infinity;
    waits.sort((left, right) => left - right);
    const rounds = Math.floor((requests - 1) / waits.length);
    return rounds * LIMIT_WINDOW_MS + waits[(requests - 1) % waits.length]!;
  }

  /**
   * Lists what this VM would have to borrow to send a request.
   *
   * @param servers - the servers that may be used
   * @param nowMs - monotonic time, in milliseconds
   * @returns wishes; empty when the request can be sent, or nobody can lend it
   */
  listWishes(servers: readonly CatalogServer[], nowMs: number): LoanWish[] {
    if (servers.some((server) => this.isFree(server, nowMs))) return [];
    const wishes = servers.flatMap((server): LoanWish[] => {
      if (this.isQuiet(server, nowMs)) return [];
      const [missing, ...others] = this.listRates(server, nowMs).filter(
        ({ used, share, weight }) => !used.covers(share, weight, nowMs),
      );
      if (!missing || others.length > 0) return [];
      const { kind } = missing;
      const { ranked } = this.splitOf(kind, server.id);
      const sharers = this.countSharers(kind, server, ranked.length);
      const { self } = this.sources.sharers();
      const lenders = ranked.slice(0, sharers).filter((vm) => vm !== self);
      return lenders.length > 0 ? [{ kind, server: server.id, lenders: shuffle(lenders) }] : [];
    });
    return shuffle(wishes).slice(0, MAX_WISHES);
  }

  /**
   * Lends a request of this VM's share that is not used.
   *
   * @param kind - kind of the rate
   * @param server - the server
   * @param loan - id of the loan
   * @param nowMs - monotonic time, in milliseconds
   * @returns false when this VM has none to lend
   */
  lend(kind: RateKind, server: CatalogServer, loan: string, nowMs: number): boolean {
    const rate = this.listRates(server, nowMs).find((each) => each.kind === kind);
    if (!rate) return false;
    return rate.used.lend(loan, rate.share, rate.weight, LOAN_MS, nowMs);
  }

  /**
   * Records that a borrower makes no more calls on a loan.
   *
   * @param kind - kind of the rate
   * @param server - id of the server
   * @param loan - id of the loan
   * @param nowMs - monotonic time, in milliseconds
   */
  takeBack(kind: RateKind, server: string, loan: string, nowMs: number): void {
    this.used[kind].get(server)?.takeBack(loan, nowMs);
  }

  /**
   * Adds a loan that another VM has given.
   *
   * @param kind - kind of the rate
   * @param server - id of the server
   * @param loan - the loan
   */
  borrow(kind: RateKind, server: string, loan: Loan): void {
    this.shareUse(kind, server).borrow(loan);
  }

  /** Counts the cold servers among some. */
  countCold(servers: readonly CatalogServer[], nowMs: number): number {
    return servers.filter((server) => this.cold.leftMs(server, nowMs) > 0).length;
  }

  /** Lists the times until requests of this VM may be sent to a server, in milliseconds. */
  private listWaits(server: CatalogServer, requests: number, nowMs: number): number[] | 'free' {
    const rates = this.listRates(server, nowMs);
    const quietMs = this.quietLeftMs(server, nowMs);
    if (rates.length === 0 && quietMs <= 0) return 'free';
    const lists = rates.map(({ used, share, weight, leftMs }) => {
      const waits = used.listWaits(share, weight, nowMs).map((ms) => Math.min(ms, leftMs));
      // From the end of the rate on, the server takes any number.
      const rest = leftMs === Infinity ? 0 : Math.max(0, requests - waits.length);
      return [...waits, ...Array.from({ length: rest }, () => leftMs)].sort((a, b) => a - b);
    });
    const length = Math.min(requests, ...lists.map((each) => each.length));
    return Array.from({ length }, (_, index) =>
      Math.max(0, quietMs, ...lists.map((each) => each[index]!)),
    );
  }

  private isFree(server: CatalogServer, nowMs: number): boolean {
    if (this.isQuiet(server, nowMs)) return false;
    return this.listRates(server, nowMs).every(({ used, share, weight }) =>
      used.covers(share, weight, nowMs),
    );
  }

  /** Whether a charged request may be sent, although the server may have become cold or named a limit. */
  private covers(
    server: CatalogServer,
    kind: RateKind,
    loan: Loan | undefined,
    nowMs: number,
  ): boolean {
    if (loan) return nowMs < loan.untilMs;
    const rate = this.listRates(server, nowMs).find((each) => each.kind === kind);
    return !rate || rate.used.allowsSend(rate.share, nowMs);
  }

  private isQuiet(server: CatalogServer, nowMs: number): boolean {
    return this.quiet.size > 0 && this.quietLeftMs(server, nowMs) > 0;
  }

  private quietLeftMs({ id, startedAtMs }: CatalogServer, nowMs: number): number {
    const known = this.quiet.get(id);
    return known && known.startedAtMs >= startedAtMs ? known.untilMs - nowMs : 0;
  }

  /** Lists the rates that are in force at a server. */
  private listRates(server: CatalogServer, nowMs: number): Rate[] {
    const rates: Rate[] = [];
    const { id } = server;
    if (this.servers.size > 0 && this.perSecondOf(server, nowMs) !== undefined) {
      const share = this.shareOf('limit', server);
      rates.push({
        ...{ kind: 'limit', used: this.shareUse('limit', id), share },
        ...{ weight: 1, leftMs: Infinity },
      });
    }
    const leftMs = this.coldForMs(server, nowMs);
    if (leftMs > 0) {
      const share = this.shareOf('cold', server);
      rates.push({
        ...{ kind: 'cold', used: this.shareUse('cold', id), share },
        ...{ weight: weightAt(server), leftMs },
      });
    }
    return rates;
  }

  private coldForMs(server: CatalogServer, nowMs: number): number {
    const rate = this.cold.rate(server.pool);
    if (!rate) return 0;
    const { informed } = this.sources.sharers();
    return Math.max(informed ? 0 : rate.coldMs, this.cold.leftMs(server, nowMs));
  }

  /** Requests that all VMs together may send to a server in a window. */
  private countAllowed(kind: RateKind, { id, pool }: CatalogServer): number {
    if (kind === 'limit') {
      const perWindow = ((this.servers.get(id)?.latest.perSecond ?? 0) * LIMIT_WINDOW_MS) / 1000;
      return Math.floor(USED_FRACTION * (TOLERATED_FACTOR * perWindow + TOLERATED_REQUESTS));
    }
    const { factor = 1, requests = 0 } = this.sources.coldTolerance ?? {};
    const perWindow = ((this.cold.rate(pool)?.perSecond ?? 0) * COLD_WINDOW_MS) / 1000;
    return Math.floor(USED_FRACTION * (factor * perWindow + requests));
  }

  private countSharers(kind: RateKind, server: CatalogServer, vms: number): number {
    return Math.min(vms, Math.floor(this.countAllowed(kind, server) / unitOf(kind, server)));
  }

  /** Requests that this VM may send to a server in a window. */
  private shareOf(kind: RateKind, server: CatalogServer): number {
    const { settled, coldSettled } = this.sources.sharers();
    if (!(kind === 'limit' ? settled : coldSettled)) return 0;
    const { ranked, rank } = this.splitOf(kind, server.id);
    const sharers = this.countSharers(kind, server, ranked.length);
    if (rank >= sharers) return 0;
    const unit = unitOf(kind, server);
    const units = Math.floor(this.countAllowed(kind, server) / unit);
    return unit * (Math.floor(units / sharers) + (rank < units % sharers ? 1 : 0));
  }

  private splitOf(kind: RateKind, id: string): Split {
    const { self, vms, lastingVms } = this.sources.sharers();
    const sharing = kind === 'limit' ? vms : lastingVms;
    const splits = this.splits.get(sharing) ?? new Map<string, Split>();
    this.splits.set(sharing, splits);
    const known = splits.get(id);
    if (known) return known;
    const ranked = rankByRendezvous(id, sharing, (vm) => vm);
    const rank = ranked.indexOf(self);
    const split = { ranked, rank: rank < 0 ? Infinity : rank };
    splits.set(id, split);
    return split;
  }

  private shareUse(kind: RateKind, id: string): RateShare {
    const known = this.used[kind].get(id);
    if (known) return known;
    const used = RateShare.create(kind === 'limit' ? LIMIT_WINDOW_MS : COLD_WINDOW_MS);
    this.used[kind].set(id, used);
    return used;
  }

  private apply(id: string, startedAtMs: number, latest: Statement): LimitedServer {
    const known = this.servers.get(id);
    if (known?.startedAtMs === startedAtMs) {
      known.latest = latest;
      return known;
    }
    const server = { startedAtMs, latest, own: undefined };
    this.servers.set(id, server);
    return server;
  }

  private expire(nowMs: number): void {
    this.servers.forEach(({ latest }, id) => {
      const ageMs = nowMs - latest.atMs;
      const lifted = latest.perSecond === undefined && ageMs > MAX_REPORT_AGE_MS;
      if (lifted || ageMs > MAX_LIMIT_AGE_MS) this.servers.delete(id);
    });
    Object.values(this.used).forEach((byServer) =>
      byServer.forEach((used, id) => {
        if (used.isIdle(nowMs)) byServer.delete(id);
      }),
    );
  }
}

/** Calls that a request to a server consists of: engines that decode get a reservation first. */
function weightAt({ stage }: CatalogServer): number {
  return stage === 'decode' || stage === 'both' ? 2 : 1;
}

/** Smallest share; the same for all roles of an engine, so that the shares of VMs add up while it changes. */
function unitOf(kind: RateKind, { stage }: CatalogServer): number {
  return kind === 'cold' && stage !== undefined ? 2 : 1;
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
