import type { ConfigurationState } from '../configuration/configuration.js';
import type { BackendServer, EngineServer, PlainServer } from '../domain/backend-server.js';
import type { ModelRequest } from '../domain/request.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { VmListing } from '../infrastructure/vm-list.js';
import type { Settings } from '../settings/schema.js';
import { EnginePoller } from './engine-poller.js';
import { EngineSubsets, type Phase } from './engine-subsets.js';
import { EngineLoadTracker, type LoadEstimate } from './engine-load-tracker.js';
import { FailureBackoff } from './failure-backoff.js';
import { hashPrefixes, PrefixIndex } from './prefix-index.js';
import { PrefillThroughput } from './prefill-throughput.js';
import { Routing, type Assignment, type EngineLoad } from './routing.js';
import {
  selectRandom,
  selectDecode,
  selectPrefill,
  type Candidate,
  type SelectionCriteria,
} from './server-selection.js';

/** Time after the last capacity query during which loads are polled on every tick. */
const BUSY_PERIOD_MS = 2000;

const ZERO_ESTIMATE: LoadEstimate = { slotsFree: 0, blocksFree: 0, queuedPrefillTokens: 0 };

/**
 * Routes to a subset of the engines by reported load, this VM's own assignments and cached
 * prefixes.
 */
export class SubsetRouting extends Routing {
  private readonly loadTrackers = new Map<string, EngineLoadTracker>();

  private readonly backoffs = new Map<string, FailureBackoff>();

  private readonly prefillThroughputs = new Map<string, PrefillThroughput>();

  /** Plain servers that announced draining, with their configuration entry at that time. */
  private readonly drainingServices = new Map<string, BackendServer | undefined>();

  private readonly prefixIndex = PrefixIndex.create();

  private readonly stopping = new AbortController();

  /** Names of servers that the VM list reports as leaving. */
  private leaving: ReadonlySet<string> = new Set();

  private engineSubsets: EngineSubsets | undefined;

  /** Monotonic time at which the headroom of a model was last queried, in milliseconds. */
  private lastCapacityQueryMs = -Infinity;

  private constructor(
    private readonly kernel: Kernel,
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    super();
  }

  /**
   * Creates the service.
   *
   * @param kernel - registry for looking up other services
   * @param settings - settings with the name and availability zone of this VM
   * @param clock - time source
   * @param random - random numbers from 0 up to, not including, 1
   * @returns a new service
   */
  static create(
    kernel: Kernel,
    settings: Settings,
    clock: Clock,
    random: () => number = Math.random,
  ): SubsetRouting {
    return new SubsetRouting(kernel, settings, clock, random);
  }

  override async start(): Promise<void> {
    const list = this.kernel.find('vm-list');
    const configuration = this.kernel.find('configuration');
    this.applyVmList(list.current());
    this.applyConfiguration(configuration.current());
    void list.changes().forEach((listing) => this.applyVmList(listing));
    void configuration.changes().forEach((state) => this.applyConfiguration(state));
    void this.createPoller().run(this.stopping.signal);
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
  }

  override chooseDecode(
    request: ModelRequest,
    blocks: number,
    excluded: ReadonlySet<string>,
    suspect: boolean,
  ): EngineServer | undefined {
    const candidates = this.subset(request.model, 'decode').map((server) =>
      this.toCandidate(server),
    );
    return selectDecode(candidates, { ...this.criteria(excluded, suspect), blocks })?.server;
  }

  override choosePrefill(
    request: ModelRequest,
    excluded: ReadonlySet<string>,
    suspect: boolean,
  ): EngineServer | undefined {
    const model = this.state()?.models.get(request.model);
    const blockTokens = model?.kvBlockTokens ?? 1;
    const prefixes = model ? hashPrefixes(request.prompt, blockTokens * model.bytesPerToken) : [];
    const candidates = this.subset(request.model, 'prefill').map((server) =>
      this.toCandidate(server, this.prefixIndex.countCached(server.name, prefixes) * blockTokens),
    );
    const choice = selectPrefill(candidates, this.criteria(excluded, suspect));
    if (choice) this.prefixIndex.recordPrefill(choice.name, prefixes);
    return choice?.server;
  }

  override chooseService(pool: string, excluded: ReadonlySet<string>): PlainServer | undefined {
    const servers = [...(this.state()?.servers.values() ?? [])].filter(
      (server): server is PlainServer => server.kind === 'service' && server.pool === pool,
    );
    const candidates = servers.map((server) => this.toCandidate(server));
    return selectRandom(candidates, this.criteria(excluded, false))?.server;
  }

  override headroom(model: string): number {
    this.lastCapacityQueryMs = this.clock.monotonicMs();
    const estimates = this.usableEngines(model, 'decode').map((server) => this.estimate(server));
    return estimates
      .filter(({ blocksFree }) => blocksFree > 0)
      .reduce((sum, { slotsFree }) => sum + slotsFree, 0);
  }

  override decodeSlots(model: string): number {
    return this.usableEngines(model, 'decode').reduce(
      (sum, { decodeSlots }) => sum + decodeSlots,
      0,
    );
  }

  override prefillWaitMs(model: string, ownTokens = 0): number {
    const queues = this.usableEngines(model, 'prefill').map(
      (server) => this.estimate(server).queuedPrefillTokens,
    );
    if (queues.length === 0) return 0;
    return this.prefillThroughputs.get(model)?.waitMs(Math.min(...queues) + ownTokens) ?? 0;
  }

  override assign(assignment: Assignment): void {
    this.loadTracker(assignment.server).assign(assignment, this.clock.monotonicMs());
  }

  override unassign(attemptId: string, server: string, phase?: Assignment['phase']): void {
    this.loadTrackers.get(server)?.unassign(attemptId, phase);
    this.notifyCapacity();
  }

  override observePrefill(attemptId: string, server: string, computedTokens: number): void {
    const measured = this.loadTrackers
      .get(server)
      ?.measurePrefill(attemptId, this.clock.monotonicMs());
    const engine = this.state()?.servers.get(server);
    if (!measured || engine?.kind !== 'engine') return;
    const tokens = measured.queuedAhead + computedTokens;
    engine.models.forEach((model) =>
      this.prefillThroughput(model).addSample(tokens, measured.elapsedMs),
    );
  }

  override incarnation(server: string): string | undefined {
    return this.loadTrackers.get(server)?.lastLoad?.incarnation;
  }

  override observeLoad(server: string, load: EngineLoad): void {
    const tracker = this.loadTracker(server);
    const previous = tracker.lastLoad;
    if (previous && previous.incarnation !== load.incarnation) this.resetServer(server);
    tracker.observeLoad(load, this.clock.monotonicMs());
    if (load.slotsFree > (previous?.slotsFree ?? 0)) this.notifyCapacity();
  }

  override observeFailure(server: string, died: boolean): void {
    const backoff = this.backoffs.get(server) ?? FailureBackoff.create();
    this.backoffs.set(server, backoff);
    backoff.recordFailure(this.clock.monotonicMs());
    if (died) this.prefixIndex.removeServer(server);
  }

  override observeDraining(server: string): void {
    this.drainingServices.set(server, this.state()?.servers.get(server));
  }

  private state(): ConfigurationState | undefined {
    return this.kernel.find('configuration').current();
  }

  private applyVmList(listing: VmListing | undefined): void {
    const leaving = listing?.servers.filter(({ state }) => state === 'leaving') ?? [];
    this.leaving = new Set(leaving.map(({ name }) => name));
    this.engineSubsets = undefined;
  }

  private applyConfiguration(state: ConfigurationState | undefined): void {
    this.engineSubsets = undefined;
    if (!state) return;
    [...this.loadTrackers.keys()]
      .filter((name) => !state.servers.has(name))
      .forEach((name) => {
        this.loadTrackers.delete(name);
        this.backoffs.delete(name);
        this.prefixIndex.removeServer(name);
      });
    // A changed entry means that an operator has returned the server to service.
    this.drainingServices.forEach((server, name) => {
      if (state.servers.get(name) !== server) this.drainingServices.delete(name);
    });
    this.notifyCapacity();
  }

  private createPoller(): EnginePoller {
    return EnginePoller.create(() => this.kernel.find('backends'), this.clock, {
      isBusy: () => this.clock.monotonicMs() - this.lastCapacityQueryMs < BUSY_PERIOD_MS,
      engines: () => this.allEngines(),
      lastReportMs: (server) => this.loadTrackers.get(server)?.lastReportMs ?? -Infinity,
      prefillEngines: () => [...this.enginesOf('prefill').values()],
      lastCacheSequence: (server) => this.prefixIndex.lastSequence(server),
      onLoad: (server, load) => this.observeLoad(server, load),
      onCacheEvents: (server, events) => this.prefixIndex.apply(server, events),
    });
  }

  private allEngines(): readonly EngineServer[] {
    const engines = new Map([...this.enginesOf('prefill'), ...this.enginesOf('decode')]);
    return [...engines.values()];
  }

  private enginesOf(phase: Phase): ReadonlyMap<string, EngineServer> {
    return this.currentSubsets()?.getAll(phase) ?? new Map();
  }

  private subset(model: string, phase: Phase): readonly EngineServer[] {
    return this.currentSubsets()?.get(model, phase) ?? [];
  }

  private usableEngines(model: string, phase: Phase): readonly EngineServer[] {
    return this.subset(model, phase).filter((server) => {
      const { draining, avoided } = this.toCandidate(server);
      return !draining && !avoided;
    });
  }

  private currentSubsets(): EngineSubsets | undefined {
    const state = this.state();
    if (state) this.engineSubsets ??= EngineSubsets.create(state, this.settings.vm, this.leaving);
    return this.engineSubsets;
  }

  private toCandidate<Server extends BackendServer>(
    server: Server,
    cachedTokens = 0,
  ): Candidate<Server> {
    const tracker = this.loadTrackers.get(server.name);
    const avoided = this.backoffs.get(server.name)?.isActive(this.clock.monotonicMs()) ?? false;
    return {
      server,
      name: server.name,
      estimate: server.kind === 'engine' ? this.estimate(server) : ZERO_ESTIMATE,
      draining: this.isDraining(server),
      avoided,
      ownZone: server.availabilityZone === this.settings.vm.availabilityZone,
      suspects: tracker?.suspects ?? 0,
      cachedTokens,
    };
  }

  private isDraining({ name, draining }: BackendServer): boolean {
    const reported = this.loadTrackers.get(name)?.lastLoad?.draining ?? false;
    return draining || reported || this.leaving.has(name) || this.drainingServices.has(name);
  }

  private criteria(excluded: ReadonlySet<string>, suspect: boolean): SelectionCriteria {
    const state = this.state();
    const affinityTokens = state?.presets.get(state.presetInForce)?.affinityTokens ?? 0;
    return { excluded, suspect, blocks: 0, affinityTokens, random: this.random };
  }

  private estimate(server: EngineServer): LoadEstimate {
    return this.loadTracker(server.name).estimate(server);
  }

  private loadTracker(server: string): EngineLoadTracker {
    const existing = this.loadTrackers.get(server);
    if (existing) return existing;
    const created = EngineLoadTracker.create();
    this.loadTrackers.set(server, created);
    return created;
  }

  private prefillThroughput(model: string): PrefillThroughput {
    const existing = this.prefillThroughputs.get(model);
    if (existing) return existing;
    const created = PrefillThroughput.create();
    this.prefillThroughputs.set(model, created);
    return created;
  }

  private resetServer(server: string): void {
    this.backoffs.get(server)?.reset();
    this.prefixIndex.removeServer(server);
  }

  private notifyCapacity(): void {
    this.kernel.find('admission').capacityChanged();
  }
}
