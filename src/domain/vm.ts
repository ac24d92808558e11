/** Network address of a listener. */
export interface Address {
  /** IP address. */
  readonly host: string;
  /** TCP port. */
  readonly port: number;
}

/**
 * Formats an address as the authority of a URL; an IPv6 address is put in brackets.
 *
 * @param address - network address of a listener
 * @returns host and port, separated by a colon
 */
export function formatAddress({ host, port }: Address): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** A VM that runs the daemon. */
export interface Vm {
  readonly name: string;
  readonly region: string;
  readonly availabilityZone: string;
}

/** One run of the daemon process on a VM; a restart creates a new incarnation. */
export interface Incarnation {
  readonly vm: string;
  readonly incarnation: string;
}

/**
 * Compares two incarnations.
 *
 * @param left - one incarnation
 * @param right - the other
 * @returns true when they are the same run on the same VM
 */
export function sameIncarnation(left: Incarnation, right: Incarnation): boolean {
  return left.vm === right.vm && left.incarnation === right.incarnation;
}

/**
 * Formats an incarnation as a string that can serve as a map key.
 *
 * @param incarnation - the incarnation
 * @returns a string that is equal for equal incarnations only
 */
export function formatIncarnation({ vm, incarnation }: Incarnation): string {
  return `${vm}/${incarnation}`;
}
