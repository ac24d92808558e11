import type { Fleet, FleetPlan } from './fleet.js';

/**
 * Publishes the daemons in the platform's VM list, where a starting daemon finds its peers while it
 * has read no members from the log.
 *
 * @param fleet - a running fleet with relays
 * @param plan - plan from which the fleet was started
 */
export async function publishVms(fleet: Fleet, { region, zones }: FleetPlan): Promise<void> {
  const vms = fleet.daemons.map(({ name, links, callers }) => ({
    ...{ name, region, availabilityZone: zoneOf(name, zones), state: 'live' },
    ...{ host: links?.peers.host, peerPort: links?.peers.port, callerPort: callers.port },
  }));
  await fleet.vmList.setState({ vms });
}

/** Daemons are named `vm-1`, `vm-2`, … and assigned to the zones round-robin. */
function zoneOf(name: string, zones: readonly string[]): string | undefined {
  return zones[(Number(name.slice('vm-'.length)) - 1) % zones.length];
}
