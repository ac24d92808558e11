import { randomBytes } from 'node:crypto';
import { createSocket, type Socket } from 'node:dgram';

import type { Address } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Service } from '../kernel/service.js';
import { shuffle } from '../kernel/shuffle.js';
import { decodeDigest, encodeDigest, type Digest } from './digest.js';
import { FleetBook, GONE_MS } from './fleet-book.js';

/** What a VM needs to take part in a fleet. */
export interface FleetOptions {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Where digests arrive, by UDP; the port is the same on all VMs. */
  readonly address: Address;
  /** Where callers connect. */
  readonly callers: Address;
  /** Hosts that may know the fleet. */
  readonly seedHosts: readonly string[];
}

/** Pause between digests, in milliseconds. */
const ROUND_MS = 120;

/** Most VMs that get a digest in one round; in larger fleets each round reaches others. */
const MOST_RECEIVERS = 12;

/** Hosts that one digest names. */
const MOST_HOSTS = 10;

/** Rounds between digests to seeds and to hosts that are only known by name. */
const DISCOVERY_ROUNDS = 8;

/** Keeps the VMs of the fleet informed of each other, by datagrams. */
export class Fleet extends Service {
  private readonly incarnation = randomBytes(6).toString('hex');

  private readonly book: FleetBook;

  private readonly hosts = new Set<string>();

  private socket: Socket | undefined;

  private timer: NodeJS.Timeout | undefined;

  private sequence = 0;

  private draining = false;

  private constructor(
    private readonly kernel: Kernel,
    private readonly options: FleetOptions,
    private readonly clock: Clock,
  ) {
    super();
    this.book = FleetBook.create(options.vm);
    this.meet(options.seedHosts);
  }

  /**
   * Prepares a member of a fleet.
   *
   * @param kernel - where it finds `relay`, `state` and `logs`
   * @param options - names and addresses
   * @param clock - time
   * @returns the member
   */
  static create(kernel: Kernel, options: FleetOptions, clock: Clock): Fleet {
    return new Fleet(kernel, options, clock);
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
  get peers(): readonly Digest[] {
    return this.book.heard(this.clock.monotonicMs());
  }

  /** True once this VM has begun to stop. */
  get isDraining(): boolean {
    return this.draining;
  }

  override async start(): Promise<void> {
    const { host, port } = this.options.address;
    const socket = createSocket('udp4');
    socket.on('message', (datagram) => this.receive(datagram));
    socket.on('error', (error) =>
      this.kernel.find('logs').warn('digest socket', { error: error.message }),
    );
    await new Promise<void>((resolve) => {
      socket.bind(port, host, resolve);
    });
    this.socket = socket;
    this.timer = setInterval(() => this.round(), ROUND_MS);
    this.round();
  }

  override async stop(): Promise<void> {
    clearInterval(this.timer);
    this.socket?.close();
    this.socket = undefined;
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
    hosts
      .filter((host) => host !== this.options.address.host)
      .forEach((host) => this.hosts.add(host));
  }

  /** Sends a digest now, because something changed that others should know at once. */
  round(): void {
    const { socket } = this;
    if (!socket) return;
    const nowMs = this.clock.monotonicMs();
    this.expire(nowMs);
    const datagram = encodeDigest(this.compose(nowMs));
    const { port } = this.options.address;
    this.receivers(nowMs).forEach((host) => socket.send(datagram, port, host, () => {}));
    this.kernel.find('relay').pump();
  }

  private receivers(nowMs: number): string[] {
    const peers = shuffle(this.book.heard(nowMs).map(({ host }) => host)).slice(0, MOST_RECEIVERS);
    if (this.sequence % DISCOVERY_ROUNDS !== 1) return peers;
    const known = new Set(this.book.heard(nowMs).map(({ host }) => host));
    const others = shuffle([...this.hosts].filter((host) => !known.has(host)));
    return [...peers, ...others.slice(0, MOST_RECEIVERS)];
  }

  private receive(datagram: Buffer): void {
    const digest = decodeDigest(datagram);
    const nowMs = this.clock.monotonicMs();
    if (!digest || !this.book.note(digest, nowMs)) return;
    this.meet([digest.host, ...digest.hosts]);
    const { loads, meter, health, catalog } = this.kernel.find('relay');
    const byServer = digest.loads.map(
      ([id, running, kvTokens, prefillTokens]) =>
        [id, { running, kvTokens, prefillTokens }] as const,
    );
    loads.note(digest.vm, new Map(byServer));
    meter.noteSpent(`${digest.vm}/${digest.incarnation}`, digest.spent, nowMs);
    digest.avoided.forEach(([id, ms]) => health.noteAvoided(id, ms, nowMs));
    digest.leavers.forEach(([id, startedAtMs]) => catalog.noteLeaving(id, startedAtMs));
    this.kernel.find('state').noteOffer({
      host: digest.host,
      configuration: digest.configuration,
      catalog: digest.catalog,
    });
  }

  private expire(nowMs: number): void {
    const relay = this.kernel.find('relay');
    this.book.silent(nowMs, GONE_MS).forEach((vm) => relay.loads.forget(vm));
    this.book.drop(nowMs).forEach(({ vm, incarnation, host }) => {
      relay.meter.forget(`${vm}/${incarnation}`);
      this.hosts.delete(host);
      this.kernel.find('logs').info('a VM has left the fleet', { peer: vm });
    });
    this.meet(this.options.seedHosts);
    relay.meter.setUnheardPart(this.book.unheardPart(nowMs), nowMs);
  }

  private compose(nowMs: number): Digest {
    const { vm, availabilityZone, address, callers } = this.options;
    const relay = this.kernel.find('relay');
    const state = this.kernel.find('state');
    this.sequence += 1;
    return {
      vm,
      incarnation: this.incarnation,
      sequence: this.sequence,
      host: address.host,
      callers: `${callers.host}:${callers.port}`,
      zone: availabilityZone,
      ready: state.ready,
      draining: this.draining,
      configuration: relay.configuration?.version ?? -1,
      catalog: state.catalogOffset,
      storeAgeMs: Math.round(Math.min(1e9, state.storeAgeMs)),
      punctual: relay.punctualWaiting,
      spent: relay.meter.spent,
      loads: [...relay.loads.ownLoads].map(([id, load]) => [
        id,
        load.running,
        load.kvTokens,
        load.prefillTokens,
      ]),
      avoided: [...relay.health.avoided(nowMs)].map(([id, ms]) => [id, Math.round(ms)]),
      leavers: [...relay.catalog.leavers],
      hosts: shuffle(this.book.heard(nowMs).map(({ host }) => host)).slice(0, MOST_HOSTS),
    };
  }
}

declare module '../kernel/service.js' {
  interface Services {
    fleet: Fleet;
  }
}
