import type { Outcome } from '../kernel/outcome.js';
import type { CallFailure } from '../kernel/call-failure.js';
import { Service } from '../kernel/service.js';
import type { RelayConfiguration } from '../relay/relay-configuration.js';
import type { CatalogSnapshot } from './state-store.js';

/** State that a VM has read from the store, for the VMs that cannot reach the store. */
export interface SharedState {
  readonly configuration: RelayConfiguration | undefined;
  readonly catalog: CatalogSnapshot | undefined;
  /** Time for which entries that expired during a store outage may still return, in milliseconds. */
  readonly settlingMs: number;
}

/** Fetches the state of other VMs. */
export abstract class PeerState extends Service {
  /**
   * Asks a VM for the state that differs from what this VM knows.
   *
   * @param host - IP address of the VM
   * @param known - version of the configuration and hash of the server entries that this VM knows
   * @returns the state that differs, or why there is no answer
   */
  abstract fetch(
    host: string,
    known: { readonly configuration: number; readonly catalogHash: number },
  ): Promise<Outcome<SharedState, CallFailure<'unsent' | 'unknown'>>>;
}

declare module '../kernel/service.js' {
  interface Services {
    'peer-state': PeerState;
  }
}
