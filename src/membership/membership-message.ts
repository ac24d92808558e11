import type { Incarnation } from '../domain/vm.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import type { FenceEvidence, FencePromise } from './fence.js';
import type { MemberState } from './member-state.js';
import type { Member } from './membership.js';
import type { Instant } from './share-lease.js';

/** State that another VM reports in a heartbeat or in the answer to one. */
export interface MemberReport extends Incarnation {
  readonly epoch: number;
  readonly draining: boolean;
}

/** Sender, epoch and receivers of a round of heartbeats. */
export interface HeartbeatRound {
  readonly self: Member;
  readonly epoch: number;
  /** The witnesses of this VM except itself. */
  readonly witnesses: readonly Member[];
}

/** Answer of a witness to a request for a fence promise. */
export interface PromiseAnswer {
  readonly promised: boolean;
  readonly reportedEpoch: number;
}

/** State of the fence of one incarnation at a witness. */
export interface FenceState {
  readonly fenced: boolean;
  readonly expired: boolean;
}

/** Messages to the task that owns the state of the membership. */
export type MembershipMessage =
  | { readonly kind: 'records'; readonly records: readonly LogRecord[] }
  | { readonly kind: 'state'; readonly state: MemberState }
  | {
      readonly kind: 'round';
      readonly at: Instant;
      readonly reply: (round: HeartbeatRound) => void;
    }
  | {
      readonly kind: 'heartbeat';
      readonly report: MemberReport;
      readonly reply: (renewed: boolean) => void;
    }
  | { readonly kind: 'reported'; readonly report: MemberReport }
  | {
      readonly kind: 'renewed';
      readonly self: Incarnation;
      readonly witness: Incarnation;
      readonly epoch: number;
      readonly sentAt: Instant;
    }
  | {
      readonly kind: 'promise';
      readonly suspect: Incarnation;
      readonly reply: (answer: PromiseAnswer) => void;
    }
  | {
      readonly kind: 'promised';
      readonly suspect: Incarnation;
      readonly promise: FencePromise;
    }
  | {
      readonly kind: 'fence-state';
      readonly suspect: Incarnation;
      readonly reply: (state: FenceState) => void;
    }
  | { readonly kind: 'suspects'; readonly reply: (fences: readonly FenceEvidence[]) => void }
  | { readonly kind: 'reincarnate'; readonly self: Incarnation }
  | { readonly kind: 'surrender' };
