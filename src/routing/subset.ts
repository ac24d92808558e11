import type { EngineServer } from '../domain/backend-server.js';
import { rankByRendezvous } from '../kernel/rendezvous.js';

/** Maximum number of servers of one model and role that a VM uses. */
export const SUBSET_SIZE = 16;

// Part of the subset is in other zones, so that a VM still has servers when those of its own zone
// fail.
const OTHER_ZONE_SERVERS = 4;

/**
 * Selects the servers that a VM uses for a model and role, by rendezvous hashing.
 *
 * @param key - model, role and VM
 * @param servers - all servers of the model and role
 * @param zone - availability zone of the VM, which is preferred
 * @returns all servers when there are at most 16, else 16 of them
 */
export function selectSubset(
  key: string,
  servers: readonly EngineServer[],
  zone: string,
): readonly EngineServer[] {
  if (servers.length <= SUBSET_SIZE) return servers;
  const ranked = rankByRendezvous(key, servers, (server) => server.name);
  const own = ranked.filter((server) => server.availabilityZone === zone);
  const others = ranked.filter((server) => server.availabilityZone !== zone);
  const ownCount = Math.max(SUBSET_SIZE - others.length, SUBSET_SIZE - OTHER_ZONE_SERVERS);
  const chosen = own.slice(0, ownCount);
  return [...chosen, ...others.slice(0, SUBSET_SIZE - chosen.length)];
}
