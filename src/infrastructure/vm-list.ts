import type { Stream } from 'most';

import type { Vm } from '../domain/vm.js';
import { Service } from '../kernel/service.js';

/** State of a VM or server as reported by the platform. */
export type MachineState = 'live' | 'leaving';

/** A VM of the fleet in the platform's list. */
export interface ListedVm extends Vm {
  readonly host: string;
  readonly peerPort: number;
  readonly callerPort: number;
  readonly state: MachineState;
}

/** A backend server in the platform's list. */
export interface ListedServer {
  readonly name: string;
  readonly state: MachineState;
}

/** The platform's list, which lags behind the actual state. */
export interface VmListing {
  readonly vms: readonly ListedVm[];
  readonly servers: readonly ListedServer[];
}

/** Client for the platform's list of VMs. */
export abstract class VmList extends Service {
  /**
   * Returns the list received last.
   *
   * @returns the list, or undefined before the first one is received
   */
  abstract current(): VmListing | undefined;

  /**
   * Observes changes of the list.
   *
   * @returns a stream with an event for each list that differs from the previous one
   */
  abstract changes(): Stream<VmListing>;
}

declare module '../kernel/service.js' {
  interface Services {
    'vm-list': VmList;
  }
}
