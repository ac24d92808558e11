import { randomBytes } from 'node:crypto';

import type { FleetMember } from '../fleet/digest.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Service } from '../kernel/service.js';
import type { CatalogServer } from '../relay/server-catalog.js';
import { chooseGranters, findGranter } from './granter-ranking.js';
import { Granter } from './granter.js';
import { PlaceAsker, type AskContent, type GranterView } from './place-asker.js';
import type { PlaceAnswer, PlaceAsk, PlaceMessage } from './place-message.js';

/** Settings of the grants of places. */
export interface PlaceOptions {
  readonly vm: string;
  readonly host: string;
  readonly availabilityZone: string;
  /** Smallest fleet, in VMs, whose places are granted; in a smaller one each VM chooses itself. */
  readonly minVms: number;
}

/** Default of {@link PlaceOptions.minVms}: every VM chooses itself unless the settings ask for grants. */
export const DEFAULT_MIN_VMS = Infinity;

/** Interval at which queues are checked and unanswered messages repeated, in milliseconds. */
const TICK_MS = 40;

/** Time for which the assignment of engines to granters is kept, in milliseconds. */
const VIEW_MS = 200;

/** Time for which a VM that is no granter any more still knows the places that it granted, in milliseconds. */
const RESIGNED_MS = 5000;

interface Assignment extends GranterView {
  /** Host by granter. */
  readonly hosts: ReadonlyMap<string, string>;
  readonly ownEngines: readonly CatalogServer[];
  readonly atMs: number;
}

interface Grants {
  readonly granter: Granter;
  /** Monotonic time at which this VM was last a granter of the pool, in milliseconds. */
  rankedMs: number;
}

/** Exchanges the messages by which a few VMs grant the places of each pool to the requests of all. */
export class Places extends Service {
  private readonly incarnation = randomBytes(6).toString('hex');

  private readonly askers = new Map<string, PlaceAsker>();

  private readonly grants = new Map<string, Grants>();

  private readonly assignments = new Map<string, Assignment>();

  private readonly stopping = new AbortController();

  private sequence = 0;

  private flushing = false;

  private constructor(
    private readonly kernel: Kernel,
    private readonly options: PlaceOptions,
    private readonly clock: Clock,
  ) {
    super();
  }

  /**
   * Creates the service of one VM.
   *
   * @param kernel - provides `fleet`, `relay` and `metrics`
   * @param options - settings
   * @param clock - source of time
   * @returns a service that has not started
   */
  static create(kernel: Kernel, options: PlaceOptions, clock: Clock): Places {
    return new Places(kernel, options, clock);
  }

  override async start(): Promise<void> {
    if (Number.isFinite(this.options.minVms)) void this.run();
    await Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.resolve();
  }

  /** Whether the places of engines are granted in this fleet. */
  get isActive(): boolean {
    return this.kernel.find('fleet').size >= this.options.minVms;
  }

  /**
   * Returns what asks for the places of a pool on behalf of this VM.
   *
   * @param pool - name of the pool
   * @returns the same instance for each call
   */
  askerOf(pool: string): PlaceAsker {
    const known = this.askers.get(pool);
    if (known) return known;
    const asker = PlaceAsker.create(() => this.assignmentOf(pool));
    this.askers.set(pool, asker);
    return asker;
  }

  /** Sends what the askers and granters of this VM have to say, once the current task has ended. */
  flush(): void {
    if (this.flushing) return;
    this.flushing = true;
    queueMicrotask(() => {
      this.flushing = false;
      this.sendAll();
    });
  }

  /**
   * Handles a message of another VM.
   *
   * @param message - the message
   */
  receive(message: PlaceMessage): void {
    const nowMs = this.clock.monotonicMs();
    if (message.kind === 'place-ask') this.receiveAsk(message, nowMs);
    else if (message.incarnation === this.incarnation)
      this.askers.get(message.pool)?.receive(message.granter, message.results, nowMs);
    this.flush();
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const nowMs = this.clock.monotonicMs();
      this.askers.forEach((asker) => {
        if (!asker.isIdle) asker.tick(nowMs);
      });
      this.grants.forEach((grants, pool) => this.tickGranter(pool, grants, nowMs));
      this.sendAll();
      await this.clock.sleep(TICK_MS, this.stopping.signal);
    }
  }

  private tickGranter(pool: string, grants: Grants, nowMs: number): void {
    const { granter } = grants;
    if (this.assignmentOf(pool).hosts.has(this.options.vm)) {
      Object.assign(grants, { rankedMs: nowMs });
      granter.tick(nowMs);
    } else granter.resign();
    granter.waiting.forEach((count, rank) =>
      this.kernel.find('metrics').gauge('places.waiting', count, { pool, rank: String(rank) }),
    );
    this.sendReplies(pool, granter);
    if (nowMs - grants.rankedMs > RESIGNED_MS) this.grants.delete(pool);
  }

  private receiveAsk(ask: PlaceAsk, nowMs: number): void {
    const { pool, asks, incarnation, host, vm } = ask;
    const isGranter = this.assignmentOf(pool).hosts.has(this.options.vm);
    const known = this.grants.get(pool);
    if (!isGranter && asks.length > 0) {
      const results = asks.map(({ id }) => ({ kind: 'declined', id }) as const);
      this.send(vm, host, this.createAnswer(pool, incarnation, results));
    }
    if (!isGranter) {
      known?.granter.receive({ ...ask, asks: [] }, nowMs);
      return;
    }
    const { granter } = known ?? this.addGranter(pool, nowMs);
    granter.receive(ask, nowMs);
    this.sendReplies(pool, granter);
  }

  private addGranter(pool: string, nowMs: number): Grants {
    const { loads, health, capacities } = this.kernel.find('relay');
    const facts = {
      servers: (atMs: number) => {
        const { ownEngines } = this.assignmentOf(pool);
        const healthy = ownEngines.filter(({ id }) => !health.isAvoided(id, atMs));
        return capacities.adjust(healthy.length > 0 ? healthy : ownEngines, atMs);
      },
      capacity: () => this.capacityOf(pool),
      reported: (server: string) => loads.totalAt(server),
    };
    const grants = { granter: Granter.create(facts, nowMs), rankedMs: nowMs };
    this.grants.set(pool, grants);
    const { size } = this.kernel.find('fleet');
    this.kernel.find('logs').info('this VM grants places of a pool', { pool, vms: size });
    return grants;
  }

  private capacityOf(pool: string) {
    const pools = this.kernel.find('relay').configuration?.pools ?? [];
    return pools.find(({ name }) => name === pool)?.engine ?? { slots: 0, kvTokens: 0 };
  }

  private sendAll(): void {
    const nowMs = this.clock.monotonicMs();
    this.askers.forEach((asker, pool) => {
      const { hosts } = this.assignmentOf(pool);
      asker.takeMessages(nowMs).forEach((content, granter) => {
        const host = hosts.get(granter) ?? this.findHost(granter);
        if (host !== undefined) this.send(granter, host, this.createAsk(pool, content));
      });
    });
    this.grants.forEach(({ granter }, pool) => this.sendReplies(pool, granter));
  }

  private sendReplies(pool: string, granter: Granter): void {
    const metrics = this.kernel.find('metrics');
    granter.takeReplies().forEach(({ vm, host, incarnation, results }) => {
      results.forEach(({ kind }) => metrics.increment(`places.${kind}`, { pool }));
      this.send(vm, host, this.createAnswer(pool, incarnation, results));
    });
  }

  private send(vm: string, host: string, message: PlaceMessage): void {
    if (vm === this.options.vm) queueMicrotask(() => this.receive(message));
    else this.kernel.find('fleet').sendPlaces(message, host);
  }

  private createAsk(pool: string, content: AskContent): PlaceAsk {
    const { vm, host, availabilityZone: zone } = this.options;
    const { incarnation } = this;
    this.sequence += 1;
    const { sequence } = this;
    return { kind: 'place-ask', vm, incarnation, host, zone, pool, sequence, ...content };
  }

  private createAnswer(
    pool: string,
    incarnation: string,
    results: PlaceAnswer['results'],
  ): PlaceAnswer {
    return { kind: 'place-answer', granter: this.options.vm, pool, incarnation, results };
  }

  private findHost(vm: string): string | undefined {
    return this.members().find((member) => member.vm === vm)?.host;
  }

  private members(): FleetMember[] {
    const { self, peers } = this.kernel.find('fleet');
    return [self, ...peers];
  }

  /** Assigns the engines of a pool to granters; without granters while places are not granted. */
  private assignmentOf(pool: string): Assignment {
    const nowMs = this.clock.monotonicMs();
    const known = this.assignments.get(pool);
    if (known && nowMs - known.atMs < VIEW_MS) return known;
    const assignment = this.assign(pool, nowMs);
    this.assignments.set(pool, assignment);
    return assignment;
  }

  private assign(pool: string, nowMs: number): Assignment {
    const engines = this.kernel
      .find('relay')
      .catalog.usable(pool, nowMs)
      .filter(({ stage }) => stage === 'decode' || stage === 'both');
    const members = this.isActive ? this.members() : [];
    const granters = chooseGranters(pool, members, engines.length);
    const owners = new Map(engines.map(({ id }) => [id, findGranter(id, granters)]));
    const hosts = members.filter(({ vm }) => granters.includes(vm));
    return {
      names: [...owners.values()].filter((granter) => granter !== undefined),
      granterOf: (server) => owners.get(server) ?? findGranter(server, granters),
      hosts: new Map(hosts.map(({ vm, host }) => [vm, host])),
      ownEngines: engines.filter(({ id }) => owners.get(id) === this.options.vm),
      atMs: nowMs,
    };
  }
}

declare module '../kernel/service.js' {
  interface Services {
    places: Places;
  }
}
