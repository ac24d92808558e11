import type { Outcome } from '../kernel/outcome.js';
import type { CallFailure } from '../kernel/call-failure.js';
import { Service } from '../kernel/service.js';
import type { RelayConfiguration } from '../relay/relay-configuration.js';
import type { CatalogSnapshot } from './state-store.js';

/** What a VM has read from the store, for the VMs that cannot reach it. */
export interface SharedState {
  readonly configuration: RelayConfiguration | undefined;
  readonly catalog: CatalogSnapshot | undefined;
  /** Time for which entries that lapsed in an outage may still come back, in milliseconds. */
  readonly settlingMs: number;
}

/** Fetches state from other VMs. */
export abstract class PeerState extends Service {
  /**
   * Asks a VM for its state.
   *
   * @param host - IP number of the VM
   * @param known - version of the configuration and hash of the servers that are known here
   * @returns what is different there, or why there is no answer
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
