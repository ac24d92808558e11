import { randomBytes } from 'node:crypto';

import type { Address } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Service } from '../kernel/service.js';
import type { QueuesElsewhere } from '../relay/decode-queue.js';
import type { FleetContact } from '../relay/retry-budget.js';
import type { TrialPermit } from '../relay/crash-trials.js';
import type { CatalogServer } from '../relay/server-catalog.js';
import {
  COLD_WINDOW_MS,
  LIMIT_WINDOW_MS,
  LOAN_MS,
  type LimitSharers,
} from '../relay/server-limits.js';
import { scoreRendezvous } from '../kernel/rendezvous.js';
import { shuffle } from '../kernel/shuffle.js';
import { MAX_ENTRY_VMS, rankEntryVms } from './entry-vms.js';
import type { PlaceMessage } from '../places/place-message.js';
import type { Datagrams } from './datagrams.js';
import {
  encodeMessage,
  type Digest,
  type FleetMember,
  type FleetMessage,
  type FleetWork,
  type Summary,
} from './digest.js';
import { composeWork } from './own-work.js';
import { PEER_EXPIRY_MS, PeerTable, WORK_EXPIRY_MS } from './peer-table.js';
import { HubAggregator } from './hub-aggregator.js';
import { HubSelector } from './hub-selector.js';
import { MessageReader } from './message-reader.js';
import { RemoteWork } from './remote-work.js';
import { ShareLending } from './share-lending.js';
import { TrialRequests } from './trial-requests.js';

/** Identity and addresses of a VM in a fleet. */
export interface FleetOptions {
  readonly vm: string;
  readonly availabilityZone: string;
  /** IP address of this VM. */
  readonly host: string;
  /** Address to which callers connect. */
  readonly callers: Address;
  /** CPU time that this VM may use, in cores. */
  readonly power: number;
  /** IP addresses of hosts that may be members of the fleet. */
  readonly seedHosts: readonly string[];
}

/** Interval between rounds, in milliseconds; in a fleet with hubs every second round sends. */
const ROUND_INTERVAL_MS = 120;

/** Maximum number of VMs that a digest is sent to in one round while the fleet has no hubs. */
const MAX_RECEIVERS = 16;

/** Maximum number of hosts that a digest names. */
const MAX_HOSTS_PER_DIGEST = 10;

/** Rounds between digests to seeds and to other hosts that are known only by address. */
const DISCOVERY_ROUNDS = 8;

/**
 * Time after the start for which hosts known only by address count as running VMs, in milliseconds. In a
 * fleet of 64 VMs that restarts at once, all VMs have discovered each other after 2 s.
 */
const DISCOVERY_MS = 3000;

/**
 * Time after which what a VM has spent is known to the VMs that it reaches, in milliseconds: a round or two
 * without hubs; with hubs the reports to a hub, between hubs and back, and the search for another hub.
 */
const MESH_REPORT_MS = 400;
const HUB_REPORT_MS = 1500;

/**
 * Time after the start in which a VM uses no share of the limits of servers, in milliseconds: until the
 * others know it, and what they have sent before with larger shares does not count any more.
 */
const LIMIT_SHARE_DELAY_MS = HUB_REPORT_MS + LOAN_MS + LIMIT_WINDOW_MS;
const COLD_SHARE_DELAY_MS = HUB_REPORT_MS + LOAN_MS + COLD_WINDOW_MS;

/**
 * Time for which a VM that is not heard of keeps its share of the rates of cold servers, in milliseconds.
 * It may be cut off and running: these rates hold for all VMs together, whether they hear of each other or not.
 */
const LASTING_MS = 600_000;

/** Time without a message of another VM after which this VM may not know which servers are cold, in milliseconds. */
const UNINFORMED_AFTER_MS = 1200;

/** Time by which a round is late when this VM has been frozen, and after which it is up to date again. */
const FROZEN_MS = 1000;

/** Rounds between the lists of its reporters that a hub sends to the other hubs. */
const MEMBER_LIST_ROUNDS = 4;

/**
 * Exchanges state between the VMs of the fleet by datagrams. In a small fleet every VM sends its digest
 * to all others. In a larger fleet it sends it to one hub; the hubs exchange the sums of their reporters,
 * and each hub sends the sum of all VMs to its reporters, so that the traffic of a VM that is no hub does
 * not grow with the fleet.
 */
export class Fleet extends Service {
  private readonly incarnation = randomBytes(6).toString('hex');

  private readonly peerTable: PeerTable;

  private readonly hubSelector: HubSelector;

  private readonly aggregator = HubAggregator.create();

  private readonly remoteWork: RemoteWork;

  private readonly knownHosts = new Set<string>();

  /** VMs that need a list of the fleet, with their hosts. */
  private readonly listRequesters = new Map<string, string>();

  private readonly stopping = new AbortController();

  /** Names of the VMs that share the limits of servers, as of the last round. */
  private entryVms: readonly string[] = [];

  /** The same, with the VMs that were lost in the last LASTING_MS. */
  private lastingVms: readonly string[] = [];

  /** CPU time of the VMs of the last LASTING_MS, and when they were last known, by name. */
  private readonly lasting = new Map<string, { readonly power: number; readonly seenMs: number }>();

  private readonly lending: ShareLending;

  private readonly trials: TrialRequests;

  private readonly reader: MessageReader;

  /** When the last message of another VM arrived; undefined before the first. */
  private heardMs: number | undefined;

  private frozenUntilMs = -Infinity;

  private ticks = 0;

  private startedMs = -Infinity;

  private sequence = 0;

  private draining = false;

  /** Id of the last member list received from this VM's hub; 0 before the first. */
  private memberListId = 0;

  private memberListDue = true;

  private constructor(
    private readonly kernel: Kernel,
    private readonly options: FleetOptions,
    private readonly datagrams: Datagrams,
    private readonly clock: Clock,
  ) {
    super();
    this.peerTable = PeerTable.create(options.vm);
    this.hubSelector = HubSelector.create(options.vm, this.peerTable);
    this.remoteWork = RemoteWork.create(kernel);
    this.reader = MessageReader.create(kernel, clock);
    const self = { vm: options.vm, incarnation: this.incarnation };
    const send = (vm: string, message: FleetMessage) => {
      const peer = this.peerTable.find(vm, clock.monotonicMs());
      if (peer) this.datagrams.send(encodeMessage(message), peer.host);
    };
    this.lending = ShareLending.create(kernel, self, clock, send);
    const peers = () => this.peers.map(({ vm }) => vm);
    this.trials = TrialRequests.create({ vm: options.vm, peers }, this.incarnation, clock, send);
    this.addHosts(options.seedHosts);
  }

  /**
   * Creates a member of a fleet.
   *
   * @param kernel - provides `relay`, `state`, `logs` and `metrics`
   * @param options - names and addresses
   * @param datagrams - transport to the other VMs
   * @param clock - source of time
   * @returns a member that has not started
   */
  static create(kernel: Kernel, options: FleetOptions, datagrams: Datagrams, clock: Clock): Fleet {
    return new Fleet(kernel, options, datagrams, clock);
  }

  /** Name of this VM. */
  get vm(): string {
    return this.options.vm;
  }

  /** Number of VMs that share limits, including this one. */
  get size(): number {
    return this.peerTable.size(this.clock.monotonicMs());
  }

  /** Contact of this VM with the others that share limits. */
  get contact(): FleetContact {
    const nowMs = this.clock.monotonicMs();
    const { peerTable } = this;
    const delayMs = this.hubSelector.role === 'mesh' ? MESH_REPORT_MS : HUB_REPORT_MS;
    return {
      size: peerTable.size(nowMs),
      reachable: 1 + peerTable.reachable(nowMs).length,
      reportedMs: peerTable.oldestContactMs(nowMs) - delayMs,
    };
  }

  /** VMs that share the limits of servers; those that were lost lately may still be running. */
  get limitSharers(): LimitSharers {
    const { vm: self, entryVms: vms, lastingVms, informed } = this;
    const startedForMs = this.clock.monotonicMs() - this.startedMs;
    const isSingle = this.knownHosts.size === 0;
    const settled = isSingle || startedForMs >= LIMIT_SHARE_DELAY_MS;
    const coldSettled = isSingle || startedForMs >= COLD_SHARE_DELAY_MS;
    return { self, vms, settled, lastingVms, coldSettled, informed };
  }

  /**
   * Borrows a request to one of some servers from another VM if this VM may send none to any of them.
   *
   * @param servers - the servers
   * @returns whether a loan was granted
   */
  borrow(servers: readonly CatalogServer[]): Promise<boolean> {
    return this.lending.borrow(servers);
  }

  /**
   * Asks for a trial of a request that may crash servers.
   *
   * @param group - the crashes that the trial is about
   * @returns a permit, or undefined while another trial takes place or nobody answers
   */
  acquireTrial(group: string): Promise<TrialPermit | undefined> {
    return this.trials.acquire(group);
  }

  /**
   * Whether this VM learns of cold servers from the others. Once it has lost the others for good, it reads the
   * store itself.
   */
  private get informed(): boolean {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.frozenUntilMs) return false;
    const hasStarted = this.knownHosts.size === 0 || nowMs >= this.startedMs + HUB_REPORT_MS;
    if (!hasStarted && !this.kernel.find('relay').limits.cold.hasReadStore) return false;
    const silentMs = nowMs - (this.heardMs ?? nowMs);
    return silentMs <= UNINFORMED_AFTER_MS || silentMs > PEER_EXPIRY_MS;
  }

  /** VMs that are reachable now. */
  get peers(): readonly FleetMember[] {
    return this.peerTable.reachable(this.clock.monotonicMs());
  }

  /** This VM as the others know it. */
  get self(): FleetMember {
    return this.describeSelf();
  }

  /** Requests that wait for decode slots at other VMs, and their starts. */
  get queuesElsewhere(): QueuesElsewhere {
    return this.remoteWork.queues;
  }

  /** True once this VM is stopping. */
  get isDraining(): boolean {
    return this.draining;
  }

  override async start(): Promise<void> {
    await this.datagrams.start((datagram) => this.receive(datagram));
    this.startedMs = this.clock.monotonicMs();
    this.sendRound();
    void this.run();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
    this.datagrams.stop();
    await Promise.resolve();
  }

  /** Announces that this VM is stopping, so that callers are sent to other VMs. */
  drain(): void {
    this.draining = true;
    this.sendRound();
  }

  /**
   * Adds hosts that may belong to the fleet.
   *
   * @param hosts - IP addresses
   */
  addHosts(hosts: readonly string[]): void {
    const others = hosts.filter((host) => host !== this.options.host && !this.knownHosts.has(host));
    others.forEach((host) => this.knownHosts.add(host));
    if (others.length > 0 && this.startedMs > -Infinity)
      this.reserveUnreachableShare(this.clock.monotonicMs());
  }

  /**
   * Sends a message about places to another VM; it may be lost.
   *
   * @param message - the message
   * @param to - IP address of the receiver
   */
  sendPlaces(message: PlaceMessage, to: string): void {
    this.datagrams.send(encodeMessage(message), to);
  }

  /** Sends in every round of a small fleet and in every second round of a larger one. */
  private async run(): Promise<void> {
    for (;;) {
      const sleptMs = this.clock.monotonicMs();
      await this.clock.sleep(ROUND_INTERVAL_MS, this.stopping.signal);
      if (this.stopping.signal.aborted) return;
      const nowMs = this.clock.monotonicMs();
      if (nowMs - sleptMs > ROUND_INTERVAL_MS + FROZEN_MS) this.frozenUntilMs = nowMs + FROZEN_MS;
      this.ticks += 1;
      if (this.hubSelector.role === 'mesh' || this.ticks % 2 === 0) this.sendRound();
      this.kernel.find('relay').dispatchWaiting();
    }
  }

  /** Sends a round now, for example because the other VMs should learn of a change at once. */
  sendRound(): void {
    const nowMs = this.clock.monotonicMs();
    this.expire(nowMs);
    const { ownHub } = this.hubSelector;
    this.hubSelector.update(this.describeSelf(), this.aggregator.reporterNames.length > 0, nowMs);
    this.handleHubChange(ownHub, nowMs);
    this.sequence += 1;
    const work = composeWork(this.kernel.find('relay'), nowMs);
    const digest = encodeMessage(this.composeDigest(nowMs, work));
    this.receivers(nowMs).forEach((host) => this.datagrams.send(digest, host));
    if (this.hubSelector.role === 'hub') this.sendSummaries(nowMs, work);
  }

  /** Hosts that receive this VM's digest in this round. */
  private receivers(nowMs: number): string[] {
    const reachable = this.peerTable.reachable(nowMs);
    const receivers = this.chooseReceivers(reachable);
    if (this.sequence % DISCOVERY_ROUNDS !== 1) return receivers;
    const reachableHosts = new Set(reachable.map(({ host }) => host));
    const others = shuffle([...this.knownHosts].filter((host) => !reachableHosts.has(host)));
    return [...receivers, ...others.slice(0, MAX_RECEIVERS)];
  }

  private chooseReceivers(reachable: readonly FleetMember[]): string[] {
    if (this.hubSelector.role === 'mesh') {
      return shuffle(reachable.map(({ host }) => host)).slice(0, MAX_RECEIVERS);
    }
    const nowMs = this.clock.monotonicMs();
    const hubs = this.hubSelector.receivers(nowMs);
    return this.peerTable
      .known(nowMs)
      .filter(({ vm }) => hubs.includes(vm))
      .map(({ host }) => host);
  }

  private handleHubChange(before: string, nowMs: number): void {
    const { ownHub: hub, role } = this.hubSelector;
    if (hub === before) return;
    if (before === this.vm) this.aggregator.clear();
    if (role === 'hub') this.memberListDue = true;
    this.memberListId = 0;
    // During the search for a hub, the last state from the old hub is better than none.
    if (role !== 'seeking') this.remoteWork.clear();
    const vms = this.peerTable.size(nowMs);
    this.kernel.find('logs').info('hub of this VM changed', { hub, before, vms });
  }

  private sendSummaries(nowMs: number, work: FleetWork): void {
    const self = this.describeSelf();
    const { members, ...partial } = this.aggregator.sumPartial(work, nowMs);
    const includesList = this.memberListDue || this.sequence % MEMBER_LIST_ROUNDS === 0;
    this.memberListDue = false;
    const listed = includesList ? [self, ...members] : undefined;
    const partialMessage = encodeMessage(this.composeSummary(partial, false, 0, listed));
    this.otherHubHosts(nowMs).forEach((host) => this.datagrams.send(partialMessage, host));
    const all = [self, ...this.peerTable.reachable(nowMs)];
    const list = hashMembers(all);
    this.aggregator.reporterDigests.forEach(({ vm, host, list: known }) => {
      const sum = this.aggregator.sumTotal(work, nowMs, vm);
      const whole = this.composeSummary(sum, true, list, known === list ? undefined : all);
      this.datagrams.send(encodeMessage(whole), host);
    });
    if (this.listRequesters.size === 0) return;
    const sum = this.aggregator.sumTotal(work, nowMs);
    const answer = encodeMessage(this.composeSummary(sum, true, list, all));
    this.listRequesters.forEach((host) => this.datagrams.send(answer, host));
    this.listRequesters.clear();
  }

  /** Hosts of the other hubs: those that this VM ranks and those that sent a partial sum. */
  private otherHubHosts(nowMs: number): string[] {
    const ranked = this.peerTable
      .known(nowMs)
      .filter(({ vm }) => this.hubSelector.hubs.includes(vm))
      .map(({ host }) => host);
    return [...new Set([...ranked, ...this.aggregator.otherHubs.map(({ host }) => host)])];
  }

  private receive(datagram: Buffer): void {
    const message = this.reader.read(datagram);
    const nowMs = this.clock.monotonicMs();
    if (message) this.heardMs = nowMs;
    if (message?.kind === 'loan') this.lending.receive(message);
    else if (message?.kind === 'trial') this.trials.receive(message);
    else if (message?.kind === 'digest') this.receiveDigest(message, nowMs);
    else if (message?.kind === 'summary') {
      if (message.hub !== this.vm) this.receiveSummary(message, nowMs);
    } else if (message) this.kernel.find('places').receive(message);
  }

  private receiveDigest(digest: Digest, nowMs: number): void {
    const before = this.peerTable.find(digest.vm, nowMs);
    if (!this.peerTable.recordDigest(digest, nowMs)) return;
    this.addHosts([digest.host, ...digest.hosts]);
    if (before?.ready !== digest.ready || before.draining !== digest.draining)
      this.memberListDue = true;
    this.hubSelector.recordContact(digest.vm);
    if (this.hubSelector.role === 'mesh') {
      this.remoteWork.apply(digest.vm, digest.incarnation, digest, 1 / this.size, nowMs);
    } else if (digest.hub === this.vm) {
      this.aggregator.recordDigest(digest, nowMs);
      this.remoteWork.apply(digest.vm, digest.incarnation, digest, 1 / this.size, nowMs);
    } else if (digest.hub === '') this.listRequesters.set(digest.vm, digest.host);
    this.kernel.find('state').handleAdvertisement(digest);
  }

  private receiveSummary(summary: Summary, nowMs: number): void {
    const { hub, incarnation, whole, members } = summary;
    this.hubSelector.recordContact(hub);
    if (whole && this.hubSelector.role === 'seeking') {
      this.hubSelector.adopt(hub, nowMs);
      this.handleHubChange('', nowMs);
    }
    const isOwn = whole && hub === this.hubSelector.ownHub;
    const isPartial = !whole && this.hubSelector.role === 'hub';
    if (isPartial && !this.aggregator.recordPartial(summary, nowMs)) return;
    // A VM that considers itself a hub although it is not ranked does not know the whole fleet.
    if (isPartial && !this.hubSelector.hubs.includes(hub))
      this.listRequesters.set(hub, summary.host);
    if (!isOwn && !isPartial) {
      this.peerTable.recordForeignList(hub, members ?? [], nowMs);
      return;
    }
    const listAccepted = members !== undefined && this.peerTable.recordList(hub, members, nowMs);
    if (!members) this.peerTable.refreshList(hub, nowMs);
    if (isOwn) this.hubSelector.recordContact(hub, nowMs);
    if (isOwn && listAccepted) this.memberListId = summary.list;
    const others = 1 - 1 / this.size;
    const part = isOwn ? others : others / Math.max(1, this.hubSelector.hubs.length);
    this.remoteWork.apply(`hub ${hub}`, incarnation, summary, part, nowMs);
    this.kernel.find('state').handleAdvertisement(summary);
  }

  private expire(nowMs: number): void {
    this.aggregator.expire(nowMs);
    this.remoteWork.retain(this.validSources(nowMs), nowMs);
    this.peerTable.evict(nowMs).forEach(({ vm, host }) => {
      this.knownHosts.delete(host);
      this.kernel.find('logs').info('VM removed from the fleet: no digest received', { peer: vm });
    });
    this.addHosts(this.options.seedHosts);
    this.reserveUnreachableShare(nowMs);
    this.updateEntryVms(nowMs);
  }

  private updateEntryVms(nowMs: number): void {
    const members = [this.options, ...this.peerTable.known(nowMs)];
    members.forEach(({ vm, power }) => this.lasting.set(vm, { power, seenMs: nowMs }));
    this.lasting.forEach(({ seenMs }, vm) => {
      if (nowMs - seenMs > LASTING_MS) this.lasting.delete(vm);
    });
    const lasting = [...this.lasting].map(([vm, { power }]) => ({ vm, power }));
    this.entryVms = replaceList(this.entryVms, listEntryVms(members));
    this.lastingVms = replaceList(this.lastingVms, listEntryVms(lasting));
  }

  /** Keeps the share of the rates for VMs that are unreachable but may still be running. */
  private reserveUnreachableShare(nowMs: number): void {
    const isDiscovering = nowMs < this.startedMs + DISCOVERY_MS;
    const fraction = this.peerTable.unreachableFraction(
      nowMs,
      isDiscovering ? this.knownHosts.size : 0,
    );
    this.kernel
      .find('relay')
      .rateLimiter.setUnreachableFraction(fraction, nowMs, isDiscovering && fraction > 0);
  }

  private validSources(nowMs: number): Set<string> {
    const { role, ownHub } = this.hubSelector;
    if (role === 'mesh')
      return new Set(this.peerTable.known(nowMs, WORK_EXPIRY_MS).map(({ vm }) => vm));
    if (role === 'seeking') return new Set(this.remoteWork.names);
    if (role === 'reporter') return new Set([`hub ${ownHub}`]);
    const partials = this.aggregator.otherHubs.map(({ vm }) => `hub ${vm}`);
    return new Set([...this.aggregator.reporterNames, ...partials]);
  }

  private describeSelf(): FleetMember {
    const { vm, availabilityZone, host, callers, power } = this.options;
    const state = this.kernel.find('state');
    return {
      vm,
      incarnation: this.incarnation,
      host,
      callers: `${callers.host}:${callers.port}`,
      zone: availabilityZone,
      power,
      ready: state.ready,
      draining: this.draining,
      reachesStore: state.reachesStore,
    };
  }

  private describeState() {
    const { catalogPosition, catalogHash } = this.kernel.find('state');
    const { era, offset: catalog } = catalogPosition;
    const configuration = this.kernel.find('relay').configuration?.version ?? -1;
    const { report } = this.kernel.find('relay').catalog.evacuations;
    const evacuations = { ...report, zones: [...report.zones] };
    return { era, evacuations, configuration, catalog, catalogHash };
  }

  private composeDigest(nowMs: number, work: FleetWork): Digest {
    const hosts = shuffle(this.peerTable.reachable(nowMs).map(({ host }) => host)).slice(
      0,
      MAX_HOSTS_PER_DIGEST,
    );
    return {
      kind: 'digest',
      ...this.describeSelf(),
      ...work,
      ...this.describeState(),
      sequence: this.sequence,
      hub: this.hubSelector.ownHub,
      list: this.memberListId,
      hosts,
    };
  }

  private composeSummary(
    work: FleetWork,
    whole: boolean,
    list: number,
    members: readonly FleetMember[] | undefined,
  ): Summary {
    return {
      kind: 'summary',
      ...work,
      ...this.describeState(),
      hub: this.vm,
      incarnation: this.incarnation,
      sequence: this.sequence,
      host: this.options.host,
      whole,
      list,
      ...(members ? { members: [...members] } : {}),
    };
  }
}

/** Names of the VMs that callers may use. */
function listEntryVms(members: readonly { readonly vm: string; readonly power: number }[]) {
  return rankEntryVms(members)
    .slice(0, MAX_ENTRY_VMS)
    .map(({ vm }) => vm);
}

/** Keeps the same array while its content stays the same. */
function replaceList(before: readonly string[], after: readonly string[]): readonly string[] {
  return before.join(' ') === after.join(' ') ? before : after;
}

/** Computes the id of a member list from its content. */
function hashMembers(members: readonly FleetMember[]): number {
  const lines = members.map((member) => Object.values(member).join(' ')).sort();
  return 1 + scoreRendezvous('members', lines.join('\n'));
}

declare module '../kernel/service.js' {
  interface Services {
    fleet: Fleet;
  }
}
