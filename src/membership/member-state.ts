import { type Incarnation, sameIncarnation } from '../domain/vm.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import {
  type MemberChange,
  type MemberSnapshot,
  type MemberRecord,
  parseMemberRecord,
} from './member-record.js';
import type { Commander, Member, MemberEpoch } from './membership.js';
import { chooseWitnesses, witnessSetKey } from './witness-set.js';

/** Maximum number of changes kept to rebuild past epochs; 64 changes cover about 4 h on an ordinary day. */
const MAX_CHANGES = 64;

/** A member and the offset of its join record. */
export interface JoinedMember {
  readonly member: Member;
  readonly joinedAt: number;
}

/** Member list at one offset of the membership stream; immutable. */
export interface MemberState {
  /** Offset of the last applied record. */
  readonly offset: number;
  /** Offset of the last record that changed the member list. */
  readonly epoch: number;
  readonly members: ReadonlyMap<string, JoinedMember>;
  /** The newest MAX_CHANGES changes, oldest first. */
  readonly changes: readonly MemberChange[];
  /** Time of the newest snapshot record on the clock of the log, in milliseconds; 0 if there is none. */
  readonly snapshotMs: number;
  /** The newest commander; it may have left the member list since. */
  readonly commander?: Commander;
}

/** State before the first record. */
export const EMPTY_MEMBER_STATE: MemberState = {
  offset: 0,
  epoch: 0,
  members: new Map(),
  changes: [],
  snapshotMs: 0,
};

/**
 * Applies one record. A record at or below the applied offset has no effect; an unreadable one only
 * advances the offset.
 *
 * @param state - state before the record
 * @param record - next record
 * @returns the state after the record
 */
export function applyMemberRecord(state: MemberState, record: LogRecord): MemberState {
  if (record.offset <= state.offset) return state;
  const parsed = parseMemberRecord(record.data);
  const next = { ...state, offset: record.offset };
  if (!parsed) return next;
  if (parsed.kind === 'joined') return applyJoin(next, parsed.member);
  if (parsed.kind === 'removed') return applyRemoval(next, parsed);
  if (parsed.kind === 'commander') return applyCommander(next, parsed);
  return { ...next, snapshotMs: record.timestampMs };
}

/**
 * Replays the available records of a stream. If the first records are missing, the replay starts from
 * the newest usable snapshot among them.
 *
 * @param records - all available records, in the order of their offsets
 * @returns the state after the last record, or undefined when the first records are missing and no
 * snapshot covers them: in a list without the older members a VM would be its own only witness
 */
export function replayMemberRecords(records: readonly LogRecord[]): MemberState | undefined {
  const complete = records[0]?.offset === 1;
  const start = complete ? EMPTY_MEMBER_STATE : restoreNewestSnapshot(records);
  return start && records.reduce(applyMemberRecord, start);
}

/**
 * Restores the state of a snapshot.
 *
 * @param offset - offset of the last record that the snapshot covers
 * @param snapshot - content of the snapshot
 * @returns the state at that offset
 */
export function restoreMemberState(offset: number, snapshot: MemberSnapshot): MemberState {
  const members = new Map(snapshot.members.map((entry) => [entry.member.vm, entry]));
  const { epoch, changes, commander } = snapshot;
  return { offset, epoch, members, changes, snapshotMs: 0, commander };
}

/**
 * Creates the snapshot of a state.
 *
 * @param state - the state
 * @returns the content of a snapshot record
 */
export function createMemberSnapshot({
  epoch,
  members,
  changes,
  commander,
}: MemberState): MemberSnapshot {
  const entries = [...members.values()].map(({ member, joinedAt }) => ({ member, joinedAt }));
  return { epoch, members: entries, changes: [...changes], commander };
}

/**
 * Lists the current members.
 *
 * @param state - the state
 * @returns the members, sorted by VM name
 */
export function listMembers(state: MemberState): readonly Member[] {
  return sortMembers([...state.members.values()].map(({ member }) => member));
}

/**
 * Rebuilds the epochs that the kept changes cover.
 *
 * @param state - the state
 * @returns the epochs, oldest first, ending with the current one
 */
export function listEpochs(state: MemberState): readonly MemberEpoch[] {
  const members = new Map(listMembers(state).map((member) => [member.vm, member]));
  const epochs: MemberEpoch[] = [];
  [...state.changes].reverse().forEach(({ epoch, joined, removed }) => {
    epochs.push({ epoch, members: sortMembers([...members.values()]) });
    if (joined) members.delete(joined.vm);
    if (removed) members.set(removed.vm, removed);
  });
  return epochs.reverse();
}

/**
 * Returns whether an incarnation was removed from the member list or replaced in it.
 *
 * @param state - the state
 * @param owner - the incarnation
 * @returns true when one of the changes kept in the state removed or replaced it
 */
export function isRemoved(state: MemberState, owner: Incarnation): boolean {
  return state.changes.some(
    ({ removed }) => removed !== undefined && sameIncarnation(removed, owner),
  );
}

/**
 * Lists the incarnations that the kept changes removed or replaced.
 *
 * @param state - the state
 * @returns the incarnations, oldest change first
 */
export function listRemoved(state: MemberState): readonly Incarnation[] {
  return state.changes.flatMap(({ removed }) => removed ?? []);
}

function applyJoin(state: MemberState, member: Member): MemberState {
  const removed = state.members.get(member.vm)?.member;
  // An append with an unknown result may take effect twice, the second time after a removal.
  if ((removed && sameIncarnation(removed, member)) || isRemoved(state, member)) return state;
  const members = new Map(state.members);
  members.set(member.vm, { member, joinedAt: state.offset });
  return withChange(state, members, { epoch: state.offset, joined: member, removed });
}

function applyRemoval(state: MemberState, record: MemberRecord & { kind: 'removed' }): MemberState {
  const known = state.members.get(record.vm)?.member;
  if (!known || !sameIncarnation(known, record)) return state;
  if (record.evidence === 'fenced' && !hasSameWitnesses(state, record.vm, record.epoch))
    return state;
  const members = new Map(state.members);
  members.delete(record.vm);
  return withChange(state, members, { epoch: state.offset, removed: known });
}

/**
 * Accepts a claim if its author knew the newest commander and that commander has left the member list,
 * so that concurrent and repeated claims result in one commander.
 */
function applyCommander(
  state: MemberState,
  record: MemberRecord & { kind: 'commander' },
): MemberState {
  const { vm, incarnation, succeeds } = record;
  if (succeeds !== (state.commander?.fencingNumber ?? 0)) return state;
  if (!isListed(state, record) || (state.commander && isListed(state, state.commander))) {
    return state;
  }
  return { ...state, commander: { vm, incarnation, fencingNumber: state.offset } };
}

function isListed({ members }: MemberState, owner: Incarnation): boolean {
  const known = members.get(owner.vm)?.member;
  return known !== undefined && sameIncarnation(known, owner);
}

/**
 * Checks that a member has had the same witnesses in all epochs since the one that its fence covers. A
 * fence covers the epochs up to the newest one that its author knew. In a newer epoch other witnesses
 * may have renewed the lease since, so such a removal has no effect and the fence is repeated.
 */
function hasSameWitnesses(state: MemberState, vm: string, covered: number | undefined): boolean {
  if (covered === undefined) return false;
  const epochs = listEpochs(state);
  const from = epochs.findIndex(({ epoch }) => epoch === covered);
  if (from < 0) return false;
  const sets = epochs.slice(from).map(({ members }) => chooseWitnesses(members, vm));
  return new Set(sets.map(witnessSetKey)).size === 1;
}

function withChange(
  state: MemberState,
  members: ReadonlyMap<string, JoinedMember>,
  change: MemberChange,
): MemberState {
  const changes = [...state.changes, change].slice(-MAX_CHANGES);
  return { ...state, epoch: change.epoch, members, changes };
}

function restoreNewestSnapshot(records: readonly LogRecord[]): MemberState | undefined {
  const [first] = records;
  for (const record of [...records].reverse()) {
    const parsed = parseMemberRecord(record.data);
    if (parsed?.kind !== 'snapshot') continue;
    if (first && parsed.upTo + 1 >= first.offset)
      return restoreMemberState(parsed.upTo, parsed.state);
  }
  return undefined;
}

function sortMembers(members: Member[]): readonly Member[] {
  return members.sort((a, b) => (a.vm < b.vm ? -1 : 1));
}
