import type { CallFailure } from '../kernel/call-failure.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { RelayConfiguration } from '../relay/relay-configuration.js';
import type { CatalogChange, CatalogServer } from '../relay/server-catalog.js';

/** Why the store gave no answer. */
export type StoreFailure = CallFailure<'unavailable' | 'compacted' | 'conflict' | 'malformed'>;

/** Result of a read of the configuration. */
export interface ConfigurationRead {
  /** Undefined when there is nothing newer. */
  readonly configuration: RelayConfiguration | undefined;
  /** Where the next read begins. */
  readonly offset: number;
}

/** Result of a read of the servers' entries. */
export interface CatalogRead {
  readonly changes: readonly CatalogChange[];
  readonly offset: number;
}

/** All entries at once. */
export interface CatalogSnapshot {
  readonly servers: readonly CatalogServer[];
  readonly offset: number;
}

/** What the fleet reads from and keeps in the store of its platform. */
export abstract class StateStore extends Service {
  /**
   * Reads the newest configuration.
   *
   * @returns the configuration, if there is one
   */
  abstract newestConfiguration(): Promise<Outcome<ConfigurationRead, StoreFailure>>;

  /**
   * Waits for the next configuration.
   *
   * @param offset - where the last read ended
   * @param waitMs - longest wait
   * @returns a newer configuration, or none after the wait
   */
  abstract nextConfiguration(
    offset: number,
    waitMs: number,
  ): Promise<Outcome<ConfigurationRead, StoreFailure>>;

  /**
   * Reads all servers' entries.
   *
   * @returns the entries that can be read
   */
  abstract allServers(): Promise<Outcome<CatalogSnapshot, StoreFailure>>;

  /**
   * Reads the changes of servers' entries.
   *
   * @param offset - where the last read ended
   * @returns the changes since then
   */
  abstract serverChanges(offset: number): Promise<Outcome<CatalogRead, StoreFailure>>;

  /**
   * Lists the hosts of VMs that have registered, those that are gone included.
   *
   * @returns IP numbers
   */
  abstract registeredHosts(): Promise<Outcome<readonly string[], StoreFailure>>;

  /**
   * Registers this VM.
   *
   * @returns nothing, or why it failed
   */
  abstract register(): Promise<Outcome<void, StoreFailure>>;

  /**
   * Claims the command over the engines' roles. The store accepts one claim for each end of the log,
   * so two VMs never hold the same fencing number.
   *
   * @param vm - name of this VM
   * @returns the fencing number, or `conflict` when another VM was first
   */
  abstract claimCommand(vm: string): Promise<Outcome<number, StoreFailure>>;
}

declare module '../kernel/service.js' {
  interface Services {
    'state-store': StateStore;
  }
}
