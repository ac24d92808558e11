import { createHash } from 'node:crypto';

import { type Incarnation, sameIncarnation } from '../domain/vm.js';
import type { Member, MemberEpoch } from '../membership/membership.js';

/** Maximum number of cached home lists; the cache is cleared when it is reached. */
const MAX_CACHED_TEAMS = 10_000;

/** Maximum number of cached member hashes; the cache is cleared when it is reached. */
const MAX_CACHED_VMS = 4096;

/** Marks a member that has been selected as a home; hash scores are never negative. */
const SELECTED_SCORE = -1;

/**
 * Assigns home VMs to teams by rendezvous hashing, spread over availability zones. A home VM holds
 * a share of the team's token bucket.
 */
export class HomeAssignment {
  private readonly homesByTeam = new Map<string, readonly Member[]>();

  private readonly vmHashes = new Map<string, number>();

  private cachedEpoch: MemberEpoch | undefined;

  private constructor(private readonly homeCount: number) {}

  /**
   * Creates an assignment.
   *
   * @param homeCount - maximum number of homes per team
   * @returns a new assignment
   */
  static create(homeCount: number): HomeAssignment {
    return new HomeAssignment(homeCount);
  }

  /**
   * Returns a team's homes. The homes of each team that was looked up are cached for the last epoch.
   *
   * @param team - name of the team
   * @param epoch - the member list
   * @returns the homes in the order of their selection; the first has the highest score
   */
  homes(team: string, epoch: MemberEpoch): readonly Member[] {
    if (this.cachedEpoch !== epoch || this.homesByTeam.size >= MAX_CACHED_TEAMS)
      this.homesByTeam.clear();
    this.cachedEpoch = epoch;
    const known = this.homesByTeam.get(team);
    if (known) return known;
    const homes = this.computeHomes(team, epoch.members);
    this.homesByTeam.set(team, homes);
    return homes;
  }

  /**
   * Computes the fraction of a team's limits that a member holds in an epoch.
   *
   * @param team - name of the team
   * @param epoch - the member list
   * @param member - the member
   * @returns 1 / number of homes, or 0 when the member is not a home
   */
  fractionOf(team: string, epoch: MemberEpoch, member: Incarnation): number {
    const homes = this.homesIn(team, epoch);
    return homes.some((home) => sameIncarnation(home, member)) ? 1 / homes.length : 0;
  }

  /**
   * Finds the current members that held a larger fraction in an earlier epoch than they hold now.
   * They may still spend the difference until they have confirmed the current epoch.
   *
   * @param team - name of the team
   * @param history - epochs that a current member may still apply, the current one last
   * @returns the members whose confirmation is needed
   */
  findDisplaced(team: string, history: readonly MemberEpoch[]): readonly Member[] {
    const current = history.at(-1);
    if (!current) return [];
    const earlier = history.slice(0, -1).flatMap((epoch) => this.computeFractions(team, epoch));
    return current.members.filter((member) => {
      const largest = earlier
        .filter((holder) => sameIncarnation(holder.member, member))
        .reduce((maximum, holder) => Math.max(maximum, holder.fraction), 0);
      return largest > 0 && largest > this.fractionOf(team, current, member);
    });
  }

  private homesIn(team: string, epoch: MemberEpoch): readonly Member[] {
    return this.cachedEpoch === epoch
      ? this.homes(team, epoch)
      : this.computeHomes(team, epoch.members);
  }

  private computeFractions(
    team: string,
    epoch: MemberEpoch,
  ): { member: Member; fraction: number }[] {
    const homes = this.homesIn(team, epoch);
    return homes.map((member) => ({ member, fraction: 1 / homes.length }));
  }

  private computeHomes(team: string, members: readonly Member[]): readonly Member[] {
    const teamHash = hash(team);
    const scores = members.map((member) => mix(teamHash, this.vmHash(member.vm)));
    const zones = new Set<string>();
    const homes: Member[] = [];
    while (homes.length < Math.min(this.homeCount, members.length)) {
      const best = findBest(members, scores, zones);
      homes.push(members[best]!);
      zones.add(members[best]!.availabilityZone);
      scores[best] = SELECTED_SCORE;
    }
    return homes;
  }

  private vmHash(vm: string): number {
    const known = this.vmHashes.get(vm);
    if (known !== undefined) return known;
    if (this.vmHashes.size >= MAX_CACHED_VMS) this.vmHashes.clear();
    const computed = hash(vm);
    this.vmHashes.set(vm, computed);
    return computed;
  }
}

/**
 * Finds the member with the highest score, preferring zones without a home. Ties are broken by VM
 * name.
 */
function findBest(
  members: readonly Member[],
  scores: readonly number[],
  zones: ReadonlySet<string>,
): number {
  let best = -1;
  let bestIsElsewhere = false;
  for (let index = 0; index < members.length; index += 1) {
    if (scores[index] === SELECTED_SCORE) continue;
    const elsewhere = !zones.has(members[index]!.availabilityZone);
    const better =
      best === -1 ||
      (elsewhere === bestIsElsewhere
        ? precedes(members, scores, index, best)
        : elsewhere && !bestIsElsewhere);
    if (!better) continue;
    best = index;
    bestIsElsewhere = elsewhere;
  }
  return best;
}

function precedes(
  members: readonly Member[],
  scores: readonly number[],
  left: number,
  right: number,
): boolean {
  if (scores[left] !== scores[right]) return scores[left]! > scores[right]!;
  return members[left]!.vm < members[right]!.vm;
}

function hash(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/* eslint-disable no-bitwise -- integer mixing needs bit operations */
function mix(left: number, right: number): number {
  let value = Math.imul(left ^ Math.imul(right, 0x9e3779b1), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 15), 0xc2b2ae35);
  value = Math.imul(value ^ (value >>> 13), 0x27d4eb2f) ^ right;
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  return (value ^ (value >>> 14)) >>> 0;
}
/* eslint-enable no-bitwise */
