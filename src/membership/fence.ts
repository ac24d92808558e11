import { type Incarnation, formatIncarnation } from '../domain/vm.js';
import type { MemberEpoch } from './membership.js';
import { SHARE_LEASE_MS } from './share-lease.js';
import { chooseWitnesses, countMajority } from './witness-set.js';

/** Wait after the last promise, in milliseconds: the lease duration plus 10% for clocks that run at different rates. */
export const FENCE_WAIT_MS = SHARE_LEASE_MS * 1.1;

/** Promise of a witness never to renew the lease of an incarnation again. */
export interface FencePromise {
  readonly witness: Incarnation;
  /** Time of arrival on the monotonic clock of the VM that requested the promise, in milliseconds. */
  readonly atMs: number;
  /** Newest epoch that the suspect has reported to the witness; 0 if none. */
  readonly reportedEpoch: number;
}

/** What is known about one suspected incarnation. */
export interface FenceEvidence {
  readonly suspect: Incarnation;
  /** Epoch at which the suspect joined; it had no lease before it. */
  readonly joinedAt: number;
  /** Known epochs, oldest first, ending with the current one. */
  readonly epochs: readonly MemberEpoch[];
  readonly promises: readonly FencePromise[];
}

/**
 * Computes when a fence is complete. Every epoch at which the suspect may still count answers needs
 * promises from a majority of its own witness set.
 *
 * @param evidence - epochs and promises
 * @returns monotonic time, in milliseconds, or undefined while promises are missing
 */
export function computeFenceEnd(evidence: FenceEvidence): number | undefined {
  const { suspect, promises } = evidence;
  const reported = promises.map((promise) => promise.reportedEpoch);
  const epochs = selectEpochs(evidence.epochs, Math.max(evidence.joinedAt, ...reported));
  if (epochs.length === 0) return undefined;
  const promised = new Set(promises.map(({ witness }) => formatIncarnation(witness)));
  if (!epochs.every((epoch) => hasPromiseMajority(epoch, suspect, promised))) return undefined;
  // The wait starts at the last promise, because that promise may carry the newest reported epoch.
  return Math.max(...promises.map(({ atMs }) => atMs)) + FENCE_WAIT_MS;
}

/**
 * Lists the witnesses whose promises count towards a fence.
 *
 * @param evidence - epochs and promises
 * @returns the witnesses of all epochs that the fence must cover, without the suspect
 */
export function listFenceWitnesses(evidence: FenceEvidence): readonly Incarnation[] {
  const reported = evidence.promises.map((promise) => promise.reportedEpoch);
  const epochs = selectEpochs(evidence.epochs, Math.max(evidence.joinedAt, ...reported));
  const witnesses = epochs
    .flatMap(({ members }) => chooseWitnesses(members, evidence.suspect.vm))
    .filter(({ vm }) => vm !== evidence.suspect.vm);
  return [...new Map(witnesses.map((each) => [formatIncarnation(each), each])).values()];
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
    (witness) => witness.vm !== suspect.vm && promised.has(formatIncarnation(witness)),
  ).length;
  return witnesses.length > 0 && count >= countMajority(witnesses.length);
}
