import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { mergeCapacityReports } from '../../src/capacity/capacity-report.js';
import { ServerCapacities } from '../../src/capacity/server-capacities.js';
import { computeRefusalProbability } from '../../src/relay/load-shedding.js';
import { ServerHealth } from '../../src/relay/server-health.js';
import { ServerLoads, type VmLoads } from '../../src/relay/server-loads.js';
import { listPlainServers, pickPlainServer } from '../../src/relay/server-picker.js';
import type { CatalogServer } from '../../src/relay/server-catalog.js';
import { createCatalogServer } from './relay-fixtures.js';

/** Policy by which a VM chooses a plain server. */
export type PlainPolicy =
  | 'relay'
  | 'relay with learned capacities'
  | 'relay without refusals'
  | 'relay without failing servers'
  | 'least loaded'
  | 'random';

/** Size and load of a simulated fleet in front of plain servers. */
export interface PlainLoad {
  readonly vms: number;
  /** Maximum age of what a VM knows of the others, in milliseconds; VMs exchange their loads this often. */
  readonly loadAgeMs: number;
  /** Arrivals relative to the capacity of the servers. */
  readonly load: number;
  readonly seed: number;
  /** Servers that fail half of their requests. */
  readonly failing?: number;
  /** Speeds of servers that differ; the load is relative to what they can do at the start. */
  readonly pace?: PlainPace;
}

/** Speeds of simulated servers. */
export interface PlainPace {
  readonly servers: number;
  /**
   * Returns the time that a request takes, relative to its work.
   *
   * @param server - position of the server
   * @param running - requests that run there, this one included
   * @param nowMs - time, in milliseconds
   * @returns factor, 1 for the usual speed
   */
  readonly slowness: (server: number, running: number, nowMs: number) => number;
  /** Server that is restarted, and when, in milliseconds. */
  readonly restart?: { readonly server: number; readonly atMs: number };
}

/** Number of requests by result. */
export interface PlainResult {
  readonly onTime: number;
  /** Sends that were rejected by a full server. */
  readonly shed: number;
  /** Requests that were refused without being sent. */
  readonly refused: number;
  /** Requests that a server failed and that could not be retried. */
  readonly failed: number;
  /** Number of requests on time by second of their arrival, and of all requests. */
  readonly onTimeBySecond: readonly number[];
  readonly arrivedBySecond: readonly number[];
  /** Number of requests sent to each server by second. */
  readonly sentBySecond: readonly (readonly number[])[];
}

interface Job {
  readonly vm: number;
  readonly arrivedMs: number;
  readonly workMs: number;
  /** Whether the request may run twice; one of three requests may. */
  readonly repeatable: boolean;
  readonly excluded: Set<string>;
  free: () => void;
}

interface Running {
  readonly job: Job;
  readonly endMs: number;
}

interface PlainServer {
  entry: CatalogServer;
  readonly fails: boolean;
  readonly running: Running[];
  readonly queue: Job[];
}

const SERVERS = 3;
const SLOTS = 6;
const QUEUE_LIMIT = 24;
const ATTEMPTS = 2;
const TARGET_MS = 193;
const END_MS = 20_000;

/** A fleet whose VMs learn the loads of the others only at intervals. */
class PlainSimulation {
  private readonly random;

  private readonly servers: PlainServer[];

  private readonly views: { loads: ServerLoads; health: ServerHealth; learned: ServerCapacities }[];

  private readonly result;

  private nowMs = 0;

  constructor(
    private readonly policy: PlainPolicy,
    private readonly load: PlainLoad,
  ) {
    this.random = xoroshiro128plus(load.seed);
    const count = load.pace?.servers ?? SERVERS;
    const createSeconds = () => Array.from({ length: END_MS / 1000 }, () => 0);
    this.result = {
      ...{ onTime: 0, shed: 0, refused: 0, failed: 0 },
      onTimeBySecond: createSeconds(),
      arrivedBySecond: createSeconds(),
      sentBySecond: Array.from({ length: count }, createSeconds),
    };
    this.servers = Array.from({ length: count }, (_, index) => ({
      entry: createCatalogServer({ id: `s${index}`, slots: SLOTS, availabilityZone: `z${index}` }),
      fails: index < (load.failing ?? 0),
      running: [],
      queue: [],
    }));
    this.views = Array.from({ length: load.vms }, () => ({
      loads: ServerLoads.create(),
      health: ServerHealth.create(),
      learned: ServerCapacities.create({
        list: () => this.servers.map(({ entry }) => entry),
        isDown: () => false,
      }),
    }));
  }

  run(): PlainResult {
    const speeds = this.servers.map((_, index) => 1 / this.slowness(index, SLOTS));
    const perMs = (this.load.load * SLOTS * speeds.reduce((sum, each) => sum + each, 0)) / 43;
    for (this.nowMs = 0; this.nowMs < END_MS; this.nowMs += 1) {
      this.restartServer();
      if (this.nowMs % this.load.loadAgeMs === 0) this.exchangeLoads();
      this.servers.forEach((server) => this.finish(server));
      let expected = perMs;
      while (expected > 0) {
        if (uniformInt(this.random, 0, 9999) < Math.min(1, expected) * 10_000) this.arrive();
        expected -= 1;
      }
    }
    return this.result;
  }

  private exchangeLoads(): void {
    const snapshots = this.views.map(({ loads }): VmLoads => new Map(loads.ownLoads));
    if (this.learns) this.exchangeCapacities();
    this.views.forEach(({ loads }, vm) => {
      snapshots.forEach((snapshot, other) => {
        if (other !== vm) loads.update(`vm-${other}`, snapshot);
      });
    });
  }

  /** Passes on what the VMs have learned as hubs do: summed by group, without the work of the receiver. */
  private exchangeCapacities(): void {
    const groups = Math.ceil(Math.sqrt(this.views.length));
    const reports = this.views.map(({ learned }) => learned.reports(this.nowMs));
    const sumGroup = (group: number, except?: number) =>
      mergeCapacityReports(reports.filter((_, vm) => vm % groups === group && vm !== except));
    const sums = Array.from({ length: groups }, (_, group) => sumGroup(group));
    this.views.forEach(({ learned }, vm) => {
      sums.forEach((sum, group) => {
        const others = vm % groups === group ? sumGroup(group, vm) : sum;
        learned.update(`hub-${group}`, others, this.nowMs);
      });
    });
  }

  private get second(): number {
    return Math.floor(this.nowMs / 1000);
  }

  private get learns(): boolean {
    return this.policy === 'relay with learned capacities';
  }

  private slowness(server: number, running: number): number {
    return this.load.pace?.slowness(server, running, this.nowMs) ?? 1;
  }

  private restartServer(): void {
    const { restart } = this.load.pace ?? {};
    if (restart?.atMs !== this.nowMs) return;
    const server = this.servers[restart.server]!;
    server.entry = { ...server.entry, startedAtMs: 2 };
  }

  private arrive(): void {
    const vm = uniformInt(this.random, 0, this.load.vms - 1);
    const workMs = uniformInt(this.random, 15, 71);
    const repeatable = uniformInt(this.random, 0, 2) === 0;
    this.result.arrivedBySecond[this.second]! += 1;
    const job = { vm, arrivedMs: this.nowMs, workMs, repeatable, excluded: new Set<string>() };
    if (this.refuses(job)) this.result.refused += 1;
    else this.send({ ...job, free: () => undefined });
  }

  private refuses(job: Pick<Job, 'vm' | 'repeatable' | 'excluded'>): boolean {
    if (!this.policy.startsWith('relay') || this.policy === 'relay without refusals') return false;
    const { loads } = this.views[job.vm]!;
    const probability = computeRefusalProbability(this.listServers(job), loads, true);
    return uniformInt(this.random, 0, 9999) < probability * 10_000;
  }

  /**
   * Lists the servers that a request may be sent to; the policy without failing servers excludes them while
   * a sound server remains.
   */
  private listServers(job: Pick<Job, 'vm' | 'repeatable' | 'excluded'>): readonly CatalogServer[] {
    const entries = this.listEntries(job.vm);
    if (this.policy !== 'relay without failing servers') {
      return listPlainServers(entries, this.describe(job));
    }
    const { health } = this.views[job.vm]!;
    const sound = entries.filter(
      ({ id }) => !health.isAvoided(id, this.nowMs) && !job.excluded.has(id),
    );
    return sound.length > 0 ? sound : entries;
  }

  private describe({ vm, repeatable, excluded }: Pick<Job, 'vm' | 'repeatable' | 'excluded'>) {
    const { loads, health, learned } = this.views[vm]!;
    const once = !repeatable || excluded.size + 1 >= ATTEMPTS;
    const availabilityZone = `z${vm % SERVERS}`;
    const facts = { loads, health, availabilityZone, nowMs: this.nowMs, repeatable: !once };
    return this.learns ? { ...facts, capacities: learned } : facts;
  }

  private listEntries(vm: number): readonly CatalogServer[] {
    const entries = this.servers.map(({ entry }) => entry);
    return this.learns ? this.views[vm]!.learned.adjust(entries, this.nowMs) : entries;
  }

  private send(job: Job): void {
    const { health } = this.views[job.vm]!;
    const id = this.choose(job);
    const server = this.servers.find(({ entry }) => entry.id === id)!;
    if (server.queue.length < QUEUE_LIMIT) {
      this.result.sentBySecond[this.servers.indexOf(server)]![this.second]! += 1;
      Object.assign(job, { free: this.hold(job, server.entry) });
      server.queue.push(job);
      this.start(server);
      return;
    }
    this.result.shed += 1;
    this.views[job.vm]!.learned.recordRefusal(server.entry, this.nowMs);
    job.excluded.add(server.entry.id);
    health.record(server.entry.id, 'full', this.nowMs);
    if (job.excluded.size < ATTEMPTS) this.send(job);
  }

  /** Adds a request to the load; when it ends, the time that it took is recorded. */
  private hold({ vm }: Job, entry: CatalogServer): () => void {
    const { loads, learned } = this.views[vm]!;
    const release = loads.add(entry.id, { running: 1 });
    const { running } = loads.totalAt(entry.id);
    const sentMs = this.nowMs;
    return () => {
      const mean = (running + loads.totalAt(entry.id).running) / 2;
      learned.recordAnswer(entry, mean, this.nowMs - sentMs, this.nowMs);
      release();
    };
  }

  private choose(job: Job): string {
    const { excluded } = job;
    const entries = this.listEntries(job.vm);
    const left = entries.filter(({ id }) => !excluded.has(id));
    if (this.policy === 'random') return left[uniformInt(this.random, 0, left.length - 1)]!.id;
    const facts = this.describe(job);
    if (this.policy.startsWith('relay')) {
      const draw = () => uniformInt(this.random, 0, 999_999) / 1_000_000;
      const allowed = this.policy.endsWith('failing servers') ? this.listServers(job) : entries;
      return pickPlainServer(allowed, excluded, facts, draw)!.id;
    }
    const order = left.map(({ id, availabilityZone }) => {
      const penalty = availabilityZone === facts.availabilityZone ? 0 : 0.1;
      const full = facts.health.isFull(id, this.nowMs) ? 1 : 0;
      return { id, score: facts.loads.totalAt(id).running / SLOTS + penalty + full };
    });
    return order.sort((a, b) => a.score - b.score)[0]!.id;
  }

  private start(server: PlainServer): void {
    const { running, queue } = server;
    const index = this.servers.indexOf(server);
    while (running.length < SLOTS && queue.length > 0) {
      const job = queue.shift()!;
      const slowness = this.slowness(index, running.length + 1);
      running.push({ job, endMs: this.nowMs + job.workMs * slowness });
    }
  }

  private finish(server: PlainServer): void {
    const ended = server.running.filter(({ endMs }) => endMs <= this.nowMs);
    ended.forEach((each) => {
      server.running.splice(server.running.indexOf(each), 1);
      each.job.free();
      if (!this.complete(server, each.job)) return;
      if (this.nowMs - each.job.arrivedMs > TARGET_MS) return;
      this.result.onTime += 1;
      this.result.onTimeBySecond[Math.floor(each.job.arrivedMs / 1000)]! += 1;
    });
    this.start(server);
  }

  /** Completes a run; a request that the server fails is sent to another server if it may run again. */
  private complete({ entry, fails }: PlainServer, job: Job): boolean {
    const { health } = this.views[job.vm]!;
    const failed = fails && uniformInt(this.random, 0, 1) === 0;
    health.record(entry.id, failed ? 'failed' : 'answered', this.nowMs);
    if (!failed) return true;
    job.excluded.add(entry.id);
    if (job.repeatable && job.excluded.size < ATTEMPTS) this.send(job);
    else this.result.failed += 1;
    return false;
  }
}

/**
 * Simulates a load on three plain servers.
 *
 * @param policy - policy by which servers are chosen
 * @param load - size of the fleet and of the load
 * @returns number of requests by result, and of sends that a full server rejected
 */
export function simulatePlain(policy: PlainPolicy, load: PlainLoad): PlainResult {
  return new PlainSimulation(policy, load).run();
}
