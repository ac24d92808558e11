import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import {
  COLD_TOLERANCE,
  type FleetSimulation,
  type SimulatedVm,
} from '../../harness/fleet-simulation.js';
import type { CatalogServer } from '../../src/relay/server-catalog.js';
import { createCatalogServer } from './relay-fixtures.js';

/** What happens to the fleet while servers are cold. */
export type ColdFailure =
  | 'nothing'
  | 'restart of all VMs'
  | 'partition'
  | 'partition and its end'
  | 'a long partition'
  | 'a VM that freezes and wakes'
  | 'a VM that joins'
  | 'demand at one VM'
  | 'lost datagrams';

/** Servers and load of a simulation. */
export interface ColdLoad {
  readonly seed: number;
  readonly kind: 'plain' | 'engine';
  /** Requests per second that a cold server takes. */
  readonly perSecond: number;
  readonly failure: ColdFailure;
}

/** What the servers of a simulation have seen. */
export interface ColdResult {
  /** Calls that reached a cold server in the worst second, and how many may. */
  readonly worst: number;
  readonly allowed: number;
  /** Calls that reached cold servers as a fraction of what these take. */
  readonly use: number;
}

const SERVERS = 4;
const STEP_MS = 10;
const WINDOW_MS = 1000;

/** Time for which the fleet has run before the first request, in milliseconds. */
const WARM_UP_MS = 5000;

/** When the servers become cold, and until when, in milliseconds since the first request. */
const COLD_FROM_MS = 2000;
const COLD_UNTIL_MS = 12_000;

/** Time until the VMs that read the store know that a server is cold, in milliseconds. */
const READ_MS = 400;

/** When the failure begins and ends, in milliseconds since the first request. */
const FAILURE_FROM_MS = 4000;
const FAILURE_UNTIL_MS = 7500;

/** Time after which the VMs of a partition have given each other up, in milliseconds. */
const LONG_PARTITION_MS = 14_000;

/** Bounds of the time from a reservation to its request, in milliseconds. */
const PREFILL_MS = [60, 500] as const;

/** Requests to warm servers, and later to cold ones, as a multiple of what these take. */
const WARM_LOAD = 0.5;
const COLD_LOAD = 4;

/** First one of the VMs that read the store; the one before it is frozen. */
const FIRST_READER = 1;
const READERS = 3;

/** Sends requests to servers that become cold, through the VMs of a fleet that callers may use. */
class ColdSimulation {
  private readonly random;

  private readonly servers: readonly CatalogServer[];

  private readonly calls = new Map<string, number[]>();

  private later: { readonly dueMs: number; readonly run: () => void }[] = [];

  private startMs = 0;

  constructor(
    private readonly simulation: FleetSimulation,
    private readonly load: ColdLoad,
  ) {
    this.random = xoroshiro128plus(load.seed);
    this.servers = Array.from({ length: SERVERS }, (_, index) =>
      createCatalogServer({
        id: `i-${index}`,
        ...(load.kind === 'engine' ? { stage: 'decode' } : {}),
      }),
    );
  }

  async run(): Promise<ColdResult> {
    const { simulation, load, servers } = this;
    Object.assign(simulation, { coldRate: { coldMs: 3000, perSecond: load.perSecond } });
    this.know();
    await simulation.advance(WARM_UP_MS);
    if (load.failure === 'a long partition') {
      simulation.split(Math.ceil(simulation.vms.length / 2));
      await simulation.advance(LONG_PARTITION_MS);
    }
    this.startMs = simulation.clock.monotonicMs();
    this.schedule();
    let due = 0;
    while (this.nowMs < COLD_UNTIL_MS) {
      const events = this.later.filter(({ dueMs }) => dueMs <= this.nowMs);
      this.later = this.later.filter(({ dueMs }) => dueMs > this.nowMs);
      events.forEach(({ run }) => run());
      const isKnown = this.nowMs > COLD_FROM_MS + 2000;
      const callsPerSecond = (isKnown ? COLD_LOAD : WARM_LOAD) * load.perSecond * servers.length;
      for (due += (callsPerSecond * STEP_MS) / 1000; due >= 1; due -= 1) this.send();
      await simulation.advance(STEP_MS, STEP_MS);
    }
    return this.summarize();
  }

  private get nowMs(): number {
    return this.simulation.clock.monotonicMs() - this.startMs;
  }

  private at(dueMs: number, run: () => void): void {
    this.later.push({ dueMs, run });
  }

  /** Gives all VMs the entries of the servers. */
  private know(): void {
    this.simulation.liveVms.forEach(({ catalog }) => catalog.replace(this.servers, 0));
  }

  private schedule(): void {
    const { simulation, load } = this;
    const { failure } = load;
    const readers = simulation.vms.slice(FIRST_READER, FIRST_READER + READERS);
    for (let ms = COLD_FROM_MS + READ_MS; ms < COLD_UNTIL_MS; ms += READ_MS) {
      this.at(ms, () => this.readStore(failure.includes('partition')));
    }
    if (failure.startsWith('partition')) {
      this.at(FAILURE_FROM_MS, () => simulation.split(Math.ceil(simulation.vms.length / 2)));
      if (failure !== 'partition') this.at(FAILURE_UNTIL_MS, () => simulation.split(undefined));
    }
    if (failure === 'a VM that freezes and wakes') {
      // It misses the news that servers are cold.
      this.at(COLD_FROM_MS - 500, () => simulation.split(1));
      this.at(FAILURE_FROM_MS, () => simulation.split(undefined));
    }
    if (failure === 'restart of all VMs')
      this.at(FAILURE_FROM_MS, () => {
        void Promise.all(simulation.liveVms.map((vm) => simulation.replace(vm)));
        this.at(FAILURE_FROM_MS + STEP_MS, () => this.know());
      });
    if (failure === 'a VM that joins')
      this.at(FAILURE_FROM_MS, () => {
        void simulation.add(simulation.vms.length);
        this.at(FAILURE_FROM_MS + STEP_MS, () => this.know());
      });
    if (failure === 'lost datagrams') Object.assign(simulation, { lossShare: 0.5 });
    if (readers.length === 0) this.at(COLD_FROM_MS + READ_MS, () => this.readStore(false));
  }

  /** Some VMs read the entries, on both sides of a partition. */
  private readStore(onBothSides: boolean): void {
    const { vms, clock } = this.simulation;
    const first = vms.length > FIRST_READER ? FIRST_READER : 0;
    const readers = vms.slice(first, first + READERS);
    if (onBothSides) readers.push(vms.at(-1)!);
    const coldForMs = COLD_UNTIL_MS - this.nowMs;
    readers.forEach(({ limits }) =>
      this.servers.forEach((server) =>
        limits.cold.recordEntry(server.id, { ...server, coldForMs }, clock.monotonicMs()),
      ),
    );
  }

  private chooseVm(): SimulatedVm | undefined {
    const { simulation, load, nowMs } = this;
    const { failure } = load;
    const isFrozen =
      failure === 'a VM that freezes and wakes' &&
      nowMs >= COLD_FROM_MS - 500 &&
      nowMs < FAILURE_FROM_MS;
    if (failure === 'demand at one VM') return simulation.vms.at(-1);
    const frozen = simulation.vms[0]!;
    // What a VM got while it was frozen, it sends when it wakes.
    if (!isFrozen && failure.includes('freezes') && uniformInt(this.random, 1, 3) === 1)
      return frozen;
    const entryVms = new Set(simulation.vms.at(-1)!.fleet.limitSharers.vms);
    const candidates = simulation.liveVms.filter(
      (vm) => entryVms.has(vm.name) && !(isFrozen && vm === frozen),
    );
    return candidates[uniformInt(this.random, 0, Math.max(0, candidates.length - 1))];
  }

  private send(): void {
    const vm = this.chooseVm();
    if (!vm) return;
    const { limits } = vm;
    const nowMs = () => this.simulation.clock.monotonicMs();
    const allowed = limits.select(this.servers, nowMs());
    if (allowed.length === 0) {
      void vm.fleet.borrow(this.servers).then((granted) => granted && this.sendTo(vm));
      return;
    }
    this.sendTo(vm);
  }

  private sendTo(vm: SimulatedVm): void {
    const nowMs = () => this.simulation.clock.monotonicMs();
    const allowed = vm.limits.select(this.servers, nowMs());
    if (allowed.length === 0) return;
    const server = allowed[uniformInt(this.random, 0, allowed.length - 1)]!;
    const charge = vm.limits.tryAcquire(server, nowMs())!;
    if (this.load.kind === 'plain') {
      charge.begin(nowMs());
      this.arrive(server);
      return;
    }
    this.arrive(server);
    this.at(this.nowMs + uniformInt(this.random, ...PREFILL_MS), () => {
      if (!vm.alive || !charge.mayBegin(nowMs())) {
        charge.refund();
        return;
      }
      charge.begin(nowMs());
      this.arrive(server);
    });
  }

  private arrive({ id }: CatalogServer): void {
    this.calls.set(id, [...(this.calls.get(id) ?? []), this.nowMs]);
  }

  private summarize(): ColdResult {
    const { perSecond } = this.load;
    const byServer = [...this.calls.values()].map((times) =>
      times.filter((ms) => ms >= COLD_FROM_MS),
    );
    const seconds = byServer.flatMap((times) =>
      times.map((fromMs) => times.filter((ms) => ms >= fromMs && ms < fromMs + WINDOW_MS).length),
    );
    const late = byServer.flat().filter((ms) => ms >= FAILURE_UNTIL_MS).length;
    const taken = (perSecond * SERVERS * (COLD_UNTIL_MS - FAILURE_UNTIL_MS)) / 1000;
    const allowed = COLD_TOLERANCE.factor * perSecond + COLD_TOLERANCE.requests;
    return { worst: Math.max(0, ...seconds), allowed, use: late / taken };
  }
}

/**
 * Sends requests to servers that become cold.
 *
 * @param simulation - the fleet
 * @param load - servers, requests and the failure
 * @returns what the servers saw
 */
export async function simulateColdServers(
  simulation: FleetSimulation,
  load: ColdLoad,
): Promise<ColdResult> {
  return new ColdSimulation(simulation, load).run();
}
