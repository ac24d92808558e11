import { setImmediate as flush } from 'node:timers/promises';

import { createFake, registerFake } from '../../harness/module-fakes.js';
import { PEER_TIMEOUT_MS } from '../../src/fleet/peer-table.js';
import { CallFailure } from '../../src/kernel/call-failure.js';
import type { StorePosition } from '../../src/domain/store-position.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { ManualClock } from '../../src/kernel/manual-clock.js';
import { fail, succeed, type Outcome } from '../../src/kernel/outcome.js';
import { ServerLimits } from '../../src/relay/server-limits.js';
import { ServerCatalog } from '../../src/relay/server-catalog.js';
import type { RelayConfiguration } from '../../src/relay/relay-configuration.js';
import { StateFollower } from '../../src/state/state-follower.js';
import type { ZoneRecord } from '../../src/relay/evacuations.js';
import type { CatalogChange } from '../../src/relay/server-catalog.js';
import type { ConfigurationRead, StoreFailure } from '../../src/state/state-store.js';
import {
  createCatalogServer,
  createLimitSharers,
  createRelayConfiguration,
} from './relay-fixtures.js';

/** Interval between the digests of the simulated fleet, in milliseconds. */
const DIGEST_INTERVAL_MS = 240;

/** Distances to the peers whose digests a VM receives; each round of digests has other peers. */
const PEER_DISTANCES = [1, 3, 7, 11] as const;

/** Number of availability zones, to which the VMs belong in turn. */
const ZONES = 3;

/** Time after which a fetch of the state of a VM that was killed fails, in milliseconds. */
const FETCH_TIMEOUT_MS = 800;

const NEVER = new Promise<never>(() => {});

/** One VM with a real follower and fakes of its other services. */
export interface FollowingVm {
  readonly name: string;
  readonly follower: StateFollower;
  readonly relay: {
    configuration: RelayConfiguration | undefined;
    readonly catalog: ServerCatalog;
  };
  /** Number of calls to the store. */
  calls: number;
  /** Whether the store refuses the calls of this VM. */
  refused: boolean;
  /** When it was killed, as simulated time in milliseconds; undefined while it runs. */
  killedMs: number | undefined;
}

/** Content of the store at some moment. */
interface StoreCopy {
  readonly configuration: RelayConfiguration;
  readonly operations: readonly Pick<ZoneRecord, 'zone' | 'evacuated'>[];
  readonly changes: readonly CatalogChange[];
  readonly registered: ReadonlySet<string>;
}

/** Several followers of one store, on one manual clock and without a network. */
export class StoreFollowerFleet {
  readonly clock = ManualClock.create(1_000_000);

  readonly vms: FollowingVm[] = [];

  private configuration = createRelayConfiguration({ version: 1 });

  private changes: CatalogChange[] = [];

  /** Names of the VMs whose registration the store has. */
  registered = new Set<string>();

  private era = 0;

  private operations: Pick<ZoneRecord, 'zone' | 'evacuated'>[] = [];

  private copy: StoreCopy | undefined;

  private rounds = 0;

  /** Whether the servers still write heartbeats. */
  private sendsHeartbeats = true;

  /** Offset of the first change that the store still has. */
  private earliestChange = 0;

  /** Starts followers of a store with one server. */
  static async create(count: number): Promise<StoreFollowerFleet> {
    const fleet = new StoreFollowerFleet();
    fleet.changes.push({ id: 'a', server: createCatalogServer({ id: 'a' }) });
    for (let index = 0; index < count; index += 1) await fleet.add(`vm-${index}`);
    return fleet;
  }

  /** Puts a configuration and a leaving server into the store. */
  change(version: number): void {
    this.configuration = createRelayConfiguration({ version });
    this.changes.push({ id: 'a', server: createCatalogServer({ id: 'a', leaving: true }) });
  }

  /** Adds a server. */
  addServer(id: string): void {
    this.changes.push({ id, server: createCatalogServer({ id }) });
  }

  /** Removes the second server, which is the last change. */
  removeServer(): void {
    this.changes.push({ id: 'b', server: undefined });
    this.sendsHeartbeats = false;
  }

  /** Refuses the calls of all VMs, or of none. */
  refuseAll(refused: boolean): void {
    this.vms.forEach((vm) => Object.assign(vm, { refused }));
  }

  /** Refuses the calls of the VMs that are store readers now. */
  refuseReaders(): void {
    this.vms
      .filter(({ follower }) => follower.rank < 3)
      .forEach((vm) => Object.assign(vm, { refused: true }));
  }

  /** Kills three VMs that are store readers now; the others hear it when digests of them stay away. */
  killReaders(): void {
    this.kill(({ follower }) => follower.rank < 3);
  }

  /** Kills every second VM. */
  killHalf(): void {
    this.kill((vm) => this.vms.indexOf(vm) % 2 === 0);
  }

  /** Kills all VMs of an availability zone. */
  killZone(zone: string): void {
    this.kill((vm) => this.describe(vm).zone === zone);
  }

  private kill(isHit: (vm: FollowingVm) => boolean): void {
    const killedMs = this.clock.monotonicMs();
    this.vms.filter(isHit).forEach((vm) => Object.assign(vm, { killedMs }));
  }

  /** VMs that have not been killed. */
  get liveVms(): FollowingVm[] {
    return this.vms.filter(({ killedMs }) => killedMs === undefined);
  }

  private describe(vm: FollowingVm) {
    const { name, follower } = vm;
    const zone = `zone-${this.vms.indexOf(vm) % ZONES}`;
    const { ready, reachesStore } = follower;
    return { vm: name, zone, ready, draining: false, reachesStore };
  }

  /** Drops all changes and refuses the calls of all VMs. */
  compact(): void {
    this.earliestChange = this.changes.length + 10;
    this.vms.forEach((vm) => Object.assign(vm, { refused: true }));
  }

  /** Writes that a zone is evacuated, or not any more. */
  evacuate(zone: string, evacuated: boolean): void {
    this.operations.push({ zone, evacuated });
  }

  private zoneRecords(): ZoneRecord[] {
    return this.operations.map((operation, offset) => ({ ...operation, era: this.era, offset }));
  }

  /** Takes a copy of the store. */
  takeCopy(): void {
    const { configuration, changes, registered } = this;
    const operations = [...this.operations];
    this.copy = {
      configuration,
      operations,
      changes: [...changes],
      registered: new Set(registered),
    };
  }

  /** Puts the copy in place of the store. */
  rollBack(): void {
    const { configuration, operations, changes, registered } = this.copy!;
    this.operations = [...operations];
    this.era += 1;
    this.configuration = configuration;
    this.changes = [...changes];
    this.registered = new Set(registered);
  }

  /** Writes heartbeats of the first server. */
  writeHeartbeats(count: number): void {
    const [first] = this.changes;
    for (let index = 0; index < count; index += 1) this.changes.push(first!);
  }

  /** Forgets the calls to the store so far. */
  resetCalls(): void {
    this.vms.forEach((vm) => Object.assign(vm, { calls: 0 }));
  }

  /** Advances the time; the VMs exchange digests meanwhile. */
  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 20) {
      this.clock.advance(20);
      // The servers write heartbeats continuously.
      const [first] = this.changes;
      if (this.sendsHeartbeats && passed % 200 === 0) this.changes.push(this.lastOf('a') ?? first!);
      if (passed % DIGEST_INTERVAL_MS === 0) this.exchangeDigests();
      // Requests look up servers continuously.
      this.vms.forEach(({ relay }) => relay.catalog.usable('pool', this.clock.monotonicMs()));
      await flush();
    }
  }

  private lastOf(id: string): CatalogChange | undefined {
    return this.changes.findLast((change) => change.id === id);
  }

  private exchangeDigests(): void {
    const live = this.liveVms;
    const advertisements = live.map(({ name, follower, relay }) => ({
      host: name,
      configuration: relay.configuration?.version ?? -1,
      era: follower.catalogPosition.era,
      evacuations: relay.catalog.evacuations.report,
      catalog: follower.catalogPosition.offset,
      catalogHash: follower.catalogHash,
    }));
    this.rounds += 1;
    live.forEach(({ follower }, index) => {
      PEER_DISTANCES.map(
        (step) => advertisements[(index + step * this.rounds) % advertisements.length]!,
      ).forEach((advertisement) => follower.handleAdvertisement(advertisement));
    });
  }

  private async add(name: string): Promise<void> {
    const kernel = Kernel.create();
    const relay = createFake({
      configuration: undefined as RelayConfiguration | undefined,
      catalog: ServerCatalog.create(),
      limits: ServerLimits.create({ sharers: () => createLimitSharers([name]) }),
      recordEntries: () => undefined,
      configure(configuration: RelayConfiguration) {
        if (configuration.version <= (relay.configuration?.version ?? -1)) return false;
        relay.configuration = configuration;
        return true;
      },
    });
    const follower = StateFollower.create(kernel, this.clock);
    const vm: FollowingVm = {
      ...{ name, follower, relay, calls: 0, refused: false, killedMs: undefined },
    };
    this.vms.push(vm);
    registerFake(kernel, 'relay', relay);
    registerFake(kernel, 'logs', { info: () => undefined, warn: () => undefined });
    registerFake(kernel, 'metrics', { increment: () => undefined });
    registerFake(kernel, 'fleet', this.createFleet(vm));
    registerFake(kernel, 'state-store', this.createStore(vm));
    registerFake(kernel, 'peer-state', {
      fetch: async (host: string, known: { configuration: number; catalogHash: number }) => {
        const other = this.vms.find((each) => each.name === host)!;
        if (other.killedMs === undefined) return succeed(other.follower.changesSince(known));
        await this.clock.sleep(FETCH_TIMEOUT_MS);
        return fail(CallFailure.create('unknown' as const, 'no answer'));
      },
    });
    await follower.start();
  }

  private createFleet(vm: FollowingVm): object {
    const { vms } = this;
    const describe = (described: FollowingVm) => this.describe(described);
    const isHeard = ({ killedMs }: FollowingVm) =>
      killedMs === undefined || this.clock.monotonicMs() - killedMs < PEER_TIMEOUT_MS;
    return {
      vm: vm.name,
      get self() {
        return describe(vm);
      },
      addHosts: () => undefined,
      get size() {
        return vms.length;
      },
      get peers() {
        return vms.filter((other) => other !== vm && isHeard(other)).map(describe);
      },
    };
  }

  private createStore(vm: FollowingVm): object {
    const answer = async <Value>(
      value: () => Outcome<Value, StoreFailure>,
    ): Promise<Outcome<Value, StoreFailure>> => {
      Object.assign(vm, { calls: vm.calls + 1 });
      if (vm.killedMs !== undefined) await NEVER;
      await this.clock.sleep(4);
      if (vm.refused) return fail(CallFailure.create('unavailable', 'status 503'));
      return value();
    };
    const rolledBack = () => fail(CallFailure.create('rolled-back' as const, 'another era'));
    const read = ({ era, offset }: StorePosition) => {
      if (era !== this.era) return rolledBack();

      const gone = offset < this.earliestChange;
      if (gone) return fail(CallFailure.create('compacted' as const, 'status 410'));
      const position = { era, offset: this.changes.length };
      return succeed({ changes: this.changes.slice(offset), position });
    };
    let answeredEra: number | undefined;
    const noteEra = <Value>(value: Value): Value => {
      answeredEra = this.era;
      return value;
    };
    return {
      get era() {
        return answeredEra;
      },
      register: () =>
        answer(() => {
          this.registered.add(vm.name);
          return succeed(noteEra(this.era));
        }),
      registeredHosts: () => answer(() => noteEra(succeed([]))),
      newestConfiguration: () =>
        answer(() => {
          const position = { era: this.era, offset: this.operations.length };
          return noteEra(
            succeed({ configuration: this.configuration, zones: this.zoneRecords(), position }),
          );
        }),
      nextConfiguration: async (position: StorePosition, waitMs: number) => {
        const { version } = this.configuration;
        for (let waited = 0; waited < waitMs; waited += 100) {
          if (this.configuration.version !== version || this.operations.length !== position.offset)
            break;
          await this.clock.sleep(100);
        }
        return answer<ConfigurationRead>(() => {
          if (position.era !== this.era) return noteEra(rolledBack());
          const zones = this.zoneRecords().filter(({ offset }) => offset >= position.offset);
          const next = { era: this.era, offset: this.operations.length };
          return succeed({ configuration: this.configuration, zones, position: next });
        });
      },
      allServers: () =>
        answer(() => {
          const servers = ['a', 'b', 'c'].flatMap((id) => this.lastOf(id)?.server ?? []);
          return noteEra(succeed({ servers, era: this.era, offset: this.changes.length }));
        }),
      serverChanges: (position: StorePosition) => answer(() => noteEra(read(position))),
    };
  }
}
