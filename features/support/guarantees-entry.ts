import { request } from 'undici';

import { fetchEntryAddresses } from '../../harness/entry-addresses.js';
import type { Fleet, FleetDaemon } from '../../harness/fleet.js';
import { waitFor } from '../../harness/wait-for.js';

/**
 * Finds the homes of a team, that is, the VMs that hold the shares of its rate. The entry answer
 * lists them first.
 *
 * @param fleet - a fleet whose daemons know each other
 * @param key - a key of the team
 * @param homeCount - number of homes of a team
 * @returns the homes and the other daemons
 */
export async function findHomes(
  fleet: Fleet,
  key: string,
  homeCount = 2,
): Promise<{ homes: FleetDaemon[]; others: FleetDaemon[] }> {
  const names = await waitFor('all daemons to name the same homes', async () => {
    const answers = await Promise.all(fleet.daemons.map((one) => fetchEntryAddresses(one, key)));
    const lists = answers.map(({ addresses }) => addresses.slice(0, homeCount).map(({ vm }) => vm));
    const agree = new Set(lists.map((list) => list.join())).size === 1;
    return agree && lists[0]?.length === homeCount && lists[0];
  });
  const homes = names.flatMap((name) => fleet.daemons.filter((daemon) => daemon.name === name));
  return { homes, others: fleet.daemons.filter((daemon) => !homes.includes(daemon)) };
}

/**
 * Waits until a daemon lists a VM as a member, or no longer lists it.
 *
 * @param fleet - a running fleet
 * @param at - the daemon to ask
 * @param vm - name of the VM
 * @param isMember - whether to wait for the VM to be listed or to be gone
 */
export async function waitForMember(
  fleet: Fleet,
  at: FleetDaemon,
  vm: string,
  isMember: boolean,
): Promise<void> {
  const what = `${at.name} to list ${vm} as ${isMember ? 'a' : 'no'} member`;
  await waitFor(
    what,
    async () => {
      const { vms } = await fleet.operatorClient(at).calls.status({});
      return vms.some((status) => status.vm === vm) === isMember;
    },
    { timeoutMs: 15_000, intervalMs: 100 },
  );
}

/**
 * Reads the readiness of a daemon.
 *
 * @param daemon - the daemon
 * @returns the reason why it is not ready, or `ready`
 */
export async function readReadiness({ callers }: FleetDaemon): Promise<string> {
  const answer = await request(`http://${callers.host}:${callers.port}/readyz`, { reset: true });
  const { reason = 'ready' } = (await answer.body.json()) as { reason?: string };
  return reason;
}

/**
 * Waits until a daemon reports `isolated` as the reason why it is not ready.
 *
 * @param daemon - the daemon
 * @param timeoutMs - maximum wait, in milliseconds
 */
export async function waitForIsolation(daemon: FleetDaemon, timeoutMs: number): Promise<void> {
  const isIsolated = async () => (await readReadiness(daemon)) === 'isolated';
  await waitFor(`${daemon.name} to be isolated`, isIsolated, { timeoutMs });
}

/**
 * Disconnects a daemon from all other daemons and from the log.
 *
 * @param fleet - a fleet with relays
 * @param daemon - the daemon
 */
export function isolate(fleet: Fleet, daemon: FleetDaemon): void {
  fleet.daemons
    .filter((other) => other !== daemon)
    .forEach((other) => fleet.partition(daemon, other));
  daemon.links?.log.cut();
}

/**
 * Reverts {@link isolate}.
 *
 * @param fleet - a fleet with relays
 * @param daemon - the daemon
 */
export function reconnect(fleet: Fleet, daemon: FleetDaemon): void {
  fleet.daemons
    .filter((other) => other !== daemon)
    .forEach((other) => fleet.healPartition(daemon, other));
  daemon.links?.log.heal();
}
