import type { StorePosition } from '../domain/store-position.js';
import type { CallFailure } from '../kernel/call-failure.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { ZoneRecord } from '../relay/evacuations.js';
import type { RelayConfiguration } from '../relay/relay-configuration.js';
import type { CatalogChange, CatalogServer } from '../relay/server-catalog.js';

/**
 * Reason why a call to the store failed. A call that was `interrupted` says nothing of the store: another one has
 * failed, and the connection of this one may have gone silent too. It is repeated at once. After `compacted` and `rolled-back` there are no changes since the
 * position of the read, and everything must be read again.
 */
export type StoreFailure = CallFailure<
  'unavailable' | 'interrupted' | 'compacted' | 'rolled-back' | 'conflict' | 'malformed'
>;

/** Result of a read of the configuration. */
export interface ConfigurationRead {
  /** Undefined when there is nothing newer. */
  readonly configuration: RelayConfiguration | undefined;
  /** Records of evacuated zones: the newest of each in a read of the newest, else those since the last read. */
  readonly zones: readonly ZoneRecord[];
  /** Position at which the next read begins. */
  readonly position: StorePosition;
}

/** Result of a read of the changes of server entries. */
export interface CatalogRead {
  readonly changes: readonly CatalogChange[];
  /** Position at which the next read begins. */
  readonly position: StorePosition;
}

/** Snapshot of all server entries, with the position up to which changes are included. */
export interface CatalogSnapshot extends StorePosition {
  readonly servers: readonly CatalogServer[];
}

/** Client of the platform's state store, which the fleet reads and writes. */
export abstract class StateStore extends Service {
  /** Highest era that the store has named in any of its answers; undefined before the first answer. */
  abstract get era(): number | undefined;

  /**
   * Reads the newest configuration.
   *
   * @returns the configuration, if there is one
   */
  abstract newestConfiguration(): Promise<Outcome<ConfigurationRead, StoreFailure>>;

  /**
   * Waits for the next configuration.
   *
   * @param position - position at which the last read ended
   * @param waitMs - maximum wait, in milliseconds
   * @returns a newer configuration, or none when the wait has passed
   */
  abstract nextConfiguration(
    position: StorePosition,
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
   * @param position - position at which the last read ended
   * @returns the changes since that position
   */
  abstract serverChanges(position: StorePosition): Promise<Outcome<CatalogRead, StoreFailure>>;

  /**
   * Lists the hosts of all VMs that have registered, including those that no longer run.
   *
   * @returns IP addresses
   */
  abstract registeredHosts(): Promise<Outcome<readonly string[], StoreFailure>>;

  /**
   * Registers this VM.
   *
   * @returns the era of the store that has the registration, or why it failed
   */
  abstract register(): Promise<Outcome<number, StoreFailure>>;

  /**
   * Claims the commander role, which changes the roles of engines. The store accepts one claim for
   * each end offset of the log, so two VMs never have claims at the same position.
   *
   * @param vm - name of this VM
   * @returns the position of the claim, or `conflict` when another VM has claimed since the last answer to
   * this one; the first call may be a conflict because nothing is known of earlier claims
   */
  abstract claimCommand(vm: string): Promise<Outcome<StorePosition, StoreFailure>>;
}

declare module '../kernel/service.js' {
  interface Services {
    'state-store': StateStore;
  }
}
