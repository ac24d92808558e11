import type { Outcome } from '../kernel/outcome.js';
import type { CallFailure } from '../kernel/call-failure.js';
import { Service } from '../kernel/service.js';
import type { RelayConfiguration } from '../relay/relay-configuration.js';
import type { CatalogSnapshot } from './state-store.js';

/** What a VM has read from the store, for the VMs that cannot reach it. */
export interface SharedState {
  readonly configuration: RelayConfiguration | undefined;
  readonly catalog: CatalogSnapshot | undefined;
}

/** Fetches state from other VMs. */
export abstract class PeerState extends Service {
  /**
   * Asks a VM for its state.
   *
   * @param host - IP number of the VM
   * @returns its state, or why there is none
   */
  abstract fetch(host: string): Promise<Outcome<SharedState, CallFailure<'unsent' | 'unknown'>>>;
}

declare module '../kernel/service.js' {
  interface Services {
    'peer-state': PeerState;
  }
}
