import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Outcome } from '../kernel/outcome.js';
import { rankByRendezvous } from '../kernel/rendezvous.js';
import { Service } from '../kernel/service.js';
import { REANNOUNCE_MS } from '../relay/server-catalog.js';
import type { SharedState } from './peer-state.js';
import type { CatalogSnapshot, ConfigurationRead, StoreFailure } from './state-store.js';

/** What another VM has. */
export interface StateAdvertisement {
  readonly host: string;
  readonly configuration: number;
  /** End of the servers' entries that it has read. */
  readonly catalog: number;
  /** Hash of the entries that it knows. */
  readonly catalogHash: number;
}

/**
 * Longest wait of a read for the next configuration, in milliseconds. A connection that goes silent
 * meanwhile is made good by what other VMs offer.
 */
const MAX_CONFIGURATION_WAIT_MS = 3000;

/** Pause between reads of the servers' entries on the VMs that follow the store, in milliseconds. */
const CATALOG_READ_INTERVAL_MS = 400;

/** Pause between looks at whether this VM has to follow the store, in milliseconds. */
const READ_CHECK_INTERVAL_MS = 200;

/** Pause between reads of the store on the VMs that hear its news from others, in milliseconds. */
const AUDIT_INTERVAL_MS = 30_000;

/** The same while the store gives this VM no answer, in milliseconds. */
const FAILED_AUDIT_INTERVAL_MS = 5000;

/** VMs that follow the store; the others hear its news from them. */
const STORE_READERS = 3;

/** Pause after a failed call to the store, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** Time without an answer of the store that counts as an outage, in milliseconds. */
const OUTAGE_THRESHOLD_MS = 1600;

/** Time for which news of another VM is left to the store on a VM that follows it, in milliseconds. */
const ADVERTISEMENT_GRACE_MS = 300;

/** Pause between looks at the registered VMs, in milliseconds. */
const DISCOVERY_INTERVAL_MS = 20_000;

/** The same while this VM knows no other, in milliseconds. */
const DISCOVERY_RETRY_DELAY_MS = 1000;

/** Follows configuration and servers in the store, and in other VMs while the store is out. */
export class StateFollower extends Service {
  private readonly stopping = new AbortController();

  private configurationOffset: number | undefined;

  private serversOffset: number | undefined;

  private lastAnswerMs: number | undefined;

  /** True when the last call to the store brought no answer. */
  private failing = false;

  /** When a call to the store last brought no answer. */
  private lastFailureMs = -Infinity;

  /** True once the servers' entries have been read, even if their changes were missed since. */
  private hasServers = false;

  private advertisement: (StateAdvertisement & { readonly sinceMs: number }) | undefined;

  private fetching = false;

  private registered = false;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {
    super();
  }

  /**
   * Prepares a follower.
   *
   * @param kernel - where it finds `state-store`, `peer-state`, `relay`, `fleet` and `logs`
   * @param clock - time
   * @returns a follower that knows nothing yet
   */
  static create(kernel: Kernel, clock: Clock): StateFollower {
    return new StateFollower(kernel, clock);
  }

  /** True when requests can be served. */
  get ready(): boolean {
    return this.kernel.find('relay').configuration !== undefined && this.hasServers;
  }

  /** End of the servers' entries that this VM knows; -1 at first. */
  get catalogOffset(): number {
    return this.serversOffset ?? -1;
  }

  /** Hash of the servers' entries that this VM knows. */
  get catalogHash(): number {
    return this.kernel.find('relay').catalog.hash;
  }

  /** Time for which the store has not answered, in milliseconds; 0 after a good answer. */
  get storeAgeMs(): number {
    if (this.lastAnswerMs === undefined) return Infinity;
    return this.failing ? this.clock.monotonicMs() - this.lastAnswerMs : 0;
  }

  /** False while the store does not answer this VM. */
  get reachesStore(): boolean {
    return this.storeAgeMs < OUTAGE_THRESHOLD_MS;
  }

  /** Place of this VM among those that may follow the store, from 0. */
  get rank(): number {
    const { peers, vm, isDraining } = this.kernel.find('fleet');
    const { reachesStore, ready: isReady } = this;
    const self = { vm, reachesStore, draining: isDraining, ready: isReady };
    const able = [self, ...peers].filter(({ draining, ready }) => ready && !draining);
    const reaching = able.filter((candidate) => candidate.reachesStore);
    const candidates = reaching.length > 0 ? reaching : able;
    const ranked = rankByRendezvous('servers', candidates, (candidate) => candidate.vm);
    const rank = ranked.findIndex((candidate) => candidate.vm === vm);
    return rank < 0 ? candidates.length : rank;
  }

  /**
   * Gathers what this VM can give to another one.
   *
   * @param than - what the other VM has already
   * @returns what is different here
   */
  changesSince(than: Pick<StateAdvertisement, 'configuration' | 'catalogHash'>): SharedState {
    const { configuration, catalog } = this.kernel.find('relay');
    const offset = this.serversOffset;
    const isNew = (configuration?.version ?? -1) > than.configuration;
    const isOther = offset !== undefined && catalog.hash !== than.catalogHash;
    return {
      configuration: isNew ? configuration : undefined,
      catalog: isOther ? { servers: catalog.present, offset } : undefined,
      settlingMs: catalog.settlingMs(this.clock.monotonicMs()),
    };
  }

  override async start(): Promise<void> {
    void this.followConfiguration();
    void this.followServers();
    void this.discover();
    await Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.resolve();
  }

  /**
   * Takes notice of what another VM has; it is fetched when the store does not give it soon.
   *
   * @param advertisement - what the VM has
   */
  handleAdvertisement(advertisement: StateAdvertisement): void {
    const nowMs = this.clock.monotonicMs();
    if (!this.isNewer(advertisement)) return;
    if (!this.advertisement || !this.isNewer(this.advertisement))
      this.advertisement = { ...advertisement, sinceMs: nowMs };
    const graceMs = this.readsStore && !this.failing ? ADVERTISEMENT_GRACE_MS : 0;
    if (nowMs - this.advertisement.sinceMs < graceMs) return;
    void this.fetchFrom(advertisement.host);
  }

  private isNewer({ configuration, catalog, catalogHash }: StateAdvertisement): boolean {
    const version = this.kernel.find('relay').configuration?.version ?? -1;
    if (configuration > version) return true;
    if (catalog <= this.catalogOffset || catalogHash === this.catalogHash) return false;
    // A VM that reads the store itself is not told by others what it reads there.
    return this.failing || !this.readsStore;
  }

  /** True when this VM reads the store's news itself. */
  private get readsStore(): boolean {
    return this.rank < STORE_READERS;
  }

  private async fetchFrom(host: string): Promise<void> {
    if (this.fetching) return;
    this.fetching = true;
    const version = this.kernel.find('relay').configuration?.version ?? -1;
    const known = { configuration: version, catalogHash: this.catalogHash };
    const askedMs = this.clock.monotonicMs();
    const outcome = await this.kernel.find('peer-state').fetch(host, known);
    this.fetching = false;
    this.advertisement = undefined;
    const logs = this.kernel.find('logs');
    if (outcome.kind === 'failed') {
      logs.warn('a VM gave no state', { host, error: outcome.failure.message });
      return;
    }
    const { configuration, catalog, settlingMs } = outcome.value;
    if (configuration && this.kernel.find('relay').configure(configuration)) {
      logs.info('configuration in force', { version: configuration.version, source: host });
    }
    if (!catalog || catalog.offset <= this.catalogOffset) return;
    // Counted from the question on, so that the time does not grow from VM to VM.
    const nowMs = this.clock.monotonicMs();
    const leftMs = settlingMs - (nowMs - askedMs);
    if (leftMs > 0) this.kernel.find('relay').catalog.recordStoreRecovery(nowMs, leftMs);
    this.replaceServers(catalog, host);
  }

  private async followConfiguration(): Promise<void> {
    let readMs = -Infinity;
    while (!this.stopping.signal.aborted) {
      await this.waitUntilReadDue(() => this.configurationOffset === undefined, readMs);
      readMs = this.clock.monotonicMs();
      const store = this.kernel.find('state-store');
      const outcome =
        this.configurationOffset === undefined
          ? await store.newestConfiguration()
          : await store.nextConfiguration(this.configurationOffset, MAX_CONFIGURATION_WAIT_MS);
      if (outcome.kind === 'ok') this.applyConfiguration(outcome.value);
      else if (outcome.failure.reason === 'compacted') this.configurationOffset = undefined;
      await this.handleCallOutcome(
        outcome,
        this.configurationOffset === undefined ? RETRY_DELAY_MS : 0,
      );
    }
  }

  private applyConfiguration({ configuration, offset }: ConfigurationRead): void {
    this.configurationOffset = offset;
    if (!configuration || !this.kernel.find('relay').configure(configuration)) {
      if (!this.kernel.find('relay').configuration) this.configurationOffset = undefined;
      return;
    }
    const { version, routes, teams } = configuration;
    this.kernel.find('logs').info('configuration in force', {
      version,
      source: 'store',
      offset,
      routes: routes.length,
      teams: teams?.length ?? 0,
    });
  }

  private async followServers(): Promise<void> {
    let readMs = -Infinity;
    while (!this.stopping.signal.aborted) {
      await this.waitUntilReadDue(() => this.serversOffset === undefined, readMs);
      readMs = this.clock.monotonicMs();
      const outcome =
        this.serversOffset === undefined ? await this.readAllServers() : await this.readChanges();
      if (outcome.kind === 'failed' && outcome.failure.reason === 'compacted') {
        this.serversOffset = undefined;
      }
      await this.handleCallOutcome(outcome, CATALOG_READ_INTERVAL_MS);
    }
  }

  /** Waits until this VM has to read the store: it follows it, knows nothing yet, or checks it. */
  private async waitUntilReadDue(isUnknown: () => boolean, readMs: number): Promise<void> {
    for (;;) {
      const pauseMs = this.failing ? FAILED_AUDIT_INTERVAL_MS : AUDIT_INTERVAL_MS;
      const isDue = this.clock.monotonicMs() - readMs > pauseMs;
      if (isDue || isUnknown() || this.readsStore || this.stopping.signal.aborted) return;
      await this.clock.sleep(READ_CHECK_INTERVAL_MS, this.stopping.signal);
    }
  }

  private async readAllServers(): Promise<Outcome<unknown, StoreFailure>> {
    const outcome = await this.kernel.find('state-store').allServers();
    if (outcome.kind === 'ok') {
      this.recordAnswer();
      this.replaceServers(outcome.value, 'store');
    }
    return outcome;
  }

  private async readChanges(): Promise<Outcome<unknown, StoreFailure>> {
    const outcome = await this.kernel.find('state-store').serverChanges(this.serversOffset!);
    if (outcome.kind === 'failed') return outcome;
    this.recordAnswer();
    const { catalog } = this.kernel.find('relay');
    const nowMs = this.clock.monotonicMs();
    const { changes, offset } = outcome.value;
    changes.forEach((change) => {
      const before = catalog.find(change.id);
      catalog.apply(change, nowMs);
      const { server } = change;
      const same = before && server && describe(before) === describe(server);
      if (!same) this.logServerChange(change.id, server ? describe(server) : 'removed', offset);
    });
    // A peer's snapshot may have been newer than what the store said just now.
    this.serversOffset = Math.max(offset, this.serversOffset ?? 0);
    return outcome;
  }

  private replaceServers({ servers, offset }: CatalogSnapshot, source: string): void {
    this.kernel.find('relay').catalog.replace(servers, this.clock.monotonicMs());
    this.serversOffset = offset;
    this.hasServers = true;
    this.kernel.find('logs').info('servers known', { source, servers: servers.length, offset });
  }

  private logServerChange(server: string, state: string, offset: number): void {
    this.kernel.find('logs').info('server changed', { server, state, offset });
  }

  private async discover(): Promise<void> {
    const fleet = this.kernel.find('fleet');
    while (!this.stopping.signal.aborted) {
      const store = this.kernel.find('state-store');
      if (!this.registered) this.registered = (await store.register()).kind === 'ok';
      const hosts = await store.registeredHosts();
      if (hosts.kind === 'ok') fleet.addHosts(hosts.value);
      const lonely = fleet.peers.length === 0 || !this.registered;
      await this.clock.sleep(
        lonely ? DISCOVERY_RETRY_DELAY_MS : DISCOVERY_INTERVAL_MS,
        this.stopping.signal,
      );
    }
  }

  private async handleCallOutcome(
    outcome: Outcome<unknown, StoreFailure>,
    pauseMs: number,
  ): Promise<void> {
    // An answer that says "gone" is one as well.
    if (outcome.kind === 'ok' || outcome.failure.reason === 'compacted') {
      this.recordAnswer();
      if (pauseMs > 0) await this.clock.sleep(pauseMs, this.stopping.signal);
      return;
    }
    this.failing = true;
    this.lastFailureMs = this.clock.monotonicMs();
    const { reason, message } = outcome.failure;
    this.kernel.find('metrics').increment('store.failures', { reason });
    this.kernel.find('logs').warn('the store gave no answer', {
      reason,
      error: message,
      ageMs: Math.round(Math.min(1e9, this.storeAgeMs)),
    });
    await this.clock.sleep(RETRY_DELAY_MS, this.stopping.signal);
  }

  /** Notes an answer of the store; after an outage, entries may be on their way back. */
  private recordAnswer(): void {
    const { storeAgeMs } = this;
    const nowMs = this.clock.monotonicMs();
    this.lastAnswerMs = nowMs;
    this.failing = false;
    if (storeAgeMs < OUTAGE_THRESHOLD_MS || storeAgeMs === Infinity) return;
    // The store may have returned soon after the last failure; a VM that asks it seldom learns it late.
    const sinceMs = Math.max(0, nowMs - this.lastFailureMs - RETRY_DELAY_MS);
    this.kernel.find('relay').catalog.recordStoreRecovery(nowMs, REANNOUNCE_MS - sinceMs);
    this.kernel.find('logs').info('the store answers again', { ageMs: Math.round(storeAgeMs) });
  }
}

function describe({ leaving, stage, address }: CatalogSnapshot['servers'][number]): string {
  const state = leaving ? 'leaving' : 'ready';
  return `${state} ${stage ?? 'plain'} ${address.host}:${address.port}`;
}

declare module '../kernel/service.js' {
  interface Services {
    state: StateFollower;
  }
}
