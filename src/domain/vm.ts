/** Where a listener can be reached. */
export interface Address {
  /** IP number. */
  readonly host: string;
  /** TCP port. */
  readonly port: number;
}

/** A machine of the system that runs the daemon. */
export interface Vm {
  readonly name: string;
  readonly region: string;
  readonly availabilityZone: string;
}

/** One run of the daemon on a VM; a restart makes a new incarnation. */
export interface Incarnation {
  readonly vm: string;
  readonly incarnation: string;
}
