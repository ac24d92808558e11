import { type Incarnation, nameIncarnation } from '../domain/vm.js';
import type { MemberEpoch } from './membership.js';
import { SHARE_LEASE_MS } from './share-lease.js';
import { chooseWitnesses, countMajority } from './witness-set.js';

/** Wait after the last promise: the lease and 10% for clocks that run at different rates. */
export const FENCE_WAIT_MS = SHARE_LEASE_MS * 1.1;

/** A witness's promise never to renew an incarnation again. */
export interface FencePromise {
  readonly witness: Incarnation;
  /** Arrival of the promise on the monotonic clock of the VM that asked, in milliseconds. */
  readonly atMs: number;
  /** Newest epoch that the witness has seen the suspect report; 0 when none. */
  readonly reportedEpoch: number;
}

/** What is known about one suspected incarnation. */
export interface FenceEvidence {
  readonly suspect: Incarnation;
  /** Epoch at which the suspect joined; it had no lease before. */
  readonly joinedAt: number;
  /** Known epochs, oldest first, ending with the present one. */
  readonly epochs: readonly MemberEpoch[];
  readonly promises: readonly FencePromise[];
}

/**
 * Computes when a fence is complete. Each epoch in which the suspect may still count answers needs
 * a majority of promises within its own witness set.
 *
 * @param evidence - epochs and promises
 * @returns time on the monotonic clock, in milliseconds, or undefined while promises are missing
 */
export function computeFenceEnd(evidence: FenceEvidence): number | undefined {
  const { suspect, promises } = evidence;
  const reported = promises.map((promise) => promise.reportedEpoch);
  const epochs = selectEpochs(evidence.epochs, Math.max(evidence.joinedAt, ...reported));
  if (epochs.length === 0) return undefined;
  const promised = new Set(promises.map(({ witness }) => nameIncarnation(witness)));
  if (!epochs.every((epoch) => hasPromiseMajority(epoch, suspect, promised))) return undefined;
  // The wait starts at the last promise, because that witness may have reported the newest epoch.
  return Math.max(...promises.map(({ atMs }) => atMs)) + FENCE_WAIT_MS;
}

/**
 * Lists the witnesses whose promises a fence can use.
 *
 * @param evidence - epochs and promises
 * @returns the witnesses of all epochs that matter, without the suspect
 */
export function listFenceWitnesses(evidence: FenceEvidence): readonly Incarnation[] {
  const reported = evidence.promises.map((promise) => promise.reportedEpoch);
  const epochs = selectEpochs(evidence.epochs, Math.max(evidence.joinedAt, ...reported));
  const witnesses = epochs
    .flatMap(({ members }) => chooseWitnesses(members, evidence.suspect.vm))
    .filter(({ vm }) => vm !== evidence.suspect.vm);
  return [...new Map(witnesses.map((each) => [nameIncarnation(each), each])).values()];
}

function selectEpochs(epochs: readonly MemberEpoch[], from: number): readonly MemberEpoch[] {
  const start = epochs.findLastIndex(({ epoch }) => epoch <= from);
  return start < 0 ? [] : epochs.slice(start);
}

function hasPromiseMajority(
  { members }: MemberEpoch,
  suspect: Incarnation,
  promised: ReadonlySet<string>,
): boolean {
  const witnesses = chooseWitnesses(members, suspect.vm);
  const count = witnesses.filter(
    (witness) => witness.vm !== suspect.vm && promised.has(nameIncarnation(witness)),
  ).length;
  return witnesses.length > 0 && count >= countMajority(witnesses.length);
}
