import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { FleetSimulation, SimulatedVm } from '../../harness/fleet-simulation.js';
import type { CatalogServer } from '../../src/relay/server-catalog.js';
import { shuffle } from '../../src/kernel/shuffle.js';
import { createCatalogServer } from './relay-fixtures.js';

/** How requests reach the servers: at once, or after a reservation that may go unused. */
export type LimitedKind = 'plain' | 'engine';

/** Servers and load of a limit simulation. */
export interface LimitLoad {
  readonly seed: number;
  readonly kind: LimitedKind;
  /** Limit of each server, in requests per second. */
  readonly limits: readonly number[];
  /** Requests per second to all servers, as a multiple of the sum of their limits. */
  readonly load: number;
  readonly durationMs: number;
  /** When the servers stop naming limits, in milliseconds since the start. */
  readonly liftMs: number;
  /** When a VM joins the fleet, in milliseconds since the start; undefined for never. */
  readonly joinMs?: number;
  /** Number of VMs that get requests; all when undefined. */
  readonly vmsWithDemand?: number;
}

/** A request that has reached a server. */
interface Arrival {
  readonly atMs: number;
  /** Whether its VM had passed on an answer with a limit long enough ago. */
  readonly counts: boolean;
}

/** What one server has seen. */
export interface LimitedServerResult {
  readonly perSecond: number;
  namedMs: number;
  readonly arrivals: Arrival[];
}

/** What the servers of a simulation have seen. */
export interface LimitResult {
  readonly servers: readonly LimitedServerResult[];
  /** Time from the end of the limits until all VMs know it, in milliseconds; Infinity when they do not. */
  readonly liftKnownMs: number;
}

interface SimulatedServer {
  readonly entry: CatalogServer;
  running: number;
  readonly result: LimitedServerResult;
}

interface Event {
  readonly dueMs: number;
  readonly run: () => void;
}

/** Step of the simulation, in milliseconds. */
const STEP_MS = 20;

/**
 * Bounds of the time from the choice of an engine to the request, of the time until the server answers, and
 * of the time that the answer takes, in milliseconds.
 */
const PREFILL_MS = [60, 700] as const;
const ANSWER_MS = [20, 400] as const;
const TRANSIT_MS = [1, 20] as const;

/** Time for which the fleet has run before the first request, in milliseconds. */
const WARM_UP_MS = 6000;

/** One of so many reservations goes unused. */
const UNUSED = 10;

/** Time after a VM has passed on an answer with a limit from which its requests count, in milliseconds. */
const TOLD_MS = 500;

/** Time after a server has first named its limit from which it is checked, in milliseconds. */
const STABLE_WINDOW_MS = 3000;

const WINDOW_MS = 4000;

/** Sends requests to servers that name limits, through the VMs of a fleet that callers may use. */
class LimitSimulation {
  private readonly random;

  private readonly servers: readonly SimulatedServer[];

  /** When each VM first passed on an answer with a limit, by VM and server. */
  private readonly toldMs = new Map<string, number>();

  private startMs = 0;

  private events: Event[] = [];

  constructor(
    private readonly simulation: FleetSimulation,
    private readonly load: LimitLoad,
  ) {
    this.random = xoroshiro128plus(load.seed);
    this.servers = load.limits.map((perSecond, index) => ({
      entry: createCatalogServer({ id: `i-${index}` }),
      running: 0,
      result: { perSecond, namedMs: Infinity, arrivals: [] },
    }));
  }

  async run(): Promise<LimitResult> {
    const { load, simulation } = this;
    const entries = this.servers.map(({ entry }) => entry);
    simulation.vms.forEach(({ catalog }) => catalog.replace(entries, 0));
    await simulation.advance(WARM_UP_MS);
    this.startMs = simulation.clock.monotonicMs();
    const perSecond = load.load * load.limits.reduce((sum, limit) => sum + limit, 0);
    let due = 0;
    let liftKnownMs = Infinity;
    while (this.nowMs < load.durationMs) {
      this.runEvents();
      if (this.nowMs === load.joinMs) await simulation.add(simulation.vms.length);
      const entryVms = new Set(simulation.vms[0]!.fleet.limitSharers.vms);
      const vms = simulation.liveVms
        .filter(({ name }) => entryVms.has(name))
        .slice(0, load.vmsWithDemand);
      for (due += (perSecond * STEP_MS) / 1000; due >= 1; due -= 1) {
        this.request(vms[uniformInt(this.random, 0, vms.length - 1)]!);
      }
      await simulation.advance(STEP_MS, STEP_MS);
      const isKnown = this.nowMs > load.liftMs && this.isLiftKnown();
      if (isKnown) liftKnownMs = Math.min(liftKnownMs, this.nowMs - load.liftMs);
      else liftKnownMs = Infinity;
    }
    return { servers: this.servers.map(({ result }) => result), liftKnownMs };
  }

  private get nowMs(): number {
    return this.simulation.clock.monotonicMs() - this.startMs;
  }

  private isLiftKnown(): boolean {
    const nowMs = this.simulation.clock.monotonicMs();
    return this.simulation.liveVms.every(({ limits }) =>
      this.servers.every(({ entry }) => limits.perSecondOf(entry, nowMs) === undefined),
    );
  }

  private runEvents(): void {
    const due = this.events.filter(({ dueMs }) => dueMs <= this.nowMs);
    this.events = this.events.filter(({ dueMs }) => dueMs > this.nowMs);
    due.forEach(({ run }) => run());
  }

  private later([fromMs, toMs]: readonly [number, number], run: () => void): void {
    this.events.push({ dueMs: this.nowMs + uniformInt(this.random, fromMs, toMs), run });
  }

  private request(vm: SimulatedVm, isLent = false): void {
    const nowMs = this.simulation.clock.monotonicMs();
    const entries = this.servers.map(({ entry }) => entry);
    const allowed = vm.limits.select(entries, nowMs);
    if (allowed.length === 0) {
      if (!isLent)
        void vm.fleet.borrow(entries).then((granted) => granted && this.request(vm, true));
      return;
    }
    const server = this.pickLeastLoaded(allowed);
    const charge = vm.limits.tryAcquire(server, nowMs)!;
    const send = () => {
      charge.begin(this.simulation.clock.monotonicMs());
      this.arrive(vm, server);
    };
    if (this.load.kind === 'plain') send();
    else if (uniformInt(this.random, 1, UNUSED) === 1) this.later(PREFILL_MS, charge.refund);
    else this.later(PREFILL_MS, send);
  }

  /** Picks a server as the pickers of the relay do: the one with the fewest requests in progress. */
  private pickLeastLoaded(allowed: readonly CatalogServer[]): CatalogServer {
    const isAllowed = ({ entry }: SimulatedServer) => allowed.includes(entry);
    const candidates = shuffle(this.servers.filter(isAllowed));
    return candidates.sort((left, right) => left.running - right.running)[0]!.entry;
  }

  private arrive(vm: SimulatedVm, { id }: CatalogServer): void {
    const server = this.servers.find(({ entry }) => entry.id === id)!;
    const told = this.toldMs.get(`${vm.name} ${id}`) ?? Infinity;
    const atMs = this.nowMs;
    if (this.isLimited) server.result.arrivals.push({ atMs, counts: told + TOLD_MS <= atMs });
    server.running += 1;
    this.later(ANSWER_MS, () => this.answer(vm, server));
  }

  private answer(vm: SimulatedVm, server: SimulatedServer): void {
    const { isLimited } = this;
    const { entry, result } = server;
    Object.assign(server, { running: server.running - 1 });
    const key = `${vm.name} ${server.entry.id}`;
    this.later(TRANSIT_MS, () => {
      const { nowMs } = this;
      if (isLimited) {
        result.namedMs = Math.min(result.namedMs, nowMs);
        this.toldMs.set(key, Math.min(this.toldMs.get(key) ?? Infinity, nowMs));
      }
      const clockMs = this.simulation.clock.monotonicMs();
      vm.limits.recordAnswer(entry, isLimited ? result.perSecond : undefined, clockMs);
    });
  }

  private get isLimited(): boolean {
    return this.nowMs < this.load.liftMs;
  }
}

/**
 * Sends requests to servers that name limits, and stop to do so.
 *
 * @param simulation - the fleet
 * @param load - servers, requests and disturbances
 * @returns what the servers saw, and how soon the VMs knew of the end of the limits
 */
export async function simulateLimits(
  simulation: FleetSimulation,
  load: LimitLoad,
): Promise<LimitResult> {
  return new LimitSimulation(simulation, load).run();
}

/** Requests that reached a server in a window, and how many were allowed in it. */
export interface LimitWindow {
  readonly perSecond: number;
  readonly fromMs: number;
  readonly requests: number;
  readonly allowed: number;
}

/**
 * Finds the window that uses the largest part of what is allowed.
 *
 * @param result - what the servers saw
 * @returns the window
 */
export function findWorstLimitWindow({ servers }: LimitResult): LimitWindow {
  const windows = servers.flatMap(({ perSecond, namedMs, arrivals }) => {
    const times = arrivals
      .filter(({ atMs, counts }) => counts && atMs >= namedMs + STABLE_WINDOW_MS)
      .map(({ atMs }) => atMs);
    const allowed = (1.5 * perSecond * WINDOW_MS) / 1000 + 5;
    return [...new Set(times)].map((fromMs) => {
      const requests = times.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
      return { perSecond, fromMs, requests, allowed };
    });
  });
  return windows.reduce(
    (worst, each) => (each.requests / each.allowed > worst.requests / worst.allowed ? each : worst),
    { perSecond: 0, fromMs: 0, requests: 0, allowed: 1 },
  );
}

/**
 * Computes how much of the limits of all servers was used once they were in force.
 *
 * @param result - what the servers saw
 * @param untilMs - end of the limits, in milliseconds since the start
 * @returns requests as a fraction of the sum of the limits
 */
export function computeLimitUse({ servers }: LimitResult, untilMs: number): number {
  const totals = servers.map(({ perSecond, namedMs, arrivals }) => {
    const fromMs = namedMs + STABLE_WINDOW_MS;
    const requests = arrivals.filter(({ atMs }) => atMs >= fromMs).length;
    return { requests, limit: (perSecond * Math.max(0, untilMs - fromMs)) / 1000 };
  });
  const sum = (count: (total: (typeof totals)[number]) => number) =>
    totals.reduce((all, total) => all + count(total), 0);
  return sum(({ requests }) => requests) / sum(({ limit }) => limit);
}
