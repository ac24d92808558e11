import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { computeRefusalProbability } from '../../src/relay/load-shedding.js';
import { ServerHealth } from '../../src/relay/server-health.js';
import { ServerLoads, type VmLoads } from '../../src/relay/server-loads.js';
import { listPlainServers, pickPlainServer } from '../../src/relay/server-picker.js';
import type { CatalogServer } from '../../src/relay/server-catalog.js';
import { createCatalogServer } from './relay-fixtures.js';

/** Policy by which a VM chooses a plain server. */
export type PlainPolicy =
  'relay' | 'relay without refusals' | 'relay without failing servers' | 'least loaded' | 'random';

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
  readonly entry: CatalogServer;
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

  private readonly views: { loads: ServerLoads; health: ServerHealth }[];

  private readonly result = { onTime: 0, shed: 0, refused: 0, failed: 0 };

  private nowMs = 0;

  constructor(
    private readonly policy: PlainPolicy,
    private readonly load: PlainLoad,
  ) {
    this.random = xoroshiro128plus(load.seed);
    this.servers = Array.from({ length: SERVERS }, (_, index) => ({
      entry: createCatalogServer({ id: `s${index}`, slots: SLOTS, availabilityZone: `z${index}` }),
      fails: index < (load.failing ?? 0),
      running: [],
      queue: [],
    }));
    this.views = Array.from({ length: load.vms }, () => ({
      loads: ServerLoads.create(),
      health: ServerHealth.create(),
    }));
  }

  run(): PlainResult {
    const perMs = (this.load.load * SERVERS * SLOTS) / 43;
    for (this.nowMs = 0; this.nowMs < END_MS; this.nowMs += 1) {
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
    this.views.forEach(({ loads }, vm) => {
      snapshots.forEach((snapshot, other) => {
        if (other !== vm) loads.update(`vm-${other}`, snapshot);
      });
    });
  }

  private arrive(): void {
    const vm = uniformInt(this.random, 0, this.load.vms - 1);
    const workMs = uniformInt(this.random, 15, 71);
    const repeatable = uniformInt(this.random, 0, 2) === 0;
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
    const entries = this.servers.map(({ entry }) => entry);
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
    const { loads, health } = this.views[vm]!;
    const once = !repeatable || excluded.size + 1 >= ATTEMPTS;
    const availabilityZone = `z${vm % SERVERS}`;
    return { loads, health, availabilityZone, nowMs: this.nowMs, repeatable: !once };
  }

  private send(job: Job): void {
    const { loads, health } = this.views[job.vm]!;
    const id = this.choose(job);
    const server = this.servers.find(({ entry }) => entry.id === id)!;
    if (server.queue.length < QUEUE_LIMIT) {
      Object.assign(job, { free: loads.add(server.entry.id, { running: 1 }) });
      server.queue.push(job);
      this.start(server);
      return;
    }
    this.result.shed += 1;
    job.excluded.add(server.entry.id);
    health.record(server.entry.id, 'full', this.nowMs);
    if (job.excluded.size < ATTEMPTS) this.send(job);
  }

  private choose(job: Job): string {
    const { excluded } = job;
    const entries = this.servers.map(({ entry }) => entry);
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

  private start({ running, queue }: PlainServer): void {
    while (running.length < SLOTS && queue.length > 0) {
      const job = queue.shift()!;
      running.push({ job, endMs: this.nowMs + job.workMs });
    }
  }

  private finish(server: PlainServer): void {
    const ended = server.running.filter(({ endMs }) => endMs <= this.nowMs);
    ended.forEach((each) => {
      server.running.splice(server.running.indexOf(each), 1);
      each.job.free();
      if (!this.complete(server, each.job)) return;
      if (this.nowMs - each.job.arrivedMs <= TARGET_MS) this.result.onTime += 1;
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
