import type { Address } from '../domain/vm.js';
import type { Member, MemberStatus } from '../membership/membership.js';

/** Address of one VM that a caller may send requests to. */
export interface EntryAddress extends Address {
  readonly vm: string;
  readonly availabilityZone: string;
}

/** Inputs of the selection of entry addresses. */
export interface EntryAddressOptions {
  readonly self: Member;
  /** True when this VM may be listed. */
  readonly selfReady: boolean;
  readonly others: readonly MemberStatus[];
  /** Returns whether a member is known to be unreachable. */
  readonly unreachable: (member: Member) => boolean;
  /** Names of the VMs that hold the team's rate shares, in order of preference. */
  readonly homes: readonly string[];
  readonly count: number;
}

/**
 * Selects the addresses that a caller should use: the team's home VMs first, because they admit its
 * requests without asking other VMs, then VMs of this availability zone, then the rest. VMs that
 * this one cannot reach are listed only when there are no others, because callers would keep the
 * address of a dead VM until the response expires.
 *
 * @param options - members, homes and the number of addresses
 * @returns at most `count` addresses, in order of preference
 */
export function chooseEntryAddresses(options: EntryAddressOptions): readonly EntryAddress[] {
  const { self, selfReady, others, unreachable, homes, count } = options;
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
