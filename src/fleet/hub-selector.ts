import { rankByRendezvous } from '../kernel/rendezvous.js';
import type { FleetMember } from './digest.js';
import type { PeerTable } from './peer-table.js';
import { chooseHubs } from './hub-ranking.js';

/** Time without a summary after which another hub is chosen, in milliseconds: 2.5 rounds. */
const HUB_TIMEOUT_MS = 600;

/** Time for which only the first hub is asked before all are, in milliseconds. */
const FIRST_HUB_TIMEOUT_MS = 300;

/** Time without an answer after which the hubs that were asked are suspected to be dead, in milliseconds. */
const SEARCH_TIMEOUT_MS = 700;

/** Time for which a suspected VM is excluded from the choice of hubs, in milliseconds. */
const SUSPECT_EXPIRY_MS = 10_000;

/** Time for which a VM that has dropped out of the ranked hubs still serves its reporters, in milliseconds. */
const RETIREMENT_MS = 1500;

/** Time for which a hub that answered is kept although it is not ranked, in milliseconds. */
const ADOPTION_MS = 5000;

/**
 * How a VM distributes its work state. `mesh`: to all others; `hub`: summed with that of its reporters;
 * `reporter`: to its hub; `seeking`: while it has no hub.
 */
export type FleetRole = 'mesh' | 'hub' | 'reporter' | 'seeking';

/** Decides which VMs are hubs, and to which of them this VM reports. */
export class HubSelector {
  /** VMs that did not answer as hubs, with the monotonic time until which they are excluded, in ms. */
  private readonly suspects = new Map<string, number>();

  private ranked: readonly string[] = [];

  /** Name of the hub of this VM, which may be this VM; empty without a hub. */
  private currentHub = '';

  private lastSummaryMs = 0;

  private adoptedMs = 0;

  /** Monotonic time at which this VM was last among the ranked hubs, in milliseconds. */
  private lastRankedMs = -Infinity;

  /** Monotonic time since which hubs have been asked without an answer, in milliseconds. */
  private searchStartedMs: number | undefined;

  private constructor(
    private readonly vm: string,
    private readonly peerTable: PeerTable,
  ) {}

  /**
   * Creates the selector of a VM that knows no other VM.
   *
   * @param vm - name of this VM
   * @param peerTable - the other VMs
   * @returns a selector without a hub
   */
  static create(vm: string, peerTable: PeerTable): HubSelector {
    return new HubSelector(vm, peerTable);
  }

  /** Names of the ranked hubs; empty in a small fleet. */
  get hubs(): readonly string[] {
    return this.ranked;
  }

  /** Name of this VM's hub; empty in a small fleet and while a hub is searched for. */
  get ownHub(): string {
    return this.currentHub;
  }

  /** How this VM distributes its work state. */
  get role(): FleetRole {
    if (this.ranked.length === 0) return 'mesh';
    if (this.currentHub === this.vm) return 'hub';
    return this.currentHub === '' ? 'seeking' : 'reporter';
  }

  /**
   * Ranks the hubs again and chooses the hub of this VM.
   *
   * @param self - this VM
   * @param hasReporters - whether VMs report to this VM
   * @param nowMs - monotonic time, in milliseconds
   */
  update(self: FleetMember, hasReporters: boolean, nowMs: number): void {
    this.suspects.forEach((untilMs, vm) => {
      if (untilMs < nowMs) this.suspects.delete(vm);
    });
    this.ranked = this.rank(self, nowMs);
    const isRanked = this.ranked.includes(this.vm);
    if (isRanked) this.lastRankedMs = nowMs;
    const isRetiring = hasReporters && nowMs - this.lastRankedMs < RETIREMENT_MS;
    if (this.ranked.length === 0) this.currentHub = '';
    else if (isRanked || isRetiring) this.currentHub = this.vm;
    else if (!this.shouldKeepHub(nowMs)) this.search(self, nowMs);
    if (this.currentHub !== '') this.searchStartedMs = undefined;
  }

  /**
   * Adopts a hub that answered while this VM searched for one.
   *
   * @param hub - name of the hub
   * @param nowMs - monotonic time, in milliseconds
   */
  adopt(hub: string, nowMs: number): void {
    this.currentHub = hub;
    this.adoptedMs = nowMs;
    this.lastSummaryMs = nowMs;
    this.searchStartedMs = undefined;
  }

  /**
   * Records that a VM is alive, which ends its suspicion.
   *
   * @param vm - name of the VM
   * @param nowMs - monotonic time of a summary from the current hub, in milliseconds; omitted
   *   for other messages
   */
  recordContact(vm: string, nowMs?: number): void {
    this.suspects.delete(vm);
    if (nowMs !== undefined && vm === this.currentHub) this.lastSummaryMs = nowMs;
  }

  /**
   * Lists the hubs that receive this VM's digest: its hub, or the hubs that it asks to become its hub.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns names of hubs; in a search, first the rendezvous choice for this VM's name, after
   * FIRST_HUB_TIMEOUT_MS all ranked hubs
   */
  receivers(nowMs: number): readonly string[] {
    if (this.currentHub !== '') return [this.currentHub];
    if (nowMs - (this.searchStartedMs ?? 0) > FIRST_HUB_TIMEOUT_MS) return this.ranked;
    return rankByRendezvous(this.vm, this.ranked, (hub) => hub).slice(0, 1);
  }

  private rank(self: FleetMember, nowMs: number): string[] {
    const candidates = this.peerTable.known(nowMs).filter(({ vm }) => !this.suspects.has(vm));
    return chooseHubs([self, ...candidates], this.peerTable.size(nowMs));
  }

  private shouldKeepHub(nowMs: number): boolean {
    if (this.currentHub === '' || this.currentHub === this.vm) return false;
    const isDraining = this.peerTable.find(this.currentHub, nowMs)?.draining ?? false;
    if (isDraining || nowMs - this.lastSummaryMs > HUB_TIMEOUT_MS) return false;
    return this.ranked.includes(this.currentHub) || nowMs - this.adoptedMs < ADOPTION_MS;
  }

  /** Searches for a hub. The first that answers is adopted; after a time-out the ranked hubs are suspected. */
  private search(self: FleetMember, nowMs: number): void {
    if (this.currentHub !== '') this.searchStartedMs = undefined;
    this.currentHub = '';
    this.searchStartedMs ??= nowMs;
    if (nowMs - this.searchStartedMs <= SEARCH_TIMEOUT_MS) return;
    this.ranked.forEach((hub) => this.suspects.set(hub, nowMs + SUSPECT_EXPIRY_MS));
    this.ranked = this.rank(self, nowMs);
    this.searchStartedMs = nowMs;
    if (this.ranked.includes(this.vm)) this.currentHub = this.vm;
  }
}
