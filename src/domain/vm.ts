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
 * Names an incarnation in one text.
 *
 * @param incarnation - the incarnation
 * @returns a text that is equal for equal incarnations
 */
export function formatIncarnation({ vm, incarnation }: Incarnation): string {
  return `${vm}/${incarnation}`;
}
