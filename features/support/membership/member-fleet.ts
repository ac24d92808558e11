import { findFreePorts } from '../../../harness/free-ports.js';
import { createTcpRelay, type TcpRelay } from '../../../harness/tcp-relay.js';
import type { Configuration } from '../../../src/configuration/configuration.js';
import type { Address, Vm } from '../../../src/domain/vm.js';
import { Kernel } from '../../../src/kernel/kernel.js';
import { WitnessedMembership } from '../../../src/membership/witnessed-membership.js';
import { ConnectPeers } from '../../../src/peers/connect-peers.js';
import { RecordSources } from '../../../src/peers/record-sources.js';
import type { ListedVm } from '../../../src/infrastructure/vm-list.js';
import { FakeConfiguration } from './fake-configuration.js';
import { FakeLog } from './fake-log.js';
import { FakeLogStore } from './fake-log-store.js';
import { FakeVmList } from './fake-vm-list.js';
import { FaultyClock } from './faulty-clock.js';
import { FaultyPeers } from './faulty-peers.js';
import { SPEED } from './waits.js';

/** Membership of one daemon with injectable faults. */
export interface MemberDaemon {
  readonly name: string;
  readonly membership: WitnessedMembership;
  readonly clock: FaultyClock;
  readonly configuration: FakeConfiguration;
  readonly peers: FaultyPeers;
  readonly reincarnations: string[];
  readonly setDisconnected: (cut: boolean) => void;
  readonly stop: () => Promise<void>;
}

/** Fleet of memberships in one process, connected by loopback sockets. */
export class MemberFleet {
  readonly log = FakeLogStore.create();

  readonly listing: { vms: ListedVm[]; servers: [] } = { vms: [], servers: [] };

  readonly daemons = new Map<string, MemberDaemon>();

  private readonly ports = new Map<string, number>();

  /** TCP relays in front of the peer listeners, by VM; only in real time. */
  readonly relays = new Map<string, TcpRelay>();

  snapshotMs = 600_000;

  private constructor(private readonly speed: number) {}

  /**
   * Creates a fleet.
   *
   * @param speed - acceleration of the clocks; 1 puts TCP relays in front of the peer listeners
   * @returns a fleet without members
   */
  static create(speed = SPEED): MemberFleet {
    return new MemberFleet(speed);
  }

  /** Starts a daemon on a VM; a VM that was started before keeps its address. */
  async start(index: number): Promise<MemberDaemon> {
    const name = `vm-${index}`;
    const port = this.ports.get(name) ?? (await findFreePorts(1))[0]!;
    this.ports.set(name, port);
    const vm = { name, region: 'region', availabilityZone: `zone-${index % 3}` };
    if (!this.listing.vms.some((listed) => listed.name === name)) {
      const state = 'live' as const;
      this.listing.vms.push({ ...vm, host: '127.0.0.1', peerPort: port, callerPort: 1, state });
    }
    const daemon = await this.startDaemon(vm, port);
    this.daemons.set(name, daemon);
    return daemon;
  }

  /** Stops every daemon. */
  async stop(): Promise<void> {
    this.daemons.forEach(({ clock }) => clock.resume());
    await Promise.all([...this.daemons.values()].map((daemon) => daemon.stop()));
    await Promise.all([...this.relays.values()].map((relay) => relay.close()));
  }

  private async startDaemon(vm: Vm, port: number): Promise<MemberDaemon> {
    const kernel = Kernel.create();
    const clock = FaultyClock.create(this.speed);
    const listener = { host: '127.0.0.1', port };
    const advertised = this.speed === 1 ? await this.startRelay(vm.name, listener) : listener;
    const peers = new FaultyPeers(ConnectPeers.create(kernel, { peers: listener }), clock);
    const log = new FakeLog(this.log, clock);
    const configuration = new FakeConfiguration();
    const settings = {
      vm,
      peers: { ...listener, advertised },
      callers: { host: '127.0.0.1', port: 1 },
      operators: { host: '127.0.0.1', port: 2, tokenSha256: '' },
      snapshots: { everyMs: this.snapshotMs },
    };
    const membership = WitnessedMembership.create(kernel, settings, clock);
    kernel.register('peers', peers);
    kernel.register('record-sources', RecordSources.create(kernel));
    kernel.register('log', log);
    kernel.register('vm-list', new FakeVmList(this.listing));
    kernel.register('configuration', configuration as unknown as Configuration);
    kernel.register('membership', membership);
    const reincarnations: string[] = [];
    void membership.reincarnations().forEach((member) => {
      reincarnations.push(member.incarnation);
    });
    await kernel.start();
    peers.handle({
      withdrawKeys: ({ keyIds }) => {
        configuration.withdraw(keyIds);
        return { keyIds: [...configuration.keys] };
      },
    });
    return {
      name: vm.name,
      membership,
      clock,
      configuration,
      peers,
      reincarnations,
      setDisconnected: (cut) => Object.assign(peers, { cut }) && Object.assign(log, { cut }),
      stop: () => kernel.stop(),
    };
  }

  private async startRelay(name: string, listener: Address): Promise<Address> {
    const relay = this.relays.get(name) ?? (await createTcpRelay(listener));
    this.relays.set(name, relay);
    return { host: listener.host, port: relay.port };
  }
}
