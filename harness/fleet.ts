import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { request } from 'undici';

import { generateKey } from '../src/configuration/keys.js';
import type { Address } from '../src/domain/vm.js';
import { findFreePorts } from './free-ports.js';
import { createOperatorClient, type OperatorClient } from './operator-client.js';
import { launchProcess, type LaunchedProcess } from './process-launcher.js';
import { launchStandIn, type LaunchedStandIn } from './stand-in-launcher.js';
import { createTcpRelay, type TcpRelay } from './tcp-relay.js';
import { waitFor } from './wait-for.js';

/** Operator token of every fleet that is started here. */
export const OPERATOR_TOKEN = 'operator-token-of-the-test-fleet';

/** A configuration change as JSON. */
export type JsonChange = Readonly<Record<string, unknown>>;

/** An engine or plain server of a fleet. */
export interface ServerPlan {
  readonly name: string;
  readonly availabilityZone: string;
  /** Command line options of the stand-in, without its ports. */
  readonly args?: readonly string[];
  /** Configuration fields of the server, without name, address and zone. */
  readonly fields: JsonChange;
}

/** Daemons, servers, configuration and options of a fleet. */
export interface FleetPlan {
  readonly region: string;
  readonly zones: readonly string[];
  /** Number of daemons; they are assigned to the zones round-robin. */
  readonly daemons: number;
  readonly servers: readonly ServerPlan[];
  /** Configuration changes; the servers are added to them with their actual addresses. */
  readonly changes: readonly JsonChange[];
  /** Command line options of the log service. */
  readonly logArgs?: readonly string[];
  /** Whether peers, log and servers are reached through relays that can be cut. */
  readonly relayed?: boolean;
  /** Whether the relays of a relayed plan record the bytes that they forward. */
  readonly recorded?: boolean;
  /** URL of a weight store; without it the daemons have none. */
  readonly weightStoreUrl?: string;
  /** Top-level fields that replace the defaults in the settings of each daemon. */
  readonly settings?: JsonChange;
}

/** Relays in front of a daemon's peer listener and between the daemon and the log. */
export interface DaemonLinks {
  readonly peers: TcpRelay;
  readonly log: TcpRelay;
}

/** A daemon of a fleet. */
export interface FleetDaemon {
  readonly name: string;
  /** IP number of its listeners and source of its connections to peers. */
  readonly host: string;
  /** Undefined unless the plan is relayed. */
  readonly links: DaemonLinks | undefined;
  readonly settingsFile: string;
  readonly callers: Address;
  readonly operators: Address;
  process: LaunchedProcess;
}

/** A running fleet. */
export interface Fleet {
  readonly log: LaunchedStandIn;
  readonly vmList: LaunchedStandIn;
  readonly servers: ReadonlyMap<string, LaunchedStandIn>;
  /** Relays in front of the servers, by name of the server; empty unless the plan is relayed. */
  readonly serverLinks: ReadonlyMap<string, TcpRelay>;
  readonly daemons: FleetDaemon[];
  /** Starts one more daemon and does not wait until it is ready for callers. */
  readonly addDaemon: () => Promise<FleetDaemon>;
  /** Resets the connections between two daemons in both directions, until `healPartition`. */
  readonly partition: (one: FleetDaemon, other: FleetDaemon) => void;
  readonly healPartition: (one: FleetDaemon, other: FleetDaemon) => void;
  /** Restarts a daemon whose process has ended, with the same settings. */
  readonly restartDaemon: (daemon: FleetDaemon) => Promise<void>;
  /** Returns the client of a daemon's operator listener; it is created on first use. */
  readonly operatorClient: (daemon: FleetDaemon) => OperatorClient;
  /** Applies changes through a daemon in order; returns the last version, throws on a rejection. */
  readonly apply: (changes: readonly JsonChange[], daemon?: FleetDaemon) => Promise<number>;
  /** Creates a key for a team and returns its id and its text. */
  readonly giveKey: (team: string) => Promise<{ keyId: string; text: string }>;
  /** Waits until `/readyz` of a daemon answers 200. */
  readonly waitUntilReady: (daemon: FleetDaemon) => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Number of values of the second and third octet of a loopback address, which identify the run. */
const SECOND_OCTETS = 250;
const THIRD_OCTETS = 250;
const HOSTS_PER_RUN = 250;

let lastHostNumber = 0;

/**
 * Allocates a loopback address for each daemon, so that its listening ports collide neither with the
 * ports of outgoing connections, which use 127.0.0.1, nor with another run on the same machine.
 */
function allocateHost(): string {
  const run = process.pid % (SECOND_OCTETS * THIRD_OCTETS);
  lastHostNumber = (lastHostNumber % HOSTS_PER_RUN) + 1;
  return `127.${1 + (run % SECOND_OCTETS)}.${Math.floor(run / SECOND_OCTETS)}.${lastHostNumber}`;
}

const PORTS_PER_DAEMON = 3;

/**
 * Starts stand-ins and daemons, each in its own process, and applies the configuration.
 *
 * @param plan - daemons, servers, configuration and options
 * @returns the fleet; its daemons are ready for callers
 */
export async function startFleet(plan: FleetPlan): Promise<Fleet> {
  const directory = await mkdtemp(join(tmpdir(), 'cuminspar-'));
  const [log, vmList, ...servers] = await Promise.all([
    launchStandIn('log-service', plan.logArgs),
    launchStandIn('vm-list'),
    ...plan.servers.map((server) => launchServer(server)),
  ]);
  const addresses = new Map(
    plan.servers.map(({ name }, index) => [name, parseAddress(itemAt(servers, index).address)]),
  );
  const serverLinks = plan.relayed
    ? await createServerRelays(addresses, plan)
    : new Map<string, TcpRelay>();
  const daemons: FleetDaemon[] = [];
  const clients = new Map<FleetDaemon, OperatorClient>();
  const operatorClient = (daemon: FleetDaemon) => {
    const client = clients.get(daemon) ?? createOperatorClient(daemon.operators, OPERATOR_TOKEN);
    clients.set(daemon, client);
    return client;
  };
  let launchedCount = 0;
  const addDaemon = async () => {
    launchedCount += 1;
    const index = launchedCount - 1;
    const daemon = await launchDaemon(plan, index, directory, { log, vmList });
    daemons.push(daemon);
    return daemon;
  };
  const apply = async (changes: readonly JsonChange[], daemon = daemons[0]) => {
    if (!daemon) throw new Error('the fleet has no daemon');
    return applyChanges(operatorClient(daemon), changes);
  };
  const fleet: Fleet = {
    ...{ log, vmList, daemons, operatorClient, addDaemon, apply, waitUntilReady },
    servers: new Map(plan.servers.map(({ name }, index) => [name, itemAt(servers, index)])),
    serverLinks,
    partition: (one, other) => {
      one.links?.peers.block(other.host);
      other.links?.peers.block(one.host);
    },
    healPartition: (one, other) => {
      one.links?.peers.unblock(other.host);
      other.links?.peers.unblock(one.host);
    },
    restartDaemon: async (daemon) => {
      Object.assign(daemon, { process: await launchDaemonProcess(daemon.settingsFile) });
    },
    giveKey: async (team) => {
      const { keyId, text, secretHash } = generateKey();
      await apply([{ kind: 'give-key', key: { keyId, team, secretHash } }]);
      return { keyId, text };
    },
    stop: async () => {
      clients.forEach((client) => client.close());
      const all = [...daemons.map((daemon) => daemon.process), log.process, vmList.process];
      await Promise.all([...all, ...servers.map((server) => server.process)].map(killProcess));
      await rm(directory, { recursive: true, force: true });
    },
  };
  await Promise.all(Array.from({ length: plan.daemons }, addDaemon));
  // A daemon prints its ready line before it has read the log, and rejects changes until it has.
  await Promise.all(daemons.map((daemon) => waitForVersion(operatorClient(daemon), 0)));
  const version = await apply([
    ...plan.changes,
    ...createServerChanges(plan.servers, new Map([...addresses, ...serverLinks])),
  ]);
  await Promise.all(daemons.map((daemon) => waitForVersion(operatorClient(daemon), version)));
  await Promise.all(daemons.map(waitUntilReady));
  return fleet;
}

async function launchServer(server: ServerPlan): Promise<LaunchedStandIn> {
  const name = server.fields.kind === 'engine' ? 'model-engine' : 'plain-service';
  return launchStandIn(name, server.args);
}

function createServerChanges(
  plans: readonly ServerPlan[],
  addresses: ReadonlyMap<string, Address>,
): JsonChange[] {
  return plans.map(({ name, availabilityZone, fields }) => {
    const { host, port } = addresses.get(name) ?? { host: '', port: 0 };
    const address = { host, port };
    return { kind: 'put-server', server: { ...fields, name, availabilityZone, address } };
  });
}

async function createServerRelays(
  addresses: ReadonlyMap<string, Address>,
  { recorded }: FleetPlan,
): Promise<Map<string, TcpRelay>> {
  const entries = [...addresses].map(async ([name, address]): Promise<[string, TcpRelay]> => [
    name,
    await createTcpRelay(address, { record: recorded }),
  ]);
  return new Map(await Promise.all(entries));
}

function parseAddress(text: string): Address {
  const [host = '', port] = text.split(':');
  return { host, port: Number(port) };
}

async function launchDaemon(
  plan: FleetPlan,
  index: number,
  directory: string,
  platform: { readonly log: LaunchedStandIn; readonly vmList: LaunchedStandIn },
): Promise<FleetDaemon> {
  const name = `vm-${index + 1}`;
  const host = allocateHost();
  const ports = await findFreePorts(PORTS_PER_DAEMON, host);
  const [callers, peers, operators] = ports.map((port) => ({ host, port }));
  if (!callers || !peers || !operators) throw new Error('no free ports');
  const logAddress = parseAddress(platform.log.address);
  const relay = (target: Address) => createTcpRelay(target, { record: plan.recorded });
  const links = plan.relayed
    ? { peers: await relay(peers), log: await relay(logAddress) }
    : undefined;
  const log = links?.log ?? logAddress;
  const tokenSha256 = createHash('sha256').update(OPERATOR_TOKEN).digest('hex');
  const settings = {
    vm: { name, region: plan.region, availabilityZone: plan.zones[index % plan.zones.length] },
    callers,
    peers: links
      ? { ...peers, advertised: { host: links.peers.host, port: links.peers.port } }
      : peers,
    operators: { ...operators, tokenSha256 },
    platform: {
      log: { urls: [`http://${log.host}:${log.port}`] },
      vmList: { url: platform.vmList.url },
      weightStore: plan.weightStoreUrl === undefined ? undefined : { url: plan.weightStoreUrl },
    },
    traces: { file: join(directory, `${name}.spans`) },
    ...plan.settings,
  };
  const settingsFile = join(directory, `${name}.json`);
  await writeFile(settingsFile, JSON.stringify(settings));
  const launched = await launchDaemonProcess(settingsFile);
  return { ...{ name, host, links, settingsFile, callers, operators }, process: launched };
}

function launchDaemonProcess(settingsFile: string): Promise<LaunchedProcess> {
  return launchProcess('src/daemon', {
    args: ['--settings', settingsFile],
    isReady: (line) => line.message === 'ready',
  });
}

async function applyChanges(
  client: OperatorClient,
  changes: readonly JsonChange[],
): Promise<number> {
  let version = 0;
  for (const change of changes) {
    const answer = await client.calls.change({
      changeJson: JSON.stringify(change),
      base: -1n,
      operator: 'harness',
    });
    if (answer.verdict !== 'accepted') {
      throw new Error(`${JSON.stringify(change)}: ${answer.verdict}, ${answer.reason}`);
    }
    version = Number(answer.version);
  }
  return version;
}

async function waitForVersion(client: OperatorClient, version: number): Promise<void> {
  await waitFor(
    `configuration version ${version}`,
    async () => {
      const shown = await client.calls.showConfiguration({});
      return Number(shown.version) >= version;
    },
    { timeoutMs: 15_000 },
  );
}

async function waitUntilReady(daemon: FleetDaemon): Promise<void> {
  const { host, port } = daemon.callers;
  await waitFor(
    `${daemon.name} to be ready`,
    async () => {
      const response = await request(`http://${host}:${port}/readyz`, { reset: true });
      const text = await response.body.text();
      if (response.statusCode === 200) return true;
      throw new Error(text);
    },
    { timeoutMs: 15_000 },
  );
}

async function killProcess(launched: LaunchedProcess): Promise<void> {
  await launched.kill();
}

function itemAt<Item>(items: readonly Item[], index: number): Item {
  const item = items[index];
  if (item === undefined) throw new Error(`no item ${index}`);
  return item;
}
