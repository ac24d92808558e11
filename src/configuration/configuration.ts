import type { Stream } from 'most';

import type { BackendServer } from '../domain/backend-server.js';
import type { Refusal } from '../domain/refusal.js';
import type { Model, Preset, Route } from '../domain/route.js';
import type { Team, TeamKey } from '../domain/team.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import type { Change } from './change.js';

/** The configuration at one version; never modified, only replaced. */
export interface ConfigurationState {
  /** Offset of the last record that was folded. */
  readonly version: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly keys: ReadonlyMap<string, TeamKey>;
  readonly withdrawnKeyIds: ReadonlySet<string>;
  readonly presets: ReadonlyMap<string, Preset>;
  /** Name of the one preset in force. */
  readonly presetInForce: string;
  readonly models: ReadonlyMap<string, Model>;
  readonly routes: ReadonlyMap<string, Route>;
  readonly servers: ReadonlyMap<string, BackendServer>;
  /** Version of the last accepted change to each subject. */
  readonly subjects: ReadonlyMap<string, number>;
}

/** What became of a change; `unknown` when the log did not confirm in time. */
export interface ChangeVerdict {
  readonly verdict: 'accepted' | 'stale' | 'invalid' | 'unknown';
  readonly reason: string;
  /** Offset of the change in the log; 0 when unknown. */
  readonly version: number;
  readonly changeId: string;
}

/** Whose key came with a request. */
export interface Identity {
  readonly team: string;
  readonly keyId: string;
}

/** Folds the configuration stream and answers from the result. */
export abstract class Configuration extends Service {
  /**
   * Reads the configuration in force at this VM.
   *
   * @returns the newest state, or undefined before the first complete read
   */
  abstract current(): ConfigurationState | undefined;

  /**
   * Follows the configuration.
   *
   * @returns a stream with an event for each new state
   */
  abstract changes(): Stream<ConfigurationState>;

  /**
   * Appends a change and waits for the fold's verdict.
   *
   * @param change - the change
   * @param base - version of the subject that the edit was made on; undefined takes the current one
   * @param operator - who made the edit
   * @returns the verdict
   */
  abstract change(
    change: Change,
    base: number | undefined,
    operator: string,
  ): Promise<ChangeVerdict>;

  /**
   * Makes withdrawals effective at this VM at once and appends those that are not in the log yet.
   *
   * @param keyIds - withdrawn keys
   * @param operator - who withdrew them; default: this VM
   * @returns the ids that were new here
   */
  abstract withdraw(keyIds: readonly string[], operator?: string): readonly string[];

  /**
   * Lists all withdrawn keys that this VM knows, in the log or not.
   *
   * @returns the key ids
   */
  abstract withdrawn(): ReadonlySet<string>;

  /**
   * Condenses the set of withdrawn keys for comparison with a peer.
   *
   * @returns a digest that is equal when the sets are equal
   */
  abstract withdrawnDigest(): string;

  /**
   * Follows withdrawals.
   *
   * @returns a stream of key ids that became withdrawn at this VM
   */
  abstract withdrawals(): Stream<string>;

  /**
   * Checks the key of a request.
   *
   * @param authorization - value of the Authorization header
   * @returns the team and key id, or a refusal
   */
  abstract authenticate(authorization: string | undefined): Outcome<Identity, Refusal>;

  /**
   * Reads recent folded records, for a peer that cannot reach the log.
   *
   * @param from - first offset
   * @param limit - most records
   * @returns the records from that offset that are still kept here
   */
  abstract records(from: number, limit: number): readonly LogRecord[];

  /**
   * Reads the whole state in a form that a peer can load.
   *
   * @returns offset and state as JSON, or undefined before the first complete read
   */
  abstract snapshot(): { readonly offset: number; readonly stateJson: string } | undefined;

  /**
   * Tells the fold that a peer has folded a newer offset, so that it looks for the records.
   *
   * @param offset - the peer's offset
   * @param vm - name of the peer
   */
  abstract observePeerOffset(offset: number, vm: string): void;

  /**
   * Compares a peer's digest of withdrawn keys; when it differs, the peer is sent the keys that are
   * not in the log yet.
   *
   * @param digest - the peer's digest
   * @param vm - name of the peer
   */
  abstract observePeerDigest(digest: string, vm: string): void;
}

declare module '../kernel/service.js' {
  interface Services {
    configuration: Configuration;
  }
}
