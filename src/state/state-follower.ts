import { comparePositions, UNREAD, type StorePosition } from '../domain/store-position.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { EvacuationReport, Evacuations } from '../relay/evacuations.js';
import { REANNOUNCE_MS } from '../relay/server-catalog.js';
import type { SharedState } from './peer-state.js';
import type { CatalogSnapshot, ConfigurationRead, StoreFailure } from './state-store.js';
import { rankStoreReader } from './store-readers.js';

/** Versions of the state that another VM has advertised. */
export interface StateAdvertisement {
  readonly host: string;
  readonly configuration: number;
  /** Era and offset up to which it has read the server entries. */
  readonly era: number;
  readonly catalog: number;
  readonly evacuations: EvacuationReport;
  /** Hash of the server entries that it knows. */
  readonly catalogHash: number;
}

/**
 * Maximum time for which a read waits for the next configuration, in milliseconds, on a store reader and on
 * another VM. If the connection goes silent meanwhile, this VM gets the configuration from the advertisements
 * of other VMs.
 */
const READER_WAIT_MS = 3000;
const CONFIGURATION_WAIT_MS = 10_000;

/** Interval between reads of the server entries on a VM that is a store reader, in milliseconds. */
const CATALOG_READ_INTERVAL_MS = 800;

/** Interval between checks whether this VM has to read the store, in milliseconds. */
const READ_CHECK_INTERVAL_MS = 200;

/**
 * Interval between reads of the store on a VM that gets changes from other VMs, in milliseconds, in a
 * fleet of up to AUDITED_FLEET_SIZE VMs. It grows with the fleet, so that the calls to the store do not.
 */
const AUDIT_INTERVAL_MS = 30_000;

/** Size of a fleet from which on the intervals of VMs that are no store readers grow. */
const AUDITED_FLEET_SIZE = 16;

/** Interval between these reads after a failed call to the store, in milliseconds. */
const FAILED_AUDIT_INTERVAL_MS = 5000;

/** Number of VMs that are store readers; the other VMs get changes from them. */
const STORE_READERS = 6;

/**
 * Number of VMs that wait for the next configuration at the store: each VM of a small fleet, so that none depends
 * on store readers that may just have ended, and few in a large one, so that the calls do not grow with it.
 */
const CONFIGURATION_READERS = 16;

/** Maximum number of VMs whose state is fetched at once; one of them may just have ended. */
const MAX_FETCHES = 2;

/** Delay before a failed call to the store is retried, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** Time without a successful call to the store after which it counts as unavailable, in milliseconds. */
const OUTAGE_THRESHOLD_MS = 1600;

/**
 * Time for which a store reader waits to read an advertised change from the store itself before it
 * fetches the change from the other VM, in milliseconds.
 */
const ADVERTISEMENT_GRACE_MS = 300;

/** Interval between reads of the registered VMs, in milliseconds; it grows with the fleet, too. */
const DISCOVERY_INTERVAL_MS = 20_000;

/**
 * Interval between these reads while this VM knows no other VM or is not registered, in milliseconds.
 */
const DISCOVERY_RETRY_DELAY_MS = 1000;

/**
 * Keeps the configuration and the server entries up to date, from the store on the VMs that are store
 * readers, and from other VMs elsewhere or while the store is unavailable.
 */
export class StateFollower extends Service {
  private readonly stopping = new AbortController();

  private configurationPosition: StorePosition | undefined;

  private serversPosition: StorePosition | undefined;

  /** Highest era of the store that this VM has learned of; undefined before the first. */
  private knownEra: number | undefined;

  /** Monotonic time at which this VM learned that the era has risen, in milliseconds. */
  private eraSinceMs = -Infinity;

  /** Highest era in answers of the store to this VM. */
  private answeredEra = -1;

  private lastAnswerMs: number | undefined;

  /** Whether the last call to the store failed. */
  private failing = false;

  /** Monotonic time at which a call to the store last failed, in milliseconds. */
  private lastFailureMs = -Infinity;

  /** Era of the server entries that this VM knows. */
  private serversEra = 0;

  /** Whether the server entries have been read at least once, even if later changes were missed. */
  private hasServers = false;

  private advertisement: (StateAdvertisement & { readonly sinceMs: number }) | undefined;

  /** Hosts of the VMs whose state is being fetched. */
  private readonly fetching = new Set<string>();

  /** Era of the store that has the registration of this VM; undefined before the first. */
  private registeredEra: number | undefined;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {
    super();
  }

  /**
   * Creates a follower.
   *
   * @param kernel - finds `state-store`, `peer-state`, `relay`, `fleet` and `logs`
   * @param clock - source of time
   * @returns a follower that has read nothing yet
   */
  static create(kernel: Kernel, clock: Clock): StateFollower {
    return new StateFollower(kernel, clock);
  }

  /** Whether requests can be served. */
  get ready(): boolean {
    return this.kernel.find('relay').configuration !== undefined && this.hasServers;
  }

  /** Position up to which this VM knows the server entries. */
  get catalogPosition(): StorePosition {
    return this.serversPosition ?? UNREAD;
  }

  /** Hash of the server entries that this VM knows. */
  get catalogHash(): number {
    return this.kernel.find('relay').catalog.hash;
  }

  /**
   * Time since the last successful call to the store, in milliseconds; 0 unless the last call failed,
   * Infinity before the first success.
   */
  get storeAgeMs(): number {
    if (this.lastAnswerMs === undefined) return Infinity;
    return this.failing ? this.clock.monotonicMs() - this.lastAnswerMs : 0;
  }

  /** Whether the store counts as available to this VM. */
  get reachesStore(): boolean {
    return this.storeAgeMs < OUTAGE_THRESHOLD_MS;
  }

  /** Rank of this VM among the candidates for store readers, from 0. */
  get rank(): number {
    const { peers, self } = this.kernel.find('fleet');
    return rankStoreReader(self.vm, [self, ...peers]);
  }

  /**
   * Selects the state in which this VM differs from another VM.
   *
   * @param known - versions of the state that the other VM has
   * @returns the state that differs
   */
  changesSince(known: Pick<StateAdvertisement, 'configuration' | 'catalogHash'>): SharedState {
    const { configuration, catalog } = this.kernel.find('relay');
    const hasNewerConfiguration = (configuration?.version ?? -1) > known.configuration;
    const position = this.serversPosition;
    const hasOtherServers = catalog.hash !== known.catalogHash;
    return {
      configuration: hasNewerConfiguration ? configuration : undefined,
      catalog: position && hasOtherServers ? { servers: catalog.present, ...position } : undefined,
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
   * Handles an advertisement of another VM. Its state is fetched unless it can be read from the store
   * within the grace period.
   *
   * @param advertisement - versions of the state that the VM has
   */
  handleAdvertisement(advertisement: StateAdvertisement): void {
    const nowMs = this.clock.monotonicMs();
    this.learnEra(advertisement.era, advertisement.host);
    this.updateEvacuations(advertisement.host, (evacuations) =>
      evacuations.merge(advertisement.evacuations),
    );
    if (!this.isNewer(advertisement)) return;
    if (!this.advertisement || !this.isNewer(this.advertisement))
      this.advertisement = { ...advertisement, sinceMs: nowMs };
    const graceMs = this.readsStore && !this.failing ? ADVERTISEMENT_GRACE_MS : 0;
    if (nowMs - this.advertisement.sinceMs < graceMs) return;
    void this.fetchFrom(advertisement.host);
  }

  private isNewer({ configuration, era, catalog, catalogHash }: StateAdvertisement): boolean {
    const version = this.kernel.find('relay').configuration?.version ?? -1;
    if (configuration > version) return true;
    const isAhead = comparePositions({ era, offset: catalog }, this.catalogPosition) > 0;
    if (!isAhead || catalogHash === this.catalogHash) return false;
    // A store reader whose store responds reads the server entries itself.
    return this.failing || !this.readsStore;
  }

  /** Whether this VM is a store reader. */
  private get readsStore(): boolean {
    return this.rank < STORE_READERS;
  }

  /** Factor of the intervals on VMs that are no store readers. */
  private get fleetFactor(): number {
    return Math.max(1, this.kernel.find('fleet').size / AUDITED_FLEET_SIZE);
  }

  private async fetchFrom(host: string): Promise<void> {
    if (this.fetching.has(host) || this.fetching.size >= MAX_FETCHES) return;
    this.fetching.add(host);
    const version = this.kernel.find('relay').configuration?.version ?? -1;
    const known = { configuration: version, catalogHash: this.catalogHash };
    const askedMs = this.clock.monotonicMs();
    const outcome = await this.kernel.find('peer-state').fetch(host, known);
    this.fetching.delete(host);
    this.advertisement = undefined;
    const logs = this.kernel.find('logs');
    if (outcome.kind === 'failed') {
      logs.warn('could not fetch state from another VM', { host, error: outcome.failure.message });
      return;
    }
    const { configuration, catalog, settlingMs } = outcome.value;
    if (configuration && this.kernel.find('relay').configure(configuration)) {
      logs.info('configuration in force', { version: configuration.version, source: host });
    }
    if (!catalog || this.isOutdated(catalog.era)) return;
    if (comparePositions(catalog, this.catalogPosition) <= 0) return;
    // Counted from the time of the request, so that the time does not grow as it passes from VM to VM.
    const nowMs = this.clock.monotonicMs();
    const leftMs = settlingMs - (nowMs - askedMs);
    if (leftMs > 0) this.kernel.find('relay').catalog.recordStoreRecovery(nowMs, leftMs);
    this.replaceServers(catalog, host);
  }

  private async followConfiguration(): Promise<void> {
    let readMs = -Infinity;
    while (!this.stopping.signal.aborted) {
      const isUnread = () => this.configurationPosition === undefined;
      await this.waitUntilReadDue(isUnread, readMs, CONFIGURATION_READERS);
      readMs = this.clock.monotonicMs();
      const store = this.kernel.find('state-store');
      // What the store has after an offset of another era is not what follows.
      if (this.isOutdated(this.configurationPosition?.era ?? Infinity))
        this.configurationPosition = undefined;
      const outcome =
        this.configurationPosition === undefined
          ? await store.newestConfiguration()
          : await store.nextConfiguration(
              this.configurationPosition,
              this.readsStore ? READER_WAIT_MS : CONFIGURATION_WAIT_MS,
            );
      this.noteStoreEra();
      if (outcome.kind === 'ok') this.applyConfiguration(outcome.value);
      else if (isPositionLost(outcome.failure)) this.configurationPosition = undefined;
      await this.handleCallOutcome(
        outcome,
        this.configurationPosition === undefined ? RETRY_DELAY_MS : 0,
      );
    }
  }

  private applyConfiguration({ configuration, zones, position }: ConfigurationRead): void {
    const { era, offset } = position;
    // An answer that was on its way when the store came back from an older copy.
    if (this.isOutdated(era)) return;
    const isChange = this.configurationPosition !== undefined;
    this.updateEvacuations('store', (evacuations) => {
      if (isChange) evacuations.apply(zones, position);
      else evacuations.merge({ ...position, zones });
    });
    this.configurationPosition = position;
    if (!configuration || !this.kernel.find('relay').configure(configuration)) {
      if (!this.kernel.find('relay').configuration) this.configurationPosition = undefined;
      return;
    }
    const { version, routes, teams } = configuration;
    this.kernel.find('logs').info('configuration in force', {
      version,
      source: 'store',
      era,
      offset,
      routes: routes.length,
      teams: teams?.length ?? 0,
    });
  }

  /** Updates the evacuated zones, and records which of them are new and which are not evacuated any more. */
  private updateEvacuations(source: string, update: (evacuations: Evacuations) => void): void {
    const { evacuations } = this.kernel.find('relay').catalog;
    const before = evacuations.zones;
    update(evacuations);
    const after = evacuations.zones;
    const logs = this.kernel.find('logs');
    after
      .filter((zone) => !before.includes(zone))
      .forEach((zone) => logs.warn('availability zone evacuated', { zone, source }));
    before
      .filter((zone) => !after.includes(zone))
      .forEach((zone) => logs.info('availability zone in use again', { zone, source }));
  }

  private async followServers(): Promise<void> {
    let readMs = -Infinity;
    while (!this.stopping.signal.aborted) {
      await this.waitUntilReadDue(() => this.serversPosition === undefined, readMs, STORE_READERS);
      readMs = this.clock.monotonicMs();
      const outcome = this.serversPosition
        ? await this.readChanges(this.serversPosition)
        : await this.readAllServers();
      this.noteStoreEra();
      if (outcome.kind === 'failed' && isPositionLost(outcome.failure)) {
        this.serversPosition = undefined;
      }
      await this.handleCallOutcome(outcome, CATALOG_READ_INTERVAL_MS);
    }
  }

  /** Waits until this VM must read the store: as a store reader, for its first state, or as an audit. */
  private async waitUntilReadDue(
    isUnknown: () => boolean,
    readMs: number,
    readers: number,
  ): Promise<void> {
    for (;;) {
      const intervalMs = this.failing ? FAILED_AUDIT_INTERVAL_MS : AUDIT_INTERVAL_MS;
      const pauseMs = intervalMs * this.fleetFactor;
      const isDue = this.clock.monotonicMs() - readMs > pauseMs;
      const isReader = this.rank < readers;
      if (isDue || isUnknown() || isReader || this.stopping.signal.aborted) return;
      await this.clock.sleep(READ_CHECK_INTERVAL_MS, this.stopping.signal);
    }
  }

  private async readAllServers(): Promise<Outcome<unknown, StoreFailure>> {
    const outcome = await this.kernel.find('state-store').allServers();
    if (outcome.kind === 'failed') return outcome;
    this.recordAnswer();
    this.noteStoreEra();
    if (!this.isOutdated(outcome.value.era)) this.replaceServers(outcome.value, 'store');
    return outcome;
  }

  private async readChanges(since: StorePosition): Promise<Outcome<unknown, StoreFailure>> {
    const outcome = await this.kernel.find('state-store').serverChanges(since);
    if (outcome.kind === 'failed') return outcome;
    this.recordAnswer();
    this.noteStoreEra();
    if (this.isOutdated(since.era)) return outcome;
    const relay = this.kernel.find('relay');
    const { catalog } = relay;
    const nowMs = this.clock.monotonicMs();
    const { changes, position } = outcome.value;
    // Only the last entry of a server tells for how long it is cold from now on.
    relay.recordEntries([...new Map(changes.map((change) => [change.id, change])).values()]);
    changes.forEach((change) => {
      const before = catalog.find(change.id);
      catalog.apply(change, nowMs);
      const { server } = change;
      const same = before && server && describe(before) === describe(server);
      if (!same) this.logServerChange(change.id, server ? describe(server) : 'removed', position);
    });
    // A snapshot from a peer may be newer than the response of the store.
    if (comparePositions(position, this.catalogPosition) > 0) this.serversPosition = position;
    return outcome;
  }

  private replaceServers({ servers, era, offset }: CatalogSnapshot, source: string): void {
    const nowMs = this.clock.monotonicMs();
    const { catalog, limits } = this.kernel.find('relay');
    if (this.hasServers && era > this.serversEra) catalog.recordRollback(nowMs);
    catalog.replace(servers, nowMs);
    limits.cold.recordEntries(servers, source === 'store', nowMs);
    this.serversEra = era;
    this.serversPosition = { era, offset };
    this.hasServers = true;
    const facts = { source, servers: servers.length, era, offset };
    this.kernel.find('logs').info('servers known', facts);
  }

  private logServerChange(server: string, state: string, { era, offset }: StorePosition): void {
    this.kernel.find('logs').info('server changed', { server, state, era, offset });
  }

  /** Whether something is from before the store came back from an older copy. */
  private isOutdated(era: number): boolean {
    return era < (this.knownEra ?? 0);
  }

  /**
   * Acts on the era in the last answer of the store. When it has risen, positions of the last era are lost,
   * which the next read of each notices, servers announce themselves again, and so does this VM.
   */
  private noteStoreEra(): void {
    const { era = -1 } = this.kernel.find('state-store');
    if (era <= this.answeredEra) return;
    this.answeredEra = era;
    this.learnEra(era, 'store');
    const nowMs = this.clock.monotonicMs();
    const settlingMs = REANNOUNCE_MS - (nowMs - this.eraSinceMs);
    if (settlingMs > 0) this.kernel.find('relay').catalog.recordStoreRecovery(nowMs, settlingMs);
  }

  /** Records an era that the store or another VM names. */
  private learnEra(era: number, source: string): void {
    const known = this.knownEra;
    if (known !== undefined && era <= known) return;
    this.knownEra = era;
    if (known === undefined) return;
    this.eraSinceMs = this.clock.monotonicMs();
    this.kernel.find('metrics').increment('store.rollbacks');
    const facts = { source, era, known };
    this.kernel.find('logs').warn('the store has come back from an older copy', facts);
  }

  private async discover(): Promise<void> {
    const fleet = this.kernel.find('fleet');
    while (!this.stopping.signal.aborted) {
      const store = this.kernel.find('state-store');
      if (!this.isRegistered) {
        const outcome = await store.register();
        if (outcome.kind === 'ok') this.registeredEra = outcome.value;
      }
      const hosts = await store.registeredHosts();
      if (hosts.kind === 'ok') fleet.addHosts(hosts.value);
      const retrySoon = this.isAlone || !this.isRegistered;
      await this.waitUntilDiscoveryDue(retrySoon);
    }
  }

  /** Waits until the registered VMs must be read again; store readers read them more often in a large fleet. */
  private async waitUntilDiscoveryDue(retrySoon: boolean): Promise<void> {
    const pauseMs = retrySoon ? DISCOVERY_RETRY_DELAY_MS : DISCOVERY_INTERVAL_MS;
    const { signal } = this.stopping;
    const readMs = this.clock.monotonicMs();
    do {
      await this.clock.sleep(DISCOVERY_RETRY_DELAY_MS, signal);
      const isEager = retrySoon || this.readsStore || this.isAlone;
      const dueMs = readMs + pauseMs * (isEager ? 1 : this.fleetFactor);
      if (this.clock.monotonicMs() >= dueMs) return;
    } while (!signal.aborted && this.isRegistered);
  }

  /** Whether the store has the registration, as far as this VM knows. */
  private get isRegistered(): boolean {
    return this.registeredEra !== undefined && !this.isOutdated(this.registeredEra);
  }

  /** Whether this VM reaches no other one. */
  private get isAlone(): boolean {
    return this.kernel.find('fleet').peers.length === 0;
  }

  private async handleCallOutcome(
    outcome: Outcome<unknown, StoreFailure>,
    pauseMs: number,
  ): Promise<void> {
    // The loss of a position also shows that the store is available.
    if (outcome.kind === 'ok' || isPositionLost(outcome.failure)) {
      this.recordAnswer();
      if (pauseMs > 0) await this.clock.sleep(pauseMs, this.stopping.signal);
      return;
    }
    if (outcome.failure.reason === 'interrupted') return;
    this.failing = true;
    this.lastFailureMs = this.clock.monotonicMs();
    const { reason, message } = outcome.failure;
    this.kernel.find('metrics').increment('store.failures', { reason });
    this.kernel.find('logs').warn('a call to the store failed', {
      reason,
      error: message,
      ageMs: Math.round(Math.min(1e9, this.storeAgeMs)),
    });
    await this.clock.sleep(RETRY_DELAY_MS, this.stopping.signal);
  }

  /** Records a response of the store. After an outage, expired entries may still return. */
  private recordAnswer(): void {
    const { storeAgeMs } = this;
    const nowMs = this.clock.monotonicMs();
    this.lastAnswerMs = nowMs;
    this.failing = false;
    if (storeAgeMs < OUTAGE_THRESHOLD_MS || storeAgeMs === Infinity) return;
    // The store may have recovered soon after the last failure; a VM that calls it rarely notices late.
    const sinceMs = Math.max(0, nowMs - this.lastFailureMs - RETRY_DELAY_MS);
    this.kernel.find('relay').catalog.recordStoreRecovery(nowMs, REANNOUNCE_MS - sinceMs);
    this.kernel
      .find('logs')
      .info('the store is available again', { ageMs: Math.round(storeAgeMs) });
  }
}

/** Whether the store has no changes since the position of a read, so that everything must be read again. */
function isPositionLost({ reason }: StoreFailure): boolean {
  return reason === 'compacted' || reason === 'rolled-back';
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
