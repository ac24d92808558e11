import { randomBytes } from 'node:crypto';

import type { Address } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Service } from '../kernel/service.js';
import { scoreRendezvous } from '../kernel/rendezvous.js';
import { shuffle } from '../kernel/shuffle.js';
import type { Datagrams } from './datagrams.js';
import {
  decodeMessage,
  encodeMessage,
  type Digest,
  type FleetMember,
  type FleetWork,
  type Summary,
} from './digest.js';
import { PeerTable, WORK_EXPIRY_MS } from './peer-table.js';
import { HubAggregator } from './hub-aggregator.js';
import { HubSelector } from './hub-selector.js';
import { RemoteWork } from './remote-work.js';

/** What a VM needs to take part in a fleet. */
export interface FleetOptions {
  readonly vm: string;
  readonly availabilityZone: string;
  /** IP number of this VM. */
  readonly host: string;
  /** Where callers connect. */
  readonly callers: Address;
  /** Processor time that this VM may use, in cores. */
  readonly power: number;
  /** Hosts that may know the fleet. */
  readonly seedHosts: readonly string[];
}

/** Pause between rounds, in milliseconds; in a fleet with hubs each second round sends. */
const ROUND_INTERVAL_MS = 120;

/** Most VMs that get a digest in one round while the fleet has no hubs. */
const MAX_RECEIVERS = 16;

/** Hosts that one digest names. */
const MAX_HOSTS_PER_DIGEST = 10;

/** Rounds between digests to seeds and to hosts that are only known by name. */
const DISCOVERY_ROUNDS = 8;

/**
 * Time after the start for which VMs that are known by name count as at work, in milliseconds. A fleet of
 * 64 VMs that restarts at once has met again after two seconds.
 */
const DISCOVERY_MS = 3000;

/** Rounds between lists of a hub's reporters to the other hubs. */
const MEMBER_LIST_ROUNDS = 4;

/**
 * Keeps the VMs of the fleet informed of each other, by datagrams. In a small fleet every VM sends its
 * digest to all others. In a larger one it reports to one hub; the hubs exchange the sums of their
 * reporters, and each tells its reporters the sum of all, so that a VM's traffic does not grow with
 * the fleet.
 */
export class Fleet extends Service {
  private readonly incarnation = randomBytes(6).toString('hex');

  private readonly peerTable: PeerTable;

  private readonly hubSelector: HubSelector;

  private readonly aggregator = HubAggregator.create();

  private readonly remoteWork: RemoteWork;

  private readonly knownHosts = new Set<string>();

  /** VMs that have asked for a list of the fleet, with their hosts. */
  private readonly listRequesters = new Map<string, string>();

  private readonly stopping = new AbortController();

  private ticks = 0;

  private startedMs = -Infinity;

  private sequence = 0;

  private draining = false;

  /** Number of the last list of the own hub. */
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
    this.addHosts(options.seedHosts);
  }

  /**
   * Prepares a member of a fleet.
   *
   * @param kernel - where it finds `relay`, `state` and `logs`
   * @param options - names and addresses
   * @param datagrams - how it reaches other VMs
   * @param clock - time
   * @returns the member
   */
  static create(kernel: Kernel, options: FleetOptions, datagrams: Datagrams, clock: Clock): Fleet {
    return new Fleet(kernel, options, datagrams, clock);
  }

  /** Name of this VM. */
  get vm(): string {
    return this.options.vm;
  }

  /** VMs that share limits, this one included. */
  get size(): number {
    return this.peerTable.size(this.clock.monotonicMs());
  }

  /** VMs that are heard now. */
  get peers(): readonly FleetMember[] {
    return this.peerTable.reachable(this.clock.monotonicMs());
  }

  /** True when another VM has requests that wait for a place and can still be on time. */
  get punctualElsewhere(): boolean {
    return this.remoteWork.punctual > 0;
  }

  /** True once this VM has begun to stop. */
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

  /** Tells the fleet that this VM is stopping, so that callers are sent elsewhere. */
  drain(): void {
    this.draining = true;
    this.sendRound();
  }

  /**
   * Takes hosts that may belong to the fleet.
   *
   * @param hosts - IP numbers
   */
  addHosts(hosts: readonly string[]): void {
    const others = hosts.filter((host) => host !== this.options.host && !this.knownHosts.has(host));
    others.forEach((host) => this.knownHosts.add(host));
    if (others.length > 0 && this.startedMs > -Infinity)
      this.reserveUnreachableShare(this.clock.monotonicMs());
  }

  /** Sends in every round of a small fleet and in every second one of a larger fleet. */
  private async run(): Promise<void> {
    for (;;) {
      await this.clock.sleep(ROUND_INTERVAL_MS, this.stopping.signal);
      if (this.stopping.signal.aborted) return;
      this.ticks += 1;
      if (this.hubSelector.role === 'mesh' || this.ticks % 2 === 0) this.sendRound();
      this.kernel.find('relay').dispatchWaiting();
    }
  }

  /** Tells the others now, because something changed that they should know at once. */
  sendRound(): void {
    const nowMs = this.clock.monotonicMs();
    this.expire(nowMs);
    const { ownHub } = this.hubSelector;
    this.hubSelector.update(this.describeSelf(), this.aggregator.reporterNames.length > 0, nowMs);
    this.handleHubChange(ownHub, nowMs);
    this.sequence += 1;
    const work = this.composeWork(nowMs);
    const digest = encodeMessage(this.composeDigest(nowMs, work));
    this.receivers(nowMs).forEach((host) => this.datagrams.send(digest, host));
    if (this.hubSelector.role === 'hub') this.sendSummaries(nowMs, work);
  }

  /** Hosts that get this VM's digest in this round. */
  private receivers(nowMs: number): string[] {
    const heard = this.peerTable.reachable(nowMs);
    const receivers = this.chooseReceivers(heard);
    if (this.sequence % DISCOVERY_ROUNDS !== 1) return receivers;
    const known = new Set(heard.map(({ host }) => host));
    const others = shuffle([...this.knownHosts].filter((host) => !known.has(host)));
    return [...receivers, ...others.slice(0, MAX_RECEIVERS)];
  }

  private chooseReceivers(heard: readonly FleetMember[]): string[] {
    if (this.hubSelector.role === 'mesh') {
      return shuffle(heard.map(({ host }) => host)).slice(0, MAX_RECEIVERS);
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
    // While a hub is sought, the last news of the old one is better than none.
    if (role !== 'seeking') this.remoteWork.clear();
    const vms = this.peerTable.size(nowMs);
    this.kernel.find('logs').info('hub of the fleet', { hub, before, vms });
  }

  private sendSummaries(nowMs: number, work: FleetWork): void {
    const self = this.describeSelf();
    const { members, ...part } = this.aggregator.sumPartial(work);
    const tells = this.memberListDue || this.sequence % MEMBER_LIST_ROUNDS === 0;
    this.memberListDue = false;
    const near = tells ? [self, ...members] : undefined;
    const partMessage = encodeMessage(this.composeSummary(part, false, 0, near));
    this.otherHubHosts(nowMs).forEach((host) => this.datagrams.send(partMessage, host));
    const all = [self, ...this.peerTable.reachable(nowMs)];
    const list = hashMembers(all);
    this.aggregator.reporterDigests.forEach(({ vm, host, list: known }) => {
      const sum = this.aggregator.sumTotal(work, vm);
      const whole = this.composeSummary(sum, true, list, known === list ? undefined : all);
      this.datagrams.send(encodeMessage(whole), host);
    });
    if (this.listRequesters.size === 0) return;
    const sum = this.aggregator.sumTotal(work);
    const answer = encodeMessage(this.composeSummary(sum, true, list, all));
    this.listRequesters.forEach((host) => this.datagrams.send(answer, host));
    this.listRequesters.clear();
  }

  /** Hosts of the other hubs, by this VM's ranking and by their own parts. */
  private otherHubHosts(nowMs: number): string[] {
    const ranked = this.peerTable
      .known(nowMs)
      .filter(({ vm }) => this.hubSelector.hubs.includes(vm))
      .map(({ host }) => host);
    return [...new Set([...ranked, ...this.aggregator.otherHubs.map(({ host }) => host)])];
  }

  private receive(datagram: Buffer): void {
    const message = decodeMessage(datagram);
    const nowMs = this.clock.monotonicMs();
    if (message?.kind === 'digest') this.receiveDigest(message, nowMs);
    else if (message && message.hub !== this.vm) this.receiveSummary(message, nowMs);
  }

  private receiveDigest(digest: Digest, nowMs: number): void {
    const before = this.peerTable.find(digest.vm, nowMs);
    if (!this.peerTable.recordDigest(digest, nowMs)) return;
    this.addHosts([digest.host, ...digest.hosts]);
    if (before?.ready !== digest.ready || before.draining !== digest.draining)
      this.memberListDue = true;
    this.hubSelector.recordContact(digest.vm);
    if (this.hubSelector.role === 'mesh') {
      this.remoteWork.apply(digest.vm, digest.incarnation, digest, nowMs);
    } else if (digest.hub === this.vm) {
      this.aggregator.recordDigest(digest, nowMs);
      this.remoteWork.apply(digest.vm, digest.incarnation, digest, nowMs);
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
    const isPart = !whole && this.hubSelector.role === 'hub';
    if (isPart && !this.aggregator.recordPartial(summary, nowMs)) return;
    // A VM that takes itself for a hub by mistake does not know the whole fleet.
    if (isPart && !this.hubSelector.hubs.includes(hub)) this.listRequesters.set(hub, summary.host);
    if (!isOwn && !isPart) {
      this.peerTable.recordForeignList(hub, members ?? [], nowMs);
      return;
    }
    const takesList = members !== undefined && this.peerTable.recordList(hub, members, nowMs);
    if (!members) this.peerTable.refreshList(hub, nowMs);
    if (isOwn) this.hubSelector.recordContact(hub, nowMs);
    if (isOwn && takesList) this.memberListId = summary.list;
    this.remoteWork.apply(`hub ${hub}`, incarnation, summary, nowMs);
    this.kernel.find('state').handleAdvertisement(summary);
  }

  private expire(nowMs: number): void {
    this.aggregator.expire(nowMs);
    this.remoteWork.retain(this.validSources(nowMs), nowMs);
    this.peerTable.evict(nowMs).forEach(({ vm, host }) => {
      this.knownHosts.delete(host);
      this.kernel.find('logs').info('a VM has left the fleet', { peer: vm });
    });
    this.addHosts(this.options.seedHosts);
    this.reserveUnreachableShare(nowMs);
  }

  /** Leaves the others' part of the rates to them while they are not heard. */
  private reserveUnreachableShare(nowMs: number): void {
    const meeting = nowMs < this.startedMs + DISCOVERY_MS;
    const part = this.peerTable.unreachableFraction(nowMs, meeting ? this.knownHosts.size : 0);
    this.kernel.find('relay').rateLimiter.setUnreachableFraction(part, nowMs, meeting && part > 0);
  }

  private validSources(nowMs: number): Set<string> {
    const { role, ownHub } = this.hubSelector;
    if (role === 'mesh')
      return new Set(this.peerTable.known(nowMs, WORK_EXPIRY_MS).map(({ vm }) => vm));
    if (role === 'seeking') return new Set(this.remoteWork.names);
    if (role === 'reporter') return new Set([`hub ${ownHub}`]);
    const parts = this.aggregator.otherHubs.map(({ vm }) => `hub ${vm}`);
    return new Set([...this.aggregator.reporterNames, ...parts]);
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
    const { catalogOffset: catalog, catalogHash } = this.kernel.find('state');
    const configuration = this.kernel.find('relay').configuration?.version ?? -1;
    return { configuration, catalog, catalogHash };
  }

  private composeWork(nowMs: number): FleetWork {
    const relay = this.kernel.find('relay');
    return {
      punctual: relay.punctualWaiting,
      spent: relay.rateLimiter.spent,
      loads: [...relay.loads.ownLoads].map(([id, { running, kvTokens, prefillTokens }]) => [
        ...([id, running, Math.round(kvTokens), prefillTokens] as const),
      ]),
      avoided: [...relay.health.avoided(nowMs)].map(([id, ms]) => [id, Math.round(ms)]),
      leavers: [...relay.catalog.leavers],
    };
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

/** Numbers a list of members by its content. */
function hashMembers(members: readonly FleetMember[]): number {
  const lines = members.map((member) => Object.values(member).join(' ')).sort();
  return 1 + scoreRendezvous('members', lines.join('\n'));
}

declare module '../kernel/service.js' {
  interface Services {
    fleet: Fleet;
  }
}
