import { scoreRendezvous } from '../kernel/rendezvous.js';

/** Maximum number of VMs whose addresses callers get at once. */
export const MAX_ENTRY_VMS = 64;

/**
 * Orders VMs by which their addresses are given to callers: those with the most CPU cores first. All VMs
 * must use the same order, or callers would change their connections after each response.
 *
 * @param members - the VMs, with the CPU time that each may use
 * @returns the VMs, most preferred first
 */
export function rankEntryVms<Member extends { readonly vm: string; readonly power: number }>(
  members: readonly Member[],
): Member[] {
  return members
    .map((member) => ({ member, score: scoreRendezvous('callers', member.vm) }))
    .sort((left, right) => right.member.power - left.member.power || right.score - left.score)
    .map(({ member }) => member);
}
