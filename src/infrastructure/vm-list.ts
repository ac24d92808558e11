import type { Stream } from 'most';

import type { Vm } from '../domain/vm.js';
import { Service } from '../kernel/service.js';

/** State of a machine as the platform sees it. */
export type MachineState = 'live' | 'leaving';

/** A VM of the system in the platform's list. */
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

/** The platform's list, which lags behind reality. */
export interface VmListing {
  readonly vms: readonly ListedVm[];
  readonly servers: readonly ListedServer[];
}

/** Follows the platform's list of VMs. */
export abstract class VmList extends Service {
  /**
   * Reads the last list that was received.
   *
   * @returns the list, or undefined when none has been received
   */
  abstract current(): VmListing | undefined;

  /**
   * Follows the list.
   *
   * @returns a stream with an event for each changed list
   */
  abstract changes(): Stream<VmListing>;
}

declare module '../kernel/service.js' {
  interface Services {
    'vm-list': VmList;
  }
}
