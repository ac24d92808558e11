import { scoreRendezvous } from '../kernel/rendezvous.js';
import type { FleetMember } from './digest.js';

/** Largest fleet, in VMs, in which every VM sends its digest to every other VM. */
export const MAX_MESH_SIZE = 16;

/**
 * Chooses the hubs of a fleet. Their number is the square root of the fleet size, so that a hub has
 * as many reporters as there are other hubs. VMs with more CPU cores are preferred.
 *
 * @param members - candidates, including this VM
 * @param size - number of VMs in the fleet
 * @returns names of the hubs, most preferred first; empty in a fleet of at most MAX_MESH_SIZE VMs
 */
export function chooseHubs(members: readonly FleetMember[], size: number): string[] {
  if (size <= MAX_MESH_SIZE) return [];
  const eligible = members.filter(({ ready, draining }) => ready && !draining);
  const scored = eligible.map(({ vm, power }) => ({
    vm,
    power,
    score: scoreRendezvous('hubs', vm),
  }));
  scored.sort((left, right) => right.power - left.power || right.score - left.score);
  return scored.slice(0, Math.ceil(Math.sqrt(size))).map(({ vm }) => vm);
}
