import { scoreRendezvous } from '../kernel/rendezvous.js';
import type { FleetMember } from './digest.js';

/** Largest fleet in which every VM sends its digest to every other one. */
export const MAX_MESH_SIZE = 16;

/**
 * Chooses the hubs of a fleet: the square root of its size, so that a hub has as many reporters as
 * there are other hubs. VMs with more processor time go first.
 *
 * @param members - VMs that may be hubs, this one included
 * @param size - VMs of the fleet
 * @returns names of the hubs, the preferred one first; none in a small fleet
 */
export function chooseHubs(members: readonly FleetMember[], size: number): string[] {
  if (size <= MAX_MESH_SIZE) return [];
  const able = members.filter(({ ready, draining }) => ready && !draining);
  const scored = able.map(({ vm, power }) => ({ vm, power, score: scoreRendezvous('hubs', vm) }));
  scored.sort((left, right) => right.power - left.power || right.score - left.score);
  return scored.slice(0, Math.ceil(Math.sqrt(size))).map(({ vm }) => vm);
}
