import type { ConfigurationState } from '../configuration/configuration.js';
import type { BackendServer, EngineServer, PlainServer } from '../domain/backend-server.js';
import type { ModelRequest } from '../domain/request.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { VmListing } from '../infrastructure/vm-list.js';
import type { Settings } from '../settings/schema.js';
import { EnginePoller } from './engine-poller.js';
import { EngineTables, type Phase } from './engine-tables.js';
import { EngineView, type LoadEstimate } from './engine-view.js';
import { FailureBackoff } from './failure-backoff.js';
import { hashPrefixes, PrefixIndex } from './prefix-index.js';
import { PrefillSpeed } from './prefill-speed.js';
import { Routing, type Assignment, type EngineLoad } from './routing.js';
import {
  selectAny,
  selectDecode,
  selectPrefill,
  type Candidate,
  type ChoiceRule,
} from './server-choice.js';

/** Time after the last choice for which loads are polled often, in milliseconds. */
const BUSY_MS = 2000;

const NO_LOAD: LoadEstimate = { slotsFree: 0, blocksFree: 0, queuedPrefillTokens: 0 };

/** Routes to a subset of the engines by reported load, own choices and cached prefixes. */
export class SubsetRouting extends Routing {
  private readonly views = new Map<string, EngineView>();

  private readonly backoffs = new Map<string, FailureBackoff>();

  private readonly speeds = new Map<string, PrefillSpeed>();

  /** Plain servers that asked for no more work, with the configuration that was in force then. */
  private readonly drained = new Map<string, BackendServer | undefined>();

  private readonly index = PrefixIndex.create();

  private readonly stopping = new AbortController();

  private leaving: ReadonlySet<string> = new Set();

  private tables: EngineTables | undefined;

  /** Monotonic time at which a model request last asked for room. */
  private askedMs = -Infinity;

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
   * @param kernel - where other services are found
   * @param settings - name and zone of this VM
   * @param clock - source of time
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
    this.followList(list.current());
    this.followConfiguration(configuration.current());
    void list.changes().forEach((listing) => this.followList(listing));
    void configuration.changes().forEach((state) => this.followConfiguration(state));
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
    const candidates = this.subset(request.model, 'decode').map((server) => this.describe(server));
    return selectDecode(candidates, { ...this.rule(excluded, suspect), blocks })?.server;
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
      this.describe(server, this.index.countCached(server.name, prefixes) * blockTokens),
    );
    const choice = selectPrefill(candidates, this.rule(excluded, suspect));
    if (choice) this.index.noteChoice(choice.name, prefixes);
    return choice?.server;
  }

  override chooseService(pool: string, excluded: ReadonlySet<string>): PlainServer | undefined {
    const servers = [...(this.state()?.servers.values() ?? [])].filter(
      (server): server is PlainServer => server.kind === 'service' && server.pool === pool,
    );
    const candidates = servers.map((server) => this.describe(server));
    return selectAny(candidates, this.rule(excluded, false))?.server;
  }

  override headroom(model: string): number {
    this.askedMs = this.clock.monotonicMs();
    const estimates = this.usable(model, 'decode').map((server) => this.estimate(server));
    return estimates
      .filter(({ blocksFree }) => blocksFree > 0)
      .reduce((sum, { slotsFree }) => sum + slotsFree, 0);
  }

  override decodeSlots(model: string): number {
    return this.usable(model, 'decode').reduce((sum, { decodeSlots }) => sum + decodeSlots, 0);
  }

  override prefillWaitMs(model: string, ownTokens = 0): number {
    const queues = this.usable(model, 'prefill').map(
      (server) => this.estimate(server).queuedPrefillTokens,
    );
    if (queues.length === 0) return 0;
    return this.speeds.get(model)?.waitMs(Math.min(...queues) + ownTokens) ?? 0;
  }

  override assign(assignment: Assignment): void {
    this.view(assignment.server).assign(assignment, this.clock.monotonicMs());
  }

  override unassign(attemptId: string, server: string, phase?: Assignment['phase']): void {
    this.views.get(server)?.unassign(attemptId, phase);
    this.notifyCapacity();
  }

  override observePrefill(attemptId: string, server: string, computedTokens: number): void {
    const measured = this.views.get(server)?.measurePrefill(attemptId, this.clock.monotonicMs());
    const engine = this.state()?.servers.get(server);
    if (!measured || engine?.kind !== 'engine') return;
    const tokens = measured.queuedAhead + computedTokens;
    engine.models.forEach((model) => this.speed(model).add(tokens, measured.elapsedMs));
  }

  override incarnation(server: string): string | undefined {
    return this.views.get(server)?.load?.incarnation;
  }

  override observe(server: string, load: EngineLoad): void {
    const view = this.view(server);
    const before = view.load;
    if (before && before.incarnation !== load.incarnation) this.forgetRun(server);
    view.observe(load, this.clock.monotonicMs());
    if (load.slotsFree > (before?.slotsFree ?? 0)) this.notifyCapacity();
  }

  override observeFailure(server: string, died: boolean): void {
    const backoff = this.backoffs.get(server) ?? FailureBackoff.create();
    this.backoffs.set(server, backoff);
    backoff.fail(this.clock.monotonicMs());
    if (died) this.index.forget(server);
  }

  override observeDraining(server: string): void {
    this.drained.set(server, this.state()?.servers.get(server));
  }

  private state(): ConfigurationState | undefined {
    return this.kernel.find('configuration').current();
  }

  private followList(listing: VmListing | undefined): void {
    const leaving = listing?.servers.filter(({ state }) => state === 'leaving') ?? [];
    this.leaving = new Set(leaving.map(({ name }) => name));
    this.tables = undefined;
  }

  private followConfiguration(state: ConfigurationState | undefined): void {
    this.tables = undefined;
    if (!state) return;
    [...this.views.keys()]
      .filter((name) => !state.servers.has(name))
      .forEach((name) => {
        this.views.delete(name);
        this.backoffs.delete(name);
        this.index.forget(name);
      });
    // An operator who changes a server's entry returns it to service.
    this.drained.forEach((server, name) => {
      if (state.servers.get(name) !== server) this.drained.delete(name);
    });
    this.notifyCapacity();
  }

  private createPoller(): EnginePoller {
    return EnginePoller.create(() => this.kernel.find('backends'), this.clock, {
      busy: () => this.clock.monotonicMs() - this.askedMs < BUSY_MS,
      engines: () => this.listEngines(),
      reportedMs: (server) => this.views.get(server)?.reportedMs ?? -Infinity,
      prefillEngines: () => [...this.allEngines('prefill').values()],
      lastSequence: (server) => this.index.lastSequence(server),
      loaded: (server, load) => this.observe(server, load),
      cached: (server, events) => this.index.apply(server, events),
    });
  }

  private listEngines(): readonly EngineServer[] {
    const engines = new Map([...this.allEngines('prefill'), ...this.allEngines('decode')]);
    return [...engines.values()];
  }

  private allEngines(phase: Phase): ReadonlyMap<string, EngineServer> {
    return this.openTables()?.all(phase) ?? new Map();
  }

  private subset(model: string, phase: Phase): readonly EngineServer[] {
    return this.openTables()?.subset(model, phase) ?? [];
  }

  private usable(model: string, phase: Phase): readonly EngineServer[] {
    return this.subset(model, phase).filter((server) => {
      const { draining, avoided } = this.describe(server);
      return !draining && !avoided;
    });
  }

  private openTables(): EngineTables | undefined {
    const state = this.state();
    if (state) this.tables ??= EngineTables.create(state, this.settings.vm, this.leaving);
    return this.tables;
  }

  private describe<Server extends BackendServer>(
    server: Server,
    cachedTokens = 0,
  ): Candidate<Server> {
    const view = this.views.get(server.name);
    const avoided = this.backoffs.get(server.name)?.avoided(this.clock.monotonicMs()) ?? false;
    return {
      server,
      name: server.name,
      estimate: server.kind === 'engine' ? this.estimate(server) : NO_LOAD,
      draining: this.isDraining(server),
      avoided,
      ownZone: server.availabilityZone === this.settings.vm.availabilityZone,
      suspects: view?.suspects ?? 0,
      cachedTokens,
    };
  }

  private isDraining({ name, draining }: BackendServer): boolean {
    const reported = this.views.get(name)?.load?.draining ?? false;
    return draining || reported || this.leaving.has(name) || this.drained.has(name);
  }

  private rule(excluded: ReadonlySet<string>, suspect: boolean): ChoiceRule {
    const state = this.state();
    const affinityTokens = state?.presets.get(state.presetInForce)?.affinityTokens ?? 0;
    return { excluded, suspect, blocks: 0, affinityTokens, random: this.random };
  }

  private estimate(server: EngineServer): LoadEstimate {
    return this.view(server.name).estimate(server);
  }

  private view(server: string): EngineView {
    const known = this.views.get(server);
    if (known) return known;
    const created = EngineView.create();
    this.views.set(server, created);
    return created;
  }

  private speed(model: string): PrefillSpeed {
    const known = this.speeds.get(model);
    if (known) return known;
    const created = PrefillSpeed.create();
    this.speeds.set(model, created);
    return created;
  }

  private forgetRun(server: string): void {
    this.backoffs.get(server)?.clear();
    this.index.forget(server);
  }

  private notifyCapacity(): void {
    this.kernel.find('admission').capacityChanged();
  }
}
