import type { Fleet, FleetPlan } from './fleet.js';

/**
 * Puts the daemons on the platform's list of VMs, by which a starting daemon finds its peers while
 * the log shows it no members.
 *
 * @param fleet - a running fleet with relays
 * @param plan - what the fleet was started from
 */
export async function publishVms(fleet: Fleet, { region, zones }: FleetPlan): Promise<void> {
  const vms = fleet.daemons.map(({ name, links, callers }) => ({
    ...{ name, region, availabilityZone: zoneOf(name, zones), state: 'live' },
    ...{ host: links?.peers.host, peerPort: links?.peers.port, callerPort: callers.port },
  }));
  await fleet.vmList.setState({ vms });
}

/** The harness names daemons `vm-1`, `vm-2`, … and gives them the zones in turn. */
function zoneOf(name: string, zones: readonly string[]): string | undefined {
  return zones[(Number(name.slice('vm-'.length)) - 1) % zones.length];
}
