/** Where a listener can be reached. */
export interface Address {
  /** IP number. */
  readonly host: string;
  /** TCP port. */
  readonly port: number;
}

/**
 * Formats an address as the authority of a URL; an IPv6 number is put in brackets.
 *
 * @param address - where a listener can be reached
 * @returns host and port, separated by a colon
 */
export function formatAddress({ host, port }: Address): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
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
