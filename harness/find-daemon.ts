import type { Fleet, FleetDaemon } from './fleet.js';

/**
 * Finds a daemon by its position in the order in which the daemons became ready.
 *
 * @param fleet - a running fleet
 * @param number - position, from 1
 * @returns the daemon; throws when there is none
 */
export function daemonOf(fleet: Fleet, number: number): FleetDaemon {
  const daemon = fleet.daemons[number - 1];
  if (!daemon) throw new Error(`no daemon ${number}`);
  return daemon;
}

/**
 * Finds the daemon that became ready last.
 *
 * @param fleet - a running fleet
 * @returns the daemon; throws when there is none
 */
export function lastDaemonOf(fleet: Fleet): FleetDaemon {
  return daemonOf(fleet, fleet.daemons.length);
}

/**
 * Finds a daemon by its name.
 *
 * @param fleet - a running fleet
 * @param name - for example `vm-1`
 * @returns the daemon; throws when there is none
 */
export function daemonNamed(fleet: Fleet, name: string): FleetDaemon {
  const daemon = fleet.daemons.find((one) => one.name === name);
  if (!daemon) throw new Error(`no daemon ${name}`);
  return daemon;
}
