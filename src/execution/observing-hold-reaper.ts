import type { Hold, HoldFilter, HoldList } from '../backends/engine.js';
import type { ConfigurationState } from '../configuration/configuration.js';
import type { BackendServer, EngineServer } from '../domain/backend-server.js';
import { type Incarnation, formatIncarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Member } from '../membership/membership.js';
import { scoreRendezvous } from '../kernel/rendezvous.js';
import { HoldReaper } from './hold-reaper.js';

const SCAN_INTERVAL_MS = 1000;

// An attempt may hold memory at an engine before its owner has recorded the attempt.
const MIN_HOLD_AGE_MS = 3000;

/**
 * Interval between two full scans, which list all holds of an engine. They find holds whose owner
 * keeps a call open but no longer knows the attempt. At the design size a node lists 220 holds and
 * makes one call to each of their owners.
 */
const FULL_SCAN_INTERVAL_MS = 300_000;

/**
 * Interval between two full scans while the log cannot be read. A silent owner is fenced about 6 s
 * after its last heartbeat, but no member list names it during an outage, and its holds must be
 * released after 10 s.
 */
const OUTAGE_FULL_SCAN_INTERVAL_MS = 2000;

/** Time for which engines are queried for the holds of an incarnation that no longer runs. */
const GONE_OWNER_QUERY_MS = 60_000;

/** The engines that this VM observes in one epoch and configuration. */
interface ObserverAssignment {
  readonly epoch: number;
  readonly servers: ConfigurationState['servers'] | undefined;
  readonly engines: readonly EngineServer[];
}

/** Scans the holds of the engines that this VM observes, and cancels those without an owner. */
export class ObservingHoldReaper extends HoldReaper {
  private readonly stopping = new AbortController();

  private readonly scanning = new Set<string>();

  /** Cached between scans, because the selection compares every engine with every member. */
  private assignment: ObserverAssignment | undefined;

  /** Start of the last full scan of each engine. */
  private readonly lastFullScanMs = new Map<string, number>();

  /** Time at which each incarnation was first seen in the list of those that no longer run. */
  private goneSinceMs = new Map<string, number>();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {
    super();
  }

  /**
   * Creates the service.
   *
   * @param kernel - finds other services
   * @param clock - source of time
   * @returns a new service
   */
  static create(kernel: Kernel, clock: Clock): ObservingHoldReaper {
    return new ObservingHoldReaper(kernel, clock);
  }

  override async start(): Promise<void> {
    this.kernel.find('peers').handle({
      unknownAttempts: ({ attemptIds }) => ({
        incarnation: this.kernel.find('membership').self().incarnation,
        unknownAttemptIds: [...this.kernel.find('model-execution').unknownAttempts(attemptIds)],
      }),
    });
    void this.scanRepeatedly();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
  }

  override observed(): readonly string[] {
    return this.observedEngines().map((server) => server.name);
  }

  private async scanRepeatedly(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      this.observedEngines().forEach((server) => {
        void this.scanEngine(server);
      });
      await this.clock.sleep(SCAN_INTERVAL_MS, this.stopping.signal);
    }
  }

  private observedEngines(): readonly EngineServer[] {
    const { epoch, members } = this.kernel.find('membership').current();
    const servers = this.kernel.find('configuration').current()?.servers;
    if (this.assignment?.epoch === epoch && this.assignment.servers === servers) {
      return this.assignment.engines;
    }
    const self = this.kernel.find('membership').self().vm;
    const vms = members.map((member) => member.vm);
    const engines = [...(servers?.values() ?? [])]
      .filter(isEngine)
      .filter((server) => selectObserver(server, vms) === self);
    this.assignment = { epoch, servers, engines };
    return engines;
  }

  private async scanEngine(server: EngineServer): Promise<void> {
    if (this.scanning.has(server.name)) return;
    this.scanning.add(server.name);
    try {
      const startedMs = this.clock.monotonicMs();
      const filter = this.createFilter(server, startedMs);
      const outcome = await this.kernel.find('backends').engine(server).holds(filter);
      if (outcome.kind === 'failed') return;
      if (!filter) this.lastFullScanMs.set(server.name, startedMs);
      await this.cancelOrphans(server, outcome.value);
    } finally {
      this.scanning.delete(server.name);
    }
  }

  /** Creates the filter of a scan; undefined for a full scan, in which the engine lists all holds. */
  private createFilter({ name }: EngineServer, nowMs: number): HoldFilter | undefined {
    const gone = this.kernel.find('membership').recentlyRemoved();
    const sinceMs = nowMs - (this.lastFullScanMs.get(name) ?? -Infinity);
    if (sinceMs >= (gone ? FULL_SCAN_INTERVAL_MS : OUTAGE_FULL_SCAN_INTERVAL_MS)) return undefined;
    return { idleMs: MIN_HOLD_AGE_MS, gone: gone ? this.selectNewlyGone(gone, nowMs) : [] };
  }

  private selectNewlyGone(gone: readonly Incarnation[], nowMs: number): readonly Incarnation[] {
    const firstMs = (owner: Incarnation) => this.goneSinceMs.get(formatIncarnation(owner)) ?? nowMs;
    this.goneSinceMs = new Map(gone.map((owner) => [formatIncarnation(owner), firstMs(owner)]));
    return gone.filter((owner) => nowMs - firstMs(owner) < GONE_OWNER_QUERY_MS);
  }

  private async cancelOrphans(server: EngineServer, { holds }: HoldList): Promise<void> {
    const groups = new Map<string, Hold[]>();
    holds.forEach((hold) => {
      const key = formatIncarnation(hold.owner);
      groups.set(key, [...(groups.get(key) ?? []), hold]);
    });
    await Promise.all(
      [...groups.values()].map((group) => this.cancelOrphansOfOwner(server, group)),
    );
  }

  private async cancelOrphansOfOwner(server: EngineServer, holds: readonly Hold[]): Promise<void> {
    const owner = holds[0]?.owner;
    if (!owner) return;
    const orphans = await this.selectOrphans(owner, holds);
    const attempts = new Set(orphans.map((hold) => hold.attemptId));
    await Promise.all([...attempts].map((attemptId) => this.cancel(server, attemptId, owner)));
  }

  private async selectOrphans(
    owner: Incarnation,
    holds: readonly Hold[],
  ): Promise<readonly Hold[]> {
    const membership = this.kernel.find('membership');
    const self = membership.self();
    // This VM runs one incarnation at a time, so holds of an earlier incarnation have no owner.
    if (owner.vm === self.vm && owner.incarnation !== self.incarnation) return holds;
    if (owner.vm !== self.vm && (await membership.hasEnded(owner))) return holds;
    const old = holds.filter((hold) => hold.ageMs > MIN_HOLD_AGE_MS);
    if (old.length === 0) return [];
    const unknown = new Set(await this.findUnknownAttempts(owner, old));
    return old.filter((hold) => unknown.has(hold.attemptId));
  }

  private async findUnknownAttempts(
    owner: Incarnation,
    holds: readonly Hold[],
  ): Promise<readonly string[]> {
    const membership = this.kernel.find('membership');
    const attemptIds = [...new Set(holds.map((hold) => hold.attemptId))];
    if (owner.vm === membership.self().vm) {
      return this.kernel.find('model-execution').unknownAttempts(attemptIds);
    }
    const member = membership.current().members.find(({ vm }) => vm === owner.vm);
    return member ? this.queryMember(member, owner, attemptIds) : [];
  }

  private async queryMember(
    member: Member,
    owner: Incarnation,
    attemptIds: string[],
  ): Promise<readonly string[]> {
    const { vm, incarnation } = this.kernel.find('membership').self();
    try {
      const client = this.kernel.find('peers').client(member.peers);
      const answer = await client.unknownAttempts({ sender: { vm, incarnation }, attemptIds });
      // The answer of another incarnation says nothing about the attempts of the owner.
      return answer.incarnation === owner.incarnation ? answer.unknownAttemptIds : [];
    } catch {
      // The holds of an unreachable owner are kept until the owner is fenced.
      return [];
    }
  }

  private async cancel(server: EngineServer, attemptId: string, owner: Incarnation): Promise<void> {
    const outcome = await this.kernel.find('backends').engine(server).cancel(attemptId, owner);
    const result = outcome.kind === 'ok' ? 'released' : 'failed';
    this.kernel.find('metrics').increment('holds.cancelled', { result });
  }
}

function isEngine(server: BackendServer): server is EngineServer {
  return server.kind === 'engine';
}

function selectObserver({ name }: EngineServer, vms: readonly string[]): string | undefined {
  let best: { vm: string; score: number } | undefined;
  for (const vm of vms) {
    const score = scoreRendezvous(`observer/${name}`, vm);
    if (!best || score > best.score || (score === best.score && vm < best.vm)) best = { vm, score };
  }
  return best?.vm;
}
