import type { StorePosition } from '../domain/store-position.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Service } from '../kernel/service.js';
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

/** Fencing numbers of one era of the store; more than claims are ever lost with a rollback. */
const FENCES_PER_ERA = 1_000_000;

/**
 * Computes the fencing number of a claim. It rises also when the store has come back from an older copy and
 * gives out the same offsets again.
 *
 * @param claim - position of the claim in the store
 * @returns a number from 1
 */
export function computeFence({ era, offset }: StorePosition): number {
  return era * FENCES_PER_ERA + offset + 1;
}

/** Orders engines to change their roles, on the one VM that is the commander. */
export class StageCommander extends Service {
  private timer: NodeJS.Timeout | undefined;

  private claim: StorePosition | undefined;

  private leaderSinceMs: number | undefined;

  private wantedSinceMs: number | undefined;

  private lastChangeMs = -Infinity;

  private busy = false;

  private constructor(
    private readonly kernel: Kernel,
    private readonly vm: string,
    private readonly leaseMs: number,
    private readonly clock: Clock,
  ) {
    super();
  }

  /**
   * Creates a commander; it stays inactive while another VM is the commander.
   *
   * @param kernel - provides `relay`, `fleet`, `state`, `state-store`, `upstream` and `logs`
   * @param vm - name of this VM
   * @param leaseMs - time for which a predecessor's orders may be in flight, in milliseconds
   * @param clock - source of the current time
   * @returns the commander
   */
  static create(kernel: Kernel, vm: string, leaseMs: number, clock: Clock): StageCommander {
    return new StageCommander(kernel, vm, leaseMs, clock);
  }

  override async start(): Promise<void> {
    this.timer = setInterval(() => {
      if (!this.busy) void this.check();
    }, CHECK_INTERVAL_MS);
    await Promise.resolve();
  }

  override async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.resolve();
  }

  private async check(): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    if (!this.isLeader(nowMs)) return;
    const pools = this.kernel.find('relay').configuration?.pools ?? [];
    for (const { name, engine } of pools) {
      if (!engine) continue;
      this.busy = true;
      await this.balance(name, engine, nowMs);
      this.busy = false;
    }
  }

  /**
   * Returns whether this VM is the commander: it has had rank 0 among the VMs that follow the store for a
   * full lease.
   */
  private isLeader(nowMs: number): boolean {
    const { ready, rank, storeAgeMs } = this.kernel.find('state');
    const { isDraining } = this.kernel.find('fleet');
    if (rank !== 0 || !ready || isDraining || storeAgeMs > this.leaseMs / 2) {
      this.leaderSinceMs = undefined;
      this.claim = undefined;
      return false;
    }
    this.leaderSinceMs ??= nowMs;
    return nowMs - this.leaderSinceMs >= this.leaseMs;
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
    const fence = await this.claimFence();
    if (fence === undefined || !this.isLeader(this.clock.monotonicMs())) return;
    this.lastChangeMs = this.clock.monotonicMs();
    this.wantedSinceMs = undefined;
    const outcome = await this.kernel.find('upstream').orderStage(server, stage, fence);
    const result = outcome.kind === 'ok' ? 'accepted' : outcome.failure;
    // A refused order may mean that another VM has become commander; claim a new number for the next one.
    if (outcome.kind === 'failed') this.claim = undefined;
    const reason = 'prefill and decode should reach full load together';
    const rounded = Object.fromEntries(
      Object.entries(facts).map(([name, value]) => [name, Math.round(value)]),
    );
    this.kernel.find('logs').info('role ordered', {
      ...{ server: server.id, stage, fence, result, reason },
      ...rounded,
    });
  }

  private async claimFence(): Promise<number | undefined> {
    const store = this.kernel.find('state-store');
    // A claim of an earlier era may be missing in the store, where another VM can have claimed since.
    if (this.claim && this.claim.era === store.era) return computeFence(this.claim);
    const outcome = await store.claimCommand(this.vm);
    this.claim = outcome.kind === 'ok' ? outcome.value : undefined;
    const fence = this.claim && computeFence(this.claim);
    const result = outcome.kind === 'ok' ? computeFence(outcome.value) : outcome.failure.reason;
    this.kernel.find('logs').info('command over roles claimed', { result, ...this.claim });
    return fence;
  }
}

declare module '../kernel/service.js' {
  interface Services {
    'stage-commander': StageCommander;
  }
}
