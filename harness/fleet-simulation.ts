import { setImmediate as flush } from 'node:timers/promises';

import { registerFake } from './module-fakes.js';
import { Fleet } from '../src/fleet/fleet.js';
import { Kernel } from '../src/kernel/kernel.js';
import { ManualClock } from '../src/kernel/manual-clock.js';
import { Places } from '../src/places/places.js';
import { CrashLedger } from '../src/relay/crash-ledger.js';
import { ServerCapacities } from '../src/capacity/server-capacities.js';
import { PoolCosts } from '../src/relay/pool-costs.js';
import { RetryBudgets } from '../src/relay/retry-budgets.js';
import { ServerCatalog } from '../src/relay/server-catalog.js';
import { ServerHealth } from '../src/relay/server-health.js';
import type { ColdRate } from '../src/relay/cold-servers.js';
import { ServerLimits } from '../src/relay/server-limits.js';
import { ServerLoads } from '../src/relay/server-loads.js';
import { TeamRateLimiter } from '../src/relay/team-rate-limiter.js';
import { MemoryDatagrams } from './memory-datagrams.js';

/** One VM of the simulated fleet. */
export interface SimulatedVm {
  readonly name: string;
  readonly host: string;
  readonly fleet: Fleet;
  readonly loads: ServerLoads;
  readonly rateLimiter: TeamRateLimiter;
  readonly retryBudgets: RetryBudgets;
  readonly costs: PoolCosts;
  readonly capacities: ServerCapacities;
  readonly catalog: ServerCatalog;
  readonly crashes: CrashLedger;
  readonly limits: ServerLimits;
  /** Grants of places; not started. */
  readonly places: Places;
  /** Bytes of datagrams that it has sent and received. */
  bytes: number;
  alive: boolean;
  receive: (datagram: Buffer) => void;
}

/** Number of VMs with more CPU time than the others; they are the first ones. */
const LARGE_VM_COUNT = 8;

/** Maximum size of a UDP datagram over IPv4, in bytes. */
const MAX_DATAGRAM_BYTES = 65_507;

const GOLDEN_RATIO = 0.618034;

const TOLERANCE = { part: 0, tokens: 0, windowMs: 8000 };

/** Retries to one pool over the whole fleet. */
export const RETRIES = { ratio: 0.2, slack: 52, windowMs: 10_000 };

/** What cold servers may get beyond what they take. */
export const COLD_TOLERANCE = { factor: 1.5, requests: 5 };

/** Capacity of the engines of the pool `pool`. */
export const ENGINE = { slots: 12, kvTokens: 72_000 };

/** A team whose bucket hardly refills, so that its level shows the spending that was counted. */
export const FLEET_TEAM = { name: 'crew', tokensPerSecond: 0.001, burstTokens: 1e9 };

/** A team that exceeds its rate while the fleet starts. */
export const OVERLOADING_TEAM = { name: 'hot', tokensPerSecond: 30_000, burstTokens: 30_000 };

/** Simulates many VMs of a fleet in one process, with one manual clock and without a network. */
export class FleetSimulation {
  readonly clock = ManualClock.create(1_000_000);

  readonly vms: SimulatedVm[] = [];

  /** Time that datagrams take, in milliseconds. */
  delayMs = 0;

  /** Share of the datagrams that are lost, 0 to 1. */
  lossShare = 0;

  /** Rate of the cold servers of all pools; undefined when servers are never cold. */
  coldRate: ColdRate | undefined;

  private sent = 0;

  private delayed: { readonly dueMs: number; readonly run: () => void }[] = [];

  /** Number of VMs on the first side of a split. */
  private firstSide: number | undefined;

  /** Starts a fleet in which each VM knows only the first three hosts. */
  static async create(count: number): Promise<FleetSimulation> {
    const simulation = new FleetSimulation();
    for (let index = 0; index < count; index += 1) {
      await simulation.add(index);
      await simulation.advance(7);
    }
    return simulation;
  }

  /** Starts all VMs at once; 20 ms later each gets the hosts of all VMs, as from the store. */
  static async restart(count: number): Promise<FleetSimulation> {
    const simulation = new FleetSimulation();
    for (let index = 0; index < count; index += 1) await simulation.add(index);
    await simulation.advance(20);
    const hosts = simulation.vms.map(({ host }) => host);
    simulation.vms.forEach(({ fleet }) => fleet.addHosts(hosts));
    return simulation;
  }

  /** Adds a VM, or puts it in the place of one that is dead. */
  async add(index: number, place = this.vms.length): Promise<SimulatedVm> {
    const host = `10.0.${Math.floor(index / 200)}.${(index % 200) + 1}`;
    const kernel = Kernel.create();
    const options = {
      vm: `vm-${String(index).padStart(3, '0')}`,
      availabilityZone: 'a',
      host,
      callers: { host, port: 80 },
      power: index < LARGE_VM_COUNT ? 1.35 : 0.324,
      seedHosts: ['10.0.0.1', '10.0.0.2', '10.0.0.3'],
    };
    const vm: SimulatedVm = {
      name: options.vm,
      host,
      fleet: Fleet.create(kernel, options, this.createDatagrams(host), this.clock),
      loads: ServerLoads.create(),
      rateLimiter: TeamRateLimiter.create(TOLERANCE),
      retryBudgets: RetryBudgets.create(RETRIES, this.clock.monotonicMs()),
      costs: PoolCosts.create(),
      capacities: ServerCapacities.create({ list: () => [], isDown: () => false }),
      catalog: ServerCatalog.create(),
      crashes: CrashLedger.create(() => true, createDraws(index)),
      limits: ServerLimits.create({
        sharers: () => vm.fleet.limitSharers,
        coldRate: () => this.coldRate,
        coldTolerance: COLD_TOLERANCE,
      }),
      places: Places.create(kernel, { ...options, minVms: 17 }, this.clock),
      bytes: 0,
      alive: true,
      receive: () => undefined,
    };
    vm.rateLimiter.configure([FLEET_TEAM, OVERLOADING_TEAM], this.clock.monotonicMs());
    this.registerFakes(kernel, vm);
    this.vms[place] = vm;
    await vm.fleet.start();
    return vm;
  }

  /** Kills a VM and starts a new process on its host. */
  async replace(vm: SimulatedVm): Promise<SimulatedVm> {
    Object.assign(vm, { alive: false });
    const index = this.vms.indexOf(vm);
    return this.add(index, index);
  }

  /** Drops all datagrams between the first VMs and the others; undefined heals the fleet. */
  split(first: number | undefined): void {
    this.firstSide = first;
  }

  /** Finds a VM by its host. */
  findByHost(host: string): SimulatedVm | undefined {
    return this.vms.find((vm) => vm.host === host);
  }

  /** Delivers a datagram unless one of the VMs is dead. */
  deliver(from: string, to: string, datagram: Buffer): void {
    const [sender, receiver] = [this.findByHost(from)!, this.findByHost(to)];
    if (datagram.length > MAX_DATAGRAM_BYTES)
      throw new Error(`datagram too large: ${datagram.length} bytes`);
    if (!sender.alive || this.isCut(sender, receiver)) return;
    this.sent += 1;
    if ((this.sent * GOLDEN_RATIO) % 1 < this.lossShare) return;
    sender.bytes += datagram.length;
    if (!receiver?.alive) return;
    const run = () => {
      receiver.bytes += datagram.length;
      receiver.receive(datagram);
    };
    if (this.delayMs === 0) run();
    else this.delayed.push({ dueMs: this.clock.monotonicMs() + this.delayMs, run });
  }

  /** Advances the clock in steps. */
  async advance(ms: number, stepMs = 20): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.clock.advance(Math.min(stepMs, ms - passed));
      this.deliverDelayed();
      await flush();
    }
  }

  private deliverDelayed(): void {
    const nowMs = this.clock.monotonicMs();
    const due = this.delayed.filter(({ dueMs }) => dueMs <= nowMs);
    this.delayed = this.delayed.filter(({ dueMs }) => dueMs > nowMs);
    due.forEach(({ run }) => run());
  }

  /** VMs that have not been killed. */
  get liveVms(): SimulatedVm[] {
    return this.vms.filter(({ alive }) => alive);
  }

  private isCut(sender: SimulatedVm, receiver: SimulatedVm | undefined): boolean {
    const { firstSide } = this;
    if (firstSide === undefined || !receiver) return false;
    return this.vms.indexOf(sender) < firstSide !== this.vms.indexOf(receiver) < firstSide;
  }

  private createDatagrams(host: string): MemoryDatagrams {
    return MemoryDatagrams.create(
      (receive) => Object.assign(this.findByHost(host)!, { receive }),
      (to, datagram) => this.deliver(host, to, datagram),
    );
  }

  private registerFakes(kernel: Kernel, vm: SimulatedVm): void {
    const { loads, costs, capacities, rateLimiter, retryBudgets, catalog, crashes, limits } = vm;
    registerFake(kernel, 'relay', {
      ...{ loads, costs, capacities, rateLimiter, retryBudgets, catalog, crashes, limits },
      health: ServerHealth.create(),
      configuration: { version: 1, pools: [{ name: 'pool', engine: ENGINE }] },
      punctualWaiting: 0,
      waiting: 0,
      startsPerSecond: 0,
      dispatchWaiting: () => undefined,
    });
    registerFake(kernel, 'state', {
      ...{
        ready: true,
        reachesStore: true,
        catalogPosition: { era: 0, offset: 1 },
        catalogHash: 1,
      },
      handleAdvertisement: () => undefined,
    });
    kernel.register('fleet', vm.fleet);
    kernel.register('places', vm.places);
    registerFake(kernel, 'metrics', { increment: () => undefined, gauge: () => undefined });
    registerFake(kernel, 'logs', { info: () => undefined, warn: () => undefined });
  }
}

/** Returns a source of numbers from 0 to 1 that are spread evenly over the indexes. */
function createDraws(index: number): () => number {
  return () => (index * GOLDEN_RATIO) % 1;
}
