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
import { FleetBook, GONE_MS } from './fleet-book.js';
import { Hub } from './hub.js';
import { HubChoice } from './hub-choice.js';
import { WorkSources } from './work-sources.js';

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
const ROUND_MS = 120;

/** Most VMs that get a digest in one round while the fleet has no hubs. */
const MOST_RECEIVERS = 16;

/** Hosts that one digest names. */
const MOST_HOSTS = 10;

/** Rounds between digests to seeds and to hosts that are only known by name. */
const DISCOVERY_ROUNDS = 8;

/**
 * Time after the start for which VMs that are known by name count as at work, in milliseconds. A fleet of
 * 64 VMs that restarts at once has met again after two seconds.
 */
const MEETING_MS = 3000;

/** Rounds between lists of a hub's reporters to the other hubs. */
const LIST_ROUNDS = 4;

/**
 * Keeps the VMs of the fleet informed of each other, by datagrams. In a small fleet every VM sends its
 * digest to all others. In a larger one it reports to one hub; the hubs exchange the sums of their
 * reporters, and each tells its reporters the sum of all, so that a VM's traffic does not grow with
 * the fleet.
 */
export class Fleet extends Service {
  private readonly incarnation = randomBytes(6).toString('hex');

  private readonly book: FleetBook;

  private readonly choice: HubChoice;

  private readonly hub = Hub.create();

  private readonly sources: WorkSources;

  private readonly hosts = new Set<string>();

  /** VMs that have asked for a list of the fleet, with their hosts. */
  private readonly newcomers = new Map<string, string>();

  private readonly ending = new AbortController();

  private ticks = 0;

  private startedMs = -Infinity;

  private sequence = 0;

  private draining = false;

  /** Number of the last list of the own hub. */
  private knownList = 0;

  private listDue = true;

  private constructor(
    private readonly kernel: Kernel,
    private readonly options: FleetOptions,
    private readonly datagrams: Datagrams,
    private readonly clock: Clock,
  ) {
    super();
    this.book = FleetBook.create(options.vm);
    this.choice = HubChoice.create(options.vm, this.book);
    this.sources = WorkSources.create(kernel);
    this.meet(options.seedHosts);
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
    return this.book.size(this.clock.monotonicMs());
  }

  /** VMs that are heard now. */
  get peers(): readonly FleetMember[] {
    return this.book.heard(this.clock.monotonicMs());
  }

  /** True when another VM has requests that wait for a place and can still be on time. */
  get punctualElsewhere(): boolean {
    return this.sources.punctual > 0;
  }

  /** True once this VM has begun to stop. */
  get isDraining(): boolean {
    return this.draining;
  }

  override async start(): Promise<void> {
    await this.datagrams.start((datagram) => this.receive(datagram));
    this.startedMs = this.clock.monotonicMs();
    this.round();
    void this.run();
  }

  override async stop(): Promise<void> {
    this.ending.abort();
    this.datagrams.stop();
    await Promise.resolve();
  }

  /** Tells the fleet that this VM is stopping, so that callers are sent elsewhere. */
  drain(): void {
    this.draining = true;
    this.round();
  }

  /**
   * Takes hosts that may belong to the fleet.
   *
   * @param hosts - IP numbers
   */
  meet(hosts: readonly string[]): void {
    const others = hosts.filter((host) => host !== this.options.host && !this.hosts.has(host));
    others.forEach((host) => this.hosts.add(host));
    if (others.length > 0 && this.startedMs > -Infinity)
      this.limitSpending(this.clock.monotonicMs());
  }

  /** Sends in every round of a small fleet and in every second one of a larger fleet. */
  private async run(): Promise<void> {
    for (;;) {
      await this.clock.sleep(ROUND_MS, this.ending.signal);
      if (this.ending.signal.aborted) return;
      this.ticks += 1;
      if (this.choice.role === 'mesh' || this.ticks % 2 === 0) this.round();
      this.kernel.find('relay').dispatchWaiting();
    }
  }

  /** Tells the others now, because something changed that they should know at once. */
  round(): void {
    const nowMs = this.clock.monotonicMs();
    this.expire(nowMs);
    const { ownHub } = this.choice;
    this.choice.update(this.describe(), this.hub.reporterNames.length > 0, nowMs);
    this.noteHubChange(ownHub, nowMs);
    this.sequence += 1;
    const work = this.composeWork(nowMs);
    const digest = encodeMessage(this.composeDigest(nowMs, work));
    this.receivers(nowMs).forEach((host) => this.datagrams.send(digest, host));
    if (this.choice.role === 'hub') this.sendSums(nowMs, work);
  }

  /** Hosts that get this VM's digest in this round. */
  private receivers(nowMs: number): string[] {
    const heard = this.book.heard(nowMs);
    const receivers = this.chooseReceivers(heard);
    if (this.sequence % DISCOVERY_ROUNDS !== 1) return receivers;
    const known = new Set(heard.map(({ host }) => host));
    const others = shuffle([...this.hosts].filter((host) => !known.has(host)));
    return [...receivers, ...others.slice(0, MOST_RECEIVERS)];
  }

  private chooseReceivers(heard: readonly FleetMember[]): string[] {
    if (this.choice.role === 'mesh') {
      return shuffle(heard.map(({ host }) => host)).slice(0, MOST_RECEIVERS);
    }
    const nowMs = this.clock.monotonicMs();
    const hubs = this.choice.receivers(nowMs);
    return this.book
      .known(nowMs)
      .filter(({ vm }) => hubs.includes(vm))
      .map(({ host }) => host);
  }

  private noteHubChange(before: string, nowMs: number): void {
    const { ownHub: hub, role } = this.choice;
    if (hub === before) return;
    if (before === this.vm) this.hub.clear();
    if (role === 'hub') this.listDue = true;
    this.knownList = 0;
    // While a hub is sought, the last news of the old one is better than none.
    if (role !== 'seeking') this.sources.clear();
    const vms = this.book.size(nowMs);
    this.kernel.find('logs').info('hub of the fleet', { hub, before, vms });
  }

  private sendSums(nowMs: number, work: FleetWork): void {
    const self = this.describe();
    const { members, ...part } = this.hub.sumPart(work);
    const tells = this.listDue || this.sequence % LIST_ROUNDS === 0;
    this.listDue = false;
    const near = tells ? [self, ...members] : undefined;
    const partMessage = encodeMessage(this.composeSummary(part, false, 0, near));
    this.partners(nowMs).forEach((host) => this.datagrams.send(partMessage, host));
    const all = [self, ...this.book.heard(nowMs)];
    const list = numberList(all);
    this.hub.reports.forEach(({ vm, host, list: known }) => {
      const sum = this.hub.sumWhole(work, vm);
      const whole = this.composeSummary(sum, true, list, known === list ? undefined : all);
      this.datagrams.send(encodeMessage(whole), host);
    });
    if (this.newcomers.size === 0) return;
    const sum = this.hub.sumWhole(work);
    const answer = encodeMessage(this.composeSummary(sum, true, list, all));
    this.newcomers.forEach((host) => this.datagrams.send(answer, host));
    this.newcomers.clear();
  }

  /** Hosts of the other hubs, by this VM's ranking and by their own parts. */
  private partners(nowMs: number): string[] {
    const ranked = this.book
      .known(nowMs)
      .filter(({ vm }) => this.choice.hubs.includes(vm))
      .map(({ host }) => host);
    return [...new Set([...ranked, ...this.hub.partners.map(({ host }) => host)])];
  }

  private receive(datagram: Buffer): void {
    const message = decodeMessage(datagram);
    const nowMs = this.clock.monotonicMs();
    if (message?.kind === 'digest') this.receiveDigest(message, nowMs);
    else if (message && message.hub !== this.vm) this.receiveSummary(message, nowMs);
  }

  private receiveDigest(digest: Digest, nowMs: number): void {
    const before = this.book.find(digest.vm, nowMs);
    if (!this.book.note(digest, nowMs)) return;
    this.meet([digest.host, ...digest.hosts]);
    if (before?.ready !== digest.ready || before.draining !== digest.draining) this.listDue = true;
    this.choice.noteHeard(digest.vm);
    if (this.choice.role === 'mesh') {
      this.sources.apply(digest.vm, digest.incarnation, digest, nowMs);
    } else if (digest.hub === this.vm) {
      this.hub.noteReporter(digest, nowMs);
      this.sources.apply(digest.vm, digest.incarnation, digest, nowMs);
    } else if (digest.hub === '') this.newcomers.set(digest.vm, digest.host);
    this.kernel.find('state').noteOffer(digest);
  }

  private receiveSummary(summary: Summary, nowMs: number): void {
    const { hub, incarnation, whole, members } = summary;
    this.choice.noteHeard(hub);
    if (whole && this.choice.role === 'seeking') {
      this.choice.adopt(hub, nowMs);
      this.noteHubChange('', nowMs);
    }
    const isOwn = whole && hub === this.choice.ownHub;
    const isPart = !whole && this.choice.role === 'hub';
    if (isPart && !this.hub.notePart(summary, nowMs)) return;
    // A VM that takes itself for a hub by mistake does not know the whole fleet.
    if (isPart && !this.choice.hubs.includes(hub)) this.newcomers.set(hub, summary.host);
    if (!isOwn && !isPart) {
      this.book.noteForeignList(hub, members ?? [], nowMs);
      return;
    }
    const takesList = members !== undefined && this.book.noteList(hub, members, nowMs);
    if (!members) this.book.refresh(hub, nowMs);
    if (isOwn) this.choice.noteHeard(hub, nowMs);
    if (isOwn && takesList) this.knownList = summary.list;
    this.sources.apply(`hub ${hub}`, incarnation, summary, nowMs);
    this.kernel.find('state').noteOffer(summary);
  }

  private expire(nowMs: number): void {
    this.hub.expire(nowMs);
    this.sources.retain(this.validSources(nowMs), nowMs);
    this.book.drop(nowMs).forEach(({ vm, host }) => {
      this.hosts.delete(host);
      this.kernel.find('logs').info('a VM has left the fleet', { peer: vm });
    });
    this.meet(this.options.seedHosts);
    this.limitSpending(nowMs);
  }

  /** Leaves the others' part of the rates to them while they are not heard. */
  private limitSpending(nowMs: number): void {
    const meeting = nowMs < this.startedMs + MEETING_MS;
    const part = this.book.unheardPart(nowMs, meeting ? this.hosts.size : 0);
    this.kernel.find('relay').rateLimiter.setUnreachableFraction(part, nowMs, meeting && part > 0);
  }

  private validSources(nowMs: number): Set<string> {
    const { role, ownHub } = this.choice;
    if (role === 'mesh') return new Set(this.book.known(nowMs, GONE_MS).map(({ vm }) => vm));
    if (role === 'seeking') return new Set(this.sources.names);
    if (role === 'reporter') return new Set([`hub ${ownHub}`]);
    const parts = this.hub.partners.map(({ vm }) => `hub ${vm}`);
    return new Set([...this.hub.reporterNames, ...parts]);
  }

  private describe(): FleetMember {
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
    const hosts = shuffle(this.book.heard(nowMs).map(({ host }) => host)).slice(0, MOST_HOSTS);
    return {
      kind: 'digest',
      ...this.describe(),
      ...work,
      ...this.describeState(),
      sequence: this.sequence,
      hub: this.choice.ownHub,
      list: this.knownList,
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
function numberList(members: readonly FleetMember[]): number {
  const lines = members.map((member) => Object.values(member).join(' ')).sort();
  return 1 + scoreRendezvous('members', lines.join('\n'));
}

declare module '../kernel/service.js' {
  interface Services {
    fleet: Fleet;
  }
}
