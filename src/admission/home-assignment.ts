import { createHash } from 'node:crypto';

import { type Incarnation, sameIncarnation } from '../domain/vm.js';
import type { Member, MemberEpoch } from '../membership/membership.js';

/** Bound on cached home lists; the cache is emptied when it is reached. */
const MAX_CACHED_TEAMS = 10_000;

/** Bound on cached member hashes; the cache is emptied when it is reached. */
const MAX_CACHED_VMS = 4096;

/** Score of a member that is already a home; real scores are not negative. */
const SELECTED_SCORE = -1;

/** Assigns home VMs to teams by rendezvous hash, spread over availability zones. */
export class HomeAssignment {
  private readonly homesByTeam = new Map<string, readonly Member[]>();

  private readonly vmHashes = new Map<string, number>();

  private cachedEpoch: MemberEpoch | undefined;

  private constructor(private readonly homeCount: number) {}

  /**
   * Creates a table.
   *
   * @param homeCount - most homes of a team
   * @returns a new table
   */
  static create(homeCount: number): HomeAssignment {
    return new HomeAssignment(homeCount);
  }

  /**
   * Finds a team's homes; the lists of one epoch are cached for the teams that were asked for.
   *
   * @param team - name of the team
   * @param epoch - the member list
   * @returns the homes, the one with the highest score first
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
   * Computes the part of a team's limits that a member holds in an epoch.
   *
   * @param team - name of the team
   * @param epoch - the member list
   * @param member - the member
   * @returns 1 / number of homes, or 0 when the member is no home
   */
  fractionOf(team: string, epoch: MemberEpoch, member: Incarnation): number {
    const homes = this.homesIn(team, epoch);
    return homes.some((home) => sameIncarnation(home, member)) ? 1 / homes.length : 0;
  }

  /**
   * Finds the present members that held a larger part in an earlier epoch than they hold now. Until
   * they have confirmed the present epoch they may still spend the difference.
   *
   * @param team - name of the team
   * @param history - epochs that a present member may still apply, the present one last
   * @returns the members to be asked
   */
  findDisplaced(team: string, history: readonly MemberEpoch[]): readonly Member[] {
    const present = history.at(-1);
    if (!present) return [];
    const earlier = history.slice(0, -1).flatMap((epoch) => this.computeFractions(team, epoch));
    return present.members.filter((member) => {
      const largest = earlier
        .filter((holder) => sameIncarnation(holder.member, member))
        .reduce((maximum, holder) => Math.max(maximum, holder.fraction), 0);
      return largest > 0 && largest > this.fractionOf(team, present, member);
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

/** Finds the highest score, in a zone without a home where there is one; equal scores go by name. */
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
