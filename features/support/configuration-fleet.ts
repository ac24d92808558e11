import assert from 'node:assert/strict';

import { Code, ConnectError } from '@connectrpc/connect';

import { createMember, registerFake } from '../../harness/module-fakes.js';
import { FoldedConfiguration } from '../../src/configuration/folded-configuration.js';
import { hashSecret } from '../../src/configuration/keys.js';
import type { Address } from '../../src/domain/vm.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { ConnectOperatorListener } from '../../src/operators/connect-operator-listener.js';
import type { PeerClient, PeerHandlers } from '../../src/peers/peers.js';
import { RecordSources } from '../../src/peers/record-sources.js';
import { createSettings } from './configuration-fixtures.js';
import { FakeLog } from './fake-log.js';
import { LogView } from './log-view.js';

const clock = SystemClock.create();

/** One daemon's configuration with fakes of the services that it uses. */
export interface ConfigurationNode {
  readonly vm: string;
  readonly kernel: Kernel;
  readonly configuration: FoldedConfiguration;
  readonly handlers: PeerHandlers;
  readonly address: Address;
  readonly view: LogView;
  /** Address of the operator listener, if the daemon has one. */
  operators: Address;
}

/** Daemons that share a log and call one another in memory. */
export class ConfigurationFleet {
  readonly log = FakeLog.create();

  readonly nodes: ConfigurationNode[] = [];

  private readonly entries: ConnectOperatorListener[] = [];

  /** VMs whose daemons can neither call nor be called. */
  readonly unreachable = new Set<string>();

  /** Whether the member list is known; without it, peers are taken from the VM list. */
  membersKnown = true;

  static create(): ConfigurationFleet {
    return new ConfigurationFleet();
  }

  /**
   * Starts a daemon with an operator listener and fakes of the services that the listener reads.
   */
  async addWithOperators(vm: string, token: string, decisions: object): Promise<ConfigurationNode> {
    const node = await this.add(vm);
    const { kernel } = node;
    registerFake(kernel, 'callers', { active: () => 3, unreadyReason: () => undefined });
    registerFake(kernel, 'decisions', decisions);
    const settings = createSettings(600_000);
    const operators = { host: '127.0.0.1', port: 0, tokenSha256: hashSecret(token) };
    const entry = ConnectOperatorListener.create(kernel, { ...settings, operators }, clock);
    await entry.start();
    this.entries.push(entry);
    node.operators = { host: '127.0.0.1', port: entry.port };
    return node;
  }

  /** Starts a daemon's configuration without waiting for its first complete read. */
  async add(vm: string, snapshotEveryMs = 600_000): Promise<ConfigurationNode> {
    const kernel = Kernel.create();
    const handlers: PeerHandlers = {};
    const settings = createSettings(snapshotEveryMs);
    const configuration = FoldedConfiguration.create(kernel, settings, clock);
    const address = { host: '127.0.0.1', port: this.nodes.length + 1 };
    const view = LogView.create(this.log);
    const node = { vm, kernel, configuration, handlers, address, view, operators: address };
    this.registerFakes(node);
    kernel.register('record-sources', RecordSources.create(kernel));
    kernel.register('configuration', configuration);
    this.nodes.push(node);
    await kernel.start();
    return node;
  }

  async stop(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.stop()));
    await Promise.all(this.nodes.map((node) => node.kernel.stop()));
  }

  /** Finds the daemon on a VM. */
  find(vm: string): ConfigurationNode {
    const node = this.nodes.find((other) => other.vm === vm);
    assert.ok(node, `no daemon ${vm}`);
    return node;
  }

  private registerFakes(node: ConfigurationNode): void {
    const { kernel, vm, handlers, address } = node;
    registerFake(kernel, 'log', node.view);
    registerFake(kernel, 'logs', { warn: () => undefined });
    registerFake(kernel, 'membership', {
      self: () => createMember(vm, { incarnation: `${vm}-1` }, address),
      current: () => ({ epoch: 1, members: this.membersKnown ? this.listMembers() : [] }),
    });
    registerFake(kernel, 'vm-list', {
      current: () => ({
        vms: this.nodes.map((other) => ({
          name: other.vm,
          host: other.address.host,
          peerPort: other.address.port,
        })),
        servers: [],
      }),
    });
    registerFake(kernel, 'peers', {
      handle: (added: PeerHandlers) => Object.assign(handlers, added),
      client: (target: Address) => this.createClient(vm, target),
    });
  }

  private listMembers(): unknown[] {
    return this.nodes.map(({ vm, address, operators }) =>
      createMember(vm, { incarnation: `${vm}-1`, operators }, address),
    );
  }

  private createClient(from: string, target: Address): PeerClient {
    const call = (name: keyof PeerHandlers) => async (request: unknown) => {
      await clock.sleep(1);
      const node = this.nodes.find((other) => other.address.port === target.port);
      if (!node || this.unreachable.has(node.vm) || this.unreachable.has(from)) {
        throw new ConnectError('unreachable', Code.Unavailable);
      }
      const handler = node.handlers[name] as (value: unknown) => unknown;
      return handler(request);
    };
    const names = ['fetchRecords', 'fetchSnapshot', 'withdrawKeys'] as const;
    return Object.fromEntries(names.map((name) => [name, call(name)])) as unknown as PeerClient;
  }
}
