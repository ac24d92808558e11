import type { Stream } from 'most';

import type { BackendServer } from '../domain/backend-server.js';
import type { Refusal } from '../domain/refusal.js';
import type { Model, Preset, Route } from '../domain/route.js';
import type { Team, TeamKey } from '../domain/team.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import type { Change } from './change.js';

/** Immutable configuration at one version. */
export interface ConfigurationState {
  /** Log offset of the last record that was folded. */
  readonly version: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly keys: ReadonlyMap<string, TeamKey>;
  readonly withdrawnKeyIds: ReadonlySet<string>;
  readonly presets: ReadonlyMap<string, Preset>;
  /** Name of the preset in force; exactly one is in force at a time. */
  readonly presetInForce: string;
  readonly models: ReadonlyMap<string, Model>;
  readonly routes: ReadonlyMap<string, Route>;
  readonly servers: ReadonlyMap<string, BackendServer>;
  /** Version of the last accepted change to each subject. */
  readonly subjects: ReadonlyMap<string, number>;
}

/** Result of a change; `unknown` when the log did not confirm it in time. */
export interface ChangeVerdict {
  readonly verdict: 'accepted' | 'stale' | 'invalid' | 'unknown';
  readonly reason: string;
  /** Offset of the change in the log; 0 when unknown. */
  readonly version: number;
  readonly changeId: string;
}

/** Owner of the key that authenticated a request. */
export interface Identity {
  readonly team: string;
  readonly keyId: string;
}

/**
 * Folds the configuration stream of the log into the current configuration and serves queries on
 * it.
 */
export abstract class Configuration extends Service {
  /**
   * Returns the configuration in force on this VM.
   *
   * @returns the newest state, or undefined before the first complete read
   */
  abstract current(): ConfigurationState | undefined;

  /**
   * Subscribes to the configuration.
   *
   * @returns a stream with an event for each new state
   */
  abstract changes(): Stream<ConfigurationState>;

  /**
   * Appends a change to the log and waits until it has been folded.
   *
   * @param change - the change
   * @param base - version of the subject that the edit is based on; undefined means the current one
   * @param operator - name of the operator who made the edit
   * @returns the verdict
   */
  abstract change(
    change: Change,
    base: number | undefined,
    operator: string,
  ): Promise<ChangeVerdict>;

  /**
   * Makes withdrawals of keys effective on this VM immediately, sends them to peers, and appends those
   * that are not in the log yet.
   *
   * @param keyIds - withdrawn keys
   * @param operator - name of the operator who withdrew them; default: this VM
   * @returns the ids that were not yet known on this VM
   */
  abstract withdraw(keyIds: readonly string[], operator?: string): readonly string[];

  /**
   * Lists all withdrawn keys that this VM knows, whether logged yet or not.
   *
   * @returns the key ids
   */
  abstract withdrawn(): ReadonlySet<string>;

  /**
   * Computes a digest of the withdrawn keys for comparison with a peer.
   *
   * @returns a digest; equal sets have equal digests
   */
  abstract withdrawnDigest(): string;

  /**
   * Subscribes to withdrawals of keys.
   *
   * @returns a stream of the key ids that become withdrawn on this VM
   */
  abstract withdrawals(): Stream<string>;

  /**
   * Authenticates a request by its key.
   *
   * @param authorization - value of the Authorization header
   * @returns the team and key id, or a refusal
   */
  abstract authenticate(authorization: string | undefined): Outcome<Identity, Refusal>;

  /**
   * Reads recently folded records, for a peer that cannot reach the log.
   *
   * @param from - first offset
   * @param limit - maximum number of records
   * @returns the records from that offset on; empty when the first one is no longer kept
   */
  abstract records(from: number, limit: number): readonly LogRecord[];

  /**
   * Returns the complete state in a form that a peer can load.
   *
   * @returns offset and state as JSON, or undefined before the first complete read
   */
  abstract snapshot(): { readonly offset: number; readonly stateJson: string } | undefined;

  /**
   * Handles the offset that a peer has folded; when it is newer than this VM's, the missing records
   * are fetched after a short delay.
   *
   * @param offset - the peer's offset
   * @param vm - name of the peer's VM
   */
  abstract observePeerOffset(offset: number, vm: string): void;

  /**
   * Compares a peer's digest of withdrawn keys with the own one; when they differ, the withdrawals
   * that are not in the log yet are sent to the peer.
   *
   * @param digest - the peer's digest
   * @param vm - name of the peer's VM
   */
  abstract observePeerDigest(digest: string, vm: string): void;
}

declare module '../kernel/service.js' {
  interface Services {
    configuration: Configuration;
  }
}
