import { nameIncarnation } from '../domain/vm.js';
import type { Member } from './membership.js';
import { rankByRendezvous } from '../kernel/rendezvous.js';

/** Witnesses of a member beside itself. */
export const MAX_OTHER_WITNESSES = 4;

/**
 * Chooses the witnesses of a member: itself and others of its region, one zone after another. A
 * member that is not chosen has no influence on the choice, so its removal changes nothing.
 *
 * @param members - the members of one epoch
 * @param vm - name of the member
 * @returns the witnesses, the member itself first; empty when it is not a member
 */
export function chooseWitnesses(members: readonly Member[], vm: string): readonly Member[] {
  const self = members.find((member) => member.vm === vm);
  if (!self) return [];
  const others = members.filter((member) => member.region === self.region && member.vm !== vm);
  const rest = rankByRendezvous(vm, others, (member) => member.vm);
  const chosen = [self];
  const perZone = new Map([[self.availabilityZone, 1]]);
  while (chosen.length <= MAX_OTHER_WITNESSES && rest.length > 0) {
    const counts = rest.map(({ availabilityZone }) => perZone.get(availabilityZone) ?? 0);
    const [next] = rest.splice(counts.indexOf(Math.min(...counts)), 1);
    if (!next) break;
    const zone = next.availabilityZone;
    perZone.set(zone, (perZone.get(zone) ?? 0) + 1);
    chosen.push(next);
  }
  return chosen;
}

/**
 * Counts how many witnesses are a majority.
 *
 * @param size - number of witnesses
 * @returns the smallest majority
 */
export function countMajority(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * Condenses the exact incarnations of a witness set.
 *
 * @param witnesses - the witnesses
 * @returns a text that is equal for equal sets
 */
export function witnessSetKey(witnesses: readonly Member[]): string {
  return witnesses.map(nameIncarnation).sort().join(' ');
}
