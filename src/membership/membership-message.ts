import type { Incarnation } from '../domain/vm.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import type { FenceEvidence, FencePromise } from './fence.js';
import type { MemberState } from './member-state.js';
import type { Member } from './membership.js';
import type { Instant } from './share-lease.js';

/** What another VM says of itself in a heartbeat or its answer. */
export interface MemberReport extends Incarnation {
  readonly epoch: number;
  readonly draining: boolean;
}

/** What a round of heartbeats is sent with. */
export interface HeartbeatRound {
  readonly self: Member;
  readonly epoch: number;
  /** The other witnesses. */
  readonly witnesses: readonly Member[];
}

/** A witness's answer to the request for a fence promise. */
export interface PromiseAnswer {
  readonly promised: boolean;
  readonly reportedEpoch: number;
}

/** What a witness knows about the fence of one incarnation. */
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
