import { rankByRendezvous } from '../kernel/rendezvous.js';
import type { FleetMember } from './digest.js';
import type { PeerTable } from './peer-table.js';
import { chooseHubs } from './hub-ranking.js';

/** Time without a summary after which another hub is chosen, in milliseconds: two rounds and a half. */
const HUB_TIMEOUT_MS = 600;

/** Time for which only one hub is asked, in milliseconds. */
const FIRST_HUB_TIMEOUT_MS = 300;

/** Time without an answer after which the hubs that were asked are taken for dead, in milliseconds. */
const SEARCH_TIMEOUT_MS = 700;

/** Time for which a VM is not taken for a hub after it gave no answer, in milliseconds. */
const SUSPECT_EXPIRY_MS = 10_000;

/** Time for which a VM that is no ranked hub any more still serves its reporters, in milliseconds. */
const RETIREMENT_MS = 1500;

/** Time for which a hub is kept that answered but is not among the ranked ones, in milliseconds. */
const ADOPTION_MS = 5000;

/**
 * How a VM tells the others of its work: in `mesh` to all of them, as `hub` for its reporters too, as
 * `reporter` to its hub; `seeking` while it has none.
 */
export type FleetRole = 'mesh' | 'hub' | 'reporter' | 'seeking';

/** Decides which VMs are hubs, and to which of them this VM reports. */
export class HubSelector {
  /** VMs that gave no answer as hubs, with the time until which they are not chosen. */
  private readonly suspects = new Map<string, number>();

  private ranked: readonly string[] = [];

  /** The hub of this VM, itself when it is one; empty without one. */
  private currentHub = '';

  private lastSummaryMs = 0;

  private adoptedMs = 0;

  /** When this VM was last among the ranked hubs. */
  private lastRankedMs = -Infinity;

  /** Since when hubs have been asked without an answer. */
  private searchStartedMs: number | undefined;

  private constructor(
    private readonly vm: string,
    private readonly peerTable: PeerTable,
  ) {}

  /**
   * Creates the choice of a VM that knows no other.
   *
   * @param vm - name of this VM
   * @param peerTable - the VMs that it knows
   * @returns a choice without a hub
   */
  static create(vm: string, peerTable: PeerTable): HubSelector {
    return new HubSelector(vm, peerTable);
  }

  /** Names of the hubs; none in a small fleet. */
  get hubs(): readonly string[] {
    return this.ranked;
  }

  /** Name of this VM's hub; empty in a small fleet and while one is sought. */
  get ownHub(): string {
    return this.currentHub;
  }

  /** How this VM tells the others of its work. */
  get role(): FleetRole {
    if (this.ranked.length === 0) return 'mesh';
    if (this.currentHub === this.vm) return 'hub';
    return this.currentHub === '' ? 'seeking' : 'reporter';
  }

  /**
   * Looks again at the choice.
   *
   * @param self - this VM
   * @param hasReporters - whether VMs report to it
   * @param nowMs - monotonic time
   */
  update(self: FleetMember, hasReporters: boolean, nowMs: number): void {
    this.suspects.forEach((untilMs, vm) => {
      if (untilMs < nowMs) this.suspects.delete(vm);
    });
    this.ranked = this.rank(self, nowMs);
    const isRanked = this.ranked.includes(this.vm);
    if (isRanked) this.lastRankedMs = nowMs;
    const retires = hasReporters && nowMs - this.lastRankedMs < RETIREMENT_MS;
    if (this.ranked.length === 0) this.currentHub = '';
    else if (isRanked || retires) this.currentHub = this.vm;
    else if (!this.shouldKeepHub(nowMs)) this.search(self, nowMs);
    if (this.currentHub !== '') this.searchStartedMs = undefined;
  }

  /**
   * Takes a hub that has answered while one was sought.
   *
   * @param hub - name of the hub
   * @param nowMs - monotonic time
   */
  adopt(hub: string, nowMs: number): void {
    this.currentHub = hub;
    this.adoptedMs = nowMs;
    this.lastSummaryMs = nowMs;
    this.searchStartedMs = undefined;
  }

  /**
   * Notes that a VM lives.
   *
   * @param vm - name of the VM
   * @param nowMs - monotonic time of a summary of the own hub; left out for other news
   */
  recordContact(vm: string, nowMs?: number): void {
    this.suspects.delete(vm);
    if (nowMs !== undefined && vm === this.currentHub) this.lastSummaryMs = nowMs;
  }

  /**
   * Lists the hubs that get this VM's digest: its own one, or those that are asked to be it.
   *
   * @param nowMs - monotonic time
   * @returns names of hubs; at first the one that this VM's name leads to is asked, then all
   */
  receivers(nowMs: number): readonly string[] {
    if (this.currentHub !== '') return [this.currentHub];
    if (nowMs - (this.searchStartedMs ?? 0) > FIRST_HUB_TIMEOUT_MS) return this.ranked;
    return rankByRendezvous(this.vm, this.ranked, (hub) => hub).slice(0, 1);
  }

  private rank(self: FleetMember, nowMs: number): string[] {
    const known = this.peerTable.known(nowMs).filter(({ vm }) => !this.suspects.has(vm));
    return chooseHubs([self, ...known], this.peerTable.size(nowMs));
  }

  private shouldKeepHub(nowMs: number): boolean {
    if (this.currentHub === '' || this.currentHub === this.vm) return false;
    const isDraining = this.peerTable.find(this.currentHub, nowMs)?.draining ?? false;
    if (isDraining || nowMs - this.lastSummaryMs > HUB_TIMEOUT_MS) return false;
    return this.ranked.includes(this.currentHub) || nowMs - this.adoptedMs < ADOPTION_MS;
  }

  /** Asks hubs for the fleet; the first that answers is adopted, and those that do not are left out. */
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
