import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { findFreePorts } from '../../harness/free-ports.js';
import { createPlatformConfiguration } from '../../harness/platform-fixtures.js';
import { createTcpRelay, type TcpRelay } from '../../harness/tcp-relay.js';
import { PlatformLog } from '../../stand-ins/platform/platform-log.js';
import { PlatformServer, type PlatformStage } from '../../stand-ins/platform/platform-server.js';
import { Disturbances } from './disturbances.js';
import { Operator } from './operator.js';
import { createAnswers, createStreams } from './answers.js';
import { SoakVm, type VmPorts } from './soak-vm.js';

/** A server that the VMs reach through a TCP relay. */
export interface SoakServer {
  readonly server: PlatformServer;
  readonly relay: TcpRelay;
  /** Wall-clock time at which it was announced as draining; undefined while it stays in service. */
  drainingSinceMs: number | undefined;
}

/**
 * Time for which a draining server stays announced, in milliseconds: twice the time that the routers
 * have to notice that it drains.
 */
export const DRAIN_MS = 4000;

/** Bound on the number of servers of a run, so that no two runs draw equal answers. */
const MAX_SERVERS = 1000;

const STAGES: readonly PlatformStage[] = [
  ...(['prefill', 'prefill', 'decode', 'decode', 'decode'] as const),
  ...[undefined, undefined, undefined],
];

/** Store, servers and router VMs of a soak run. */
export class SoakPlatform {
  readonly servers: SoakServer[] = [];

  /** Servers that have left; the requests that they recorded are still checked. */
  readonly departedServers: SoakServer[] = [];

  vms: SoakVm[] = [];

  readonly disturbances = Disturbances.create();

  readonly operator: Operator;

  /** Whether the store is about to go back to a copy, or lacks what was written since. */
  readonly isRollingBack: boolean = false;

  private nextServerNumber = 0;

  private constructor(
    readonly store: PlatformLog,
    /** Relays to the store, one for each VM. */
    readonly storeRelays: readonly TcpRelay[],
    readonly folder: string,
    private readonly seed: number,
  ) {
    this.operator = Operator.create(store, () => this.vms);
  }

  /**
   * Starts store, servers and VMs.
   *
   * @param count - number of VMs
   * @param seed - seed of the servers' answers
   * @returns the platform; the VMs may not be ready yet
   */
  static async create(count: number, seed: number): Promise<SoakPlatform> {
    const store = await PlatformLog.create();
    const [host, port] = store.address.split(':');
    const target = { host: host!, port: Number(port) };
    const storeRelays = await Promise.all(
      Array.from({ length: count }, () => createTcpRelay(target)),
    );
    const folder = await mkdtemp(path.join(tmpdir(), 'cuminspar-soak-'));
    const platform = new SoakPlatform(store, storeRelays, folder, seed);
    for (const stage of STAGES) await platform.addServer(stage);
    store.put('keyed.op', 'config', createPlatformConfiguration());
    const [front, ready, control, directory, digest, metrics] = await findFreePorts(6);
    const ports = { front, ready, control, directory, digest, metrics } as VmPorts;
    const network = chooseNetwork();
    platform.vms = await Promise.all(
      storeRelays.map((relay, index) =>
        SoakVm.create(network, index + 1, ports, `${relay.host}:${relay.port}`, folder),
      ),
    );
    await Promise.all(platform.vms.map((vm) => vm.start()));
    return platform;
  }

  /**
   * Starts a server and announces it in the store.
   *
   * @param stage - stage that the server runs; undefined for a server without stages
   */
  async addServer(stage: PlatformStage): Promise<void> {
    const number = this.nextServerNumber;
    const createSource = stage === undefined ? createAnswers : createStreams;
    const answers = createSource(this.seed * MAX_SERVERS + number);
    const server = await PlatformServer.create(`i-${number}`, stage, answers);
    this.nextServerNumber += 1;
    const [host, port] = server.entry().address.split(':');
    const relay = await createTcpRelay({ host: host!, port: Number(port) });
    const added = { server, relay, drainingSinceMs: undefined };
    this.servers.push(added);
    this.announce(added, 'ready');
  }

  /**
   * Replaces a server: starts the new one, then drains and removes the old one. Has no effect while the
   * old one is already draining.
   *
   * @param old - server to remove
   */
  async replaceServer(old: SoakServer): Promise<void> {
    if (old.drainingSinceMs !== undefined) return;
    await this.addServer(old.server.stage);
    this.announce(old, 'draining');
    Object.assign(old, { drainingSinceMs: Date.now() });
    this.servers.splice(this.servers.indexOf(old), 1);
    this.departedServers.push(old);
    await delay(DRAIN_MS);
    this.store.put('keyed.servers', old.server.id, undefined);
  }

  /** Stops everything that this run has started. */
  async close(): Promise<void> {
    await Promise.all(this.vms.map((vm) => vm.end('SIGKILL')));
    await Promise.all([...this.servers, ...this.departedServers].map(({ relay }) => relay.close()));
    [...this.servers, ...this.departedServers].forEach(({ server }) => server.close());
    await Promise.all(this.storeRelays.map((relay) => relay.close()));
    this.store.close();
  }

  private announce({ server, relay }: SoakServer, state: 'ready' | 'draining'): void {
    const address = `${relay.host}:${relay.port}`;
    this.store.put('keyed.servers', server.id, { ...server.entry(state), address });
  }
}

/** Chooses a loopback network by the process, so that the VMs of two soaks never reach each other. */
function chooseNetwork(): string {
  const { pid } = process;
  return `127.${1 + (Math.floor(pid / 256) % 255)}.${pid % 256}`;
}
