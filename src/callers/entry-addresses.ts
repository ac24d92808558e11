import type { Address } from '../domain/vm.js';
import type { Member, MemberStatus } from '../membership/membership.js';

/** One address that a caller may use. */
export interface EntryAddress extends Address {
  readonly vm: string;
  readonly availabilityZone: string;
}

/** What the choice of entry addresses depends on. */
export interface EntryAddressOptions {
  readonly self: Member;
  /** True when this VM may be named. */
  readonly selfReady: boolean;
  readonly others: readonly MemberStatus[];
  /** Tells whether a member is known not to answer. */
  readonly unreachable: (member: Member) => boolean;
  /** Names of the VMs that hold the team's shares, the preferred one first. */
  readonly homes: readonly string[];
  readonly count: number;
}

/**
 * Chooses the addresses that a caller should use: the team's home VMs first, since they admit its
 * requests without asking others, then VMs of this availability zone, then the rest. VMs that do not
 * answer this one are named only when there is no other: callers would keep the address of a dead VM
 * until the answer runs out.
 *
 * @param choice - members and homes
 * @returns at most `count` addresses, the preferred one first
 */
export function chooseEntryAddresses(choice: EntryAddressOptions): readonly EntryAddress[] {
  const { self, selfReady, others, unreachable, homes, count } = choice;
  const listed = others.filter(({ draining }) => !draining).map(({ member }) => member);
  const reached = listed.filter((member) => !unreachable(member));
  const usable = selfReady ? [self, ...reached] : reached;
  const candidates = usable.length > 0 ? usable : listed;
  const rank = (member: Member) => {
    const home = homes.indexOf(member.vm);
    if (home >= 0) return home;
    return homes.length + (member.availabilityZone === self.availabilityZone ? 0 : 1);
  };
  return candidates
    .toSorted((a, b) => rank(a) - rank(b))
    .slice(0, count)
    .map(({ vm, availabilityZone, callers }) => ({ vm, availabilityZone, ...callers }));
}
