import type { CallFailure } from '../kernel/call-failure.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { RelayConfiguration } from '../relay/relay-configuration.js';
import type { CatalogChange, CatalogServer } from '../relay/server-catalog.js';

/** Reason why a call to the store failed. */
export type StoreFailure = CallFailure<'unavailable' | 'compacted' | 'conflict' | 'malformed'>;

/** Result of a read of the configuration. */
export interface ConfigurationRead {
  /** Undefined when there is nothing newer. */
  readonly configuration: RelayConfiguration | undefined;
  /** Offset at which the next read begins. */
  readonly offset: number;
}

/** Result of a read of the changes of server entries. */
export interface CatalogRead {
  readonly changes: readonly CatalogChange[];
  readonly offset: number;
}

/** Snapshot of all server entries. */
export interface CatalogSnapshot {
  readonly servers: readonly CatalogServer[];
  readonly offset: number;
}

/** Client of the platform's state store, which the fleet reads and writes. */
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
   * @param offset - offset at which the last read ended
   * @param waitMs - maximum wait, in milliseconds
   * @returns a newer configuration, or none when the wait has passed
   */
  abstract nextConfiguration(
    offset: number,
    waitMs: number,
  ): Promise<Outcome<ConfigurationRead, StoreFailure>>;

  /**
   * Reads all server entries.
   *
   * @returns the entries that could be read
   */
  abstract allServers(): Promise<Outcome<CatalogSnapshot, StoreFailure>>;

  /**
   * Reads the changes of server entries.
   *
   * @param offset - offset at which the last read ended
   * @returns the changes since that offset
   */
  abstract serverChanges(offset: number): Promise<Outcome<CatalogRead, StoreFailure>>;

  /**
   * Lists the hosts of all VMs that have registered, including those that no longer run.
   *
   * @returns IP addresses
   */
  abstract registeredHosts(): Promise<Outcome<readonly string[], StoreFailure>>;

  /**
   * Registers this VM.
   *
   * @returns nothing, or why it failed
   */
  abstract register(): Promise<Outcome<void, StoreFailure>>;

  /**
   * Claims the commander role, which changes the roles of engines. The store accepts one claim for
   * each end offset of the log, so two VMs never have the same fencing number.
   *
   * @param vm - name of this VM
   * @returns the fencing number, or `conflict` when another VM claimed first
   */
  abstract claimCommand(vm: string): Promise<Outcome<number, StoreFailure>>;
}

declare module '../kernel/service.js' {
  interface Services {
    'state-store': StateStore;
  }
}
