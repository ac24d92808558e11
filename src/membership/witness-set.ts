import { formatIncarnation } from '../domain/vm.js';
import type { Member } from './membership.js';
import { rankByRendezvous } from '../kernel/rendezvous.js';

/** Maximum number of witnesses of a member besides itself. */
export const MAX_OTHER_WITNESSES = 4;

/**
 * Chooses the witnesses of a member: itself and others of its region, spread evenly over the
 * availability zones. A member that is not chosen does not affect the choice, so its removal does not
 * change the witness set.
 *
 * @param members - the members of one epoch
 * @param vm - name of the member
 * @returns the witnesses, the member itself first; empty when there is no such member
 */
export function chooseWitnesses(members: readonly Member[], vm: string): readonly Member[] {
  const self = members.find((member) => member.vm === vm);
  if (!self) return [];
  const others = members.filter((member) => member.region === self.region && member.vm !== vm);
  const rest = rankByRendezvous(vm, others, (member) => member.vm);
  const chosen = [self];
  const perZone = new Map([[self.availabilityZone, 1]]);
  while (chosen.length <= MAX_OTHER_WITNESSES && rest.length > 0) {
    const chosenInZone = rest.map(({ availabilityZone }) => perZone.get(availabilityZone) ?? 0);
    const [next] = rest.splice(chosenInZone.indexOf(Math.min(...chosenInZone)), 1);
    if (!next) break;
    const zone = next.availabilityZone;
    perZone.set(zone, (perZone.get(zone) ?? 0) + 1);
    chosen.push(next);
  }
  return chosen;
}

/**
 * Computes the size of a majority.
 *
 * @param size - number of witnesses
 * @returns the smallest number of witnesses that is a majority
 */
export function countMajority(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * Computes a string that identifies the exact incarnations of a witness set.
 *
 * @param witnesses - the witnesses
 * @returns a string that is equal for equal sets
 */
export function witnessSetKey(witnesses: readonly Member[]): string {
  return witnesses.map(formatIncarnation).sort().join(' ');
}
