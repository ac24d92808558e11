import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Service } from '../kernel/service.js';
import { CommandTenure } from './command-tenure.js';
import type { EnginePool } from './relay-configuration.js';
import type { CatalogServer } from './server-catalog.js';
import { computePrefillEngines } from './stage-balance.js';

/** Interval between checks of the prefill/decode split, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** Time for which a different split must be wanted before an order is sent, in milliseconds. */
const STABILIZATION_MS = 1500;

/** Cooldown after an engine has changed its role, in milliseconds; added to the pool's role change time. */
const COOLDOWN_MS = 4000;

/** Largest fraction of a pool's engines that change their roles at once, but at least one engine. */
const MAX_CHANGED_FRACTION = 0.08;

/**
 * Orders engines to change their roles, on the one VM that is the commander: the first of those that follow
 * the store as far as this VM knows, and the one whose claim the store has.
 */
export class StageCommander extends Service {
  private readonly stopping = new AbortController();

  private readonly tenure: CommandTenure;

  /** Whether this VM was the first at the last check, too. */
  private wasFirst = false;

  private wantedSinceMs: number | undefined;

  private lastChangeMs = -Infinity;

  private constructor(
    private readonly kernel: Kernel,
    vm: string,
    private readonly leaseMs: number,
    private readonly clock: Clock,
  ) {
    super();
    this.tenure = CommandTenure.create(kernel, vm, leaseMs, clock);
  }

  /**
   * Creates a commander; it stays inactive while another VM is the commander.
   *
   * @param kernel - provides `relay`, `fleet`, `state`, `state-store`, `upstream`, `logs` and
   * `metrics`
   * @param vm - name of this VM
   * @param leaseMs - time for which a predecessor's orders may be in flight, in milliseconds
   * @param clock - source of the current time
   * @returns the commander
   */
  static create(kernel: Kernel, vm: string, leaseMs: number, clock: Clock): StageCommander {
    return new StageCommander(kernel, vm, leaseMs, clock);
  }

  override async start(): Promise<void> {
    void this.run();
    await Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.resolve();
  }

  private async run(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.clock.sleep(CHECK_INTERVAL_MS, signal);
      if (!signal.aborted) await this.check();
    }
  }

  private async check(): Promise<void> {
    const pools = this.kernel.find('relay').configuration?.pools ?? [];
    const enginePools = pools.filter(({ engine }) => engine !== undefined);
    const { wasFirst } = this;
    this.wasFirst = this.isFirst();
    if (!this.wasFirst) this.tenure.end();
    if (!this.wasFirst || !wasFirst || enginePools.length === 0) return;
    await this.tenure.begin();
    if (!this.tenure.isSettled) return;
    const nowMs = this.clock.monotonicMs();
    for (const { name, engine } of enginePools) await this.balance(name, engine!, nowMs);
  }

  /** Whether this VM is the first of those that follow the store, as far as it knows. */
  private isFirst(): boolean {
    const { ready, rank, storeAgeMs } = this.kernel.find('state');
    const { isDraining } = this.kernel.find('fleet');
    return rank === 0 && ready && !isDraining && storeAgeMs <= this.leaseMs / 2;
  }

  private async balance(pool: string, engine: EnginePool, nowMs: number): Promise<void> {
    const relay = this.kernel.find('relay');
    // Also asked while no change is possible, so that the history of the average begins with the traffic.
    const cost = relay.costs.average(pool, nowMs);
    const servers = relay.catalog.usable(pool, nowMs).filter(({ stage }) => stage !== 'both');
    const prefill = servers.filter(({ stage }) => stage === 'prefill');
    if (!cost || nowMs - this.lastChangeMs < engine.roleChangeMs + COOLDOWN_MS) return;
    const wanted = computePrefillEngines(servers.length, prefill.length, cost, engine);
    if (wanted === prefill.length) {
      this.wantedSinceMs = undefined;
      return;
    }
    this.wantedSinceMs ??= nowMs;
    if (nowMs - this.wantedSinceMs < STABILIZATION_MS) return;
    const stage = wanted > prefill.length ? 'prefill' : 'decode';
    const most = Math.max(1, Math.floor(servers.length * MAX_CHANGED_FRACTION));
    const changes = Math.min(Math.abs(wanted - prefill.length), most);
    const candidates = this.rankEngines(servers, stage, nowMs).slice(0, changes);
    for (const candidate of candidates)
      await this.orderRole(candidate, stage, { wanted, prefill: prefill.length, ...cost });
  }

  /** Ranks the healthy engines that have another role, the least loaded first. */
  private rankEngines(
    servers: readonly CatalogServer[],
    stage: 'prefill' | 'decode',
    nowMs: number,
  ): CatalogServer[] {
    const { loads, health } = this.kernel.find('relay');
    const loadOf = ({ id }: CatalogServer) => {
      const { running, prefillTokens } = loads.totalAt(id);
      return stage === 'decode' ? prefillTokens : running;
    };
    return servers
      .filter((server) => server.stage !== stage && !health.isAvoided(server.id, nowMs))
      .sort((left, right) => loadOf(left) - loadOf(right));
  }

  private async orderRole(
    server: CatalogServer,
    stage: 'prefill' | 'decode',
    facts: Readonly<Record<string, number>>,
  ): Promise<void> {
    const fence = await this.tenure.claimFence();
    if (fence === undefined || !this.isFirst()) return;
    this.lastChangeMs = this.clock.monotonicMs();
    this.wantedSinceMs = undefined;
    const outcome = await this.kernel.find('upstream').orderStage(server, stage, fence);
    const result = outcome.kind === 'ok' ? 'accepted' : outcome.failure;
    const reason = 'prefill and decode should reach full load together';
    const rounded = Object.fromEntries(
      Object.entries(facts).map(([name, value]) => [name, Math.round(value)]),
    );
    this.kernel.find('logs').info('role ordered', {
      ...{ server: server.id, stage, fence, result, reason },
      ...rounded,
    });
  }
}

declare module '../kernel/service.js' {
  interface Services {
    'stage-commander': StageCommander;
  }
}
