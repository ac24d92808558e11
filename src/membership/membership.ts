import type { Stream } from 'most';

import type { Address, Incarnation, Vm } from '../domain/vm.js';
import { Service } from '../kernel/service.js';

/** A VM as a member, with one incarnation of its daemon. */
export interface Member extends Vm, Incarnation {
  readonly peers: Address;
  readonly callers: Address;
  readonly operators: Address;
}

/** Member list at one offset of the membership stream. */
export interface MemberEpoch {
  /** Offset of the record that resulted in this list. */
  readonly epoch: number;
  readonly members: readonly Member[];
}

/** The only incarnation that may send orders to engines. */
export interface Commander extends Incarnation {
  /** Offset of the record that made it commander; a later commander has a higher number. */
  readonly fencingNumber: number;
}

/** Last known state of another member. */
export interface MemberStatus {
  readonly member: Member;
  readonly draining: boolean;
  /** Newest epoch that the member has confirmed; 0 if none is known. */
  readonly confirmedEpoch: number;
}

/** Maintains the member list, the share lease of this VM and the fences of other members. */
export abstract class Membership extends Service {
  /**
   * Returns this VM with its current incarnation.
   *
   * @returns this VM as a member, whether or not it has joined
   */
  abstract self(): Member;

  /**
   * Checks whether this incarnation is in the member list.
   *
   * @returns true once the join record has been applied
   */
  abstract joined(): boolean;

  /**
   * Returns the newest member list.
   *
   * @returns the current epoch; epoch 0 has no members
   */
  abstract current(): MemberEpoch;

  /**
   * Returns the epochs since the newest one that all current members have confirmed, oldest first.
   *
   * @returns past epochs, ending with the current one
   */
  abstract history(): readonly MemberEpoch[];

  /**
   * Returns the changes of the member list.
   *
   * @returns a stream with an event for each new epoch
   */
  abstract changes(): Stream<MemberEpoch>;

  /**
   * Returns the changes of the incarnation of this VM.
   *
   * @returns a stream with an event each time this VM was fenced or removed and took a new incarnation
   */
  abstract reincarnations(): Stream<Member>;

  /**
   * Checks the share lease against both clocks.
   *
   * @returns true while this VM may spend its shares and serve keyed routes
   */
  abstract leaseLive(): boolean;

  /**
   * Returns the newest epoch that a member has confirmed.
   *
   * @param member - the member
   * @returns the epoch; 0 if none is known
   */
  abstract confirmedEpoch(member: Incarnation): number;

  /**
   * Asks a member for the newest epoch that it has applied.
   *
   * @param member - the member
   * @returns the epoch; 0 when it did not answer
   */
  abstract askEpoch(member: Incarnation): Promise<number>;

  /**
   * Returns the newest commander known to this VM.
   *
   * @returns the commander, which may have left the member list since; undefined if there was none
   */
  abstract commander(): Commander | undefined;

  /**
   * Appends a claim of this VM to succeed the known commander. Whether it succeeds is decided when the
   * record is applied.
   *
   * @returns true when the claim was appended to the log
   */
  abstract claimCommand(): Promise<boolean>;

  /**
   * Checks whether an incarnation has provably ended: it was removed, replaced, or fenced with its
   * lease expired.
   *
   * @param owner - the incarnation
   * @returns true when the holds of the incarnation may be cancelled
   */
  abstract hasEnded(owner: Incarnation): Promise<boolean>;

  /**
   * Lists the incarnations that the kept changes removed or replaced.
   *
   * @returns the incarnations; undefined while the log cannot be read, because more may have been removed
   */
  abstract recentlyRemoved(): readonly Incarnation[] | undefined;

  /**
   * Returns the last known state of the other members.
   *
   * @returns a status for each member except this one
   */
  abstract statuses(): readonly MemberStatus[];

  /**
   * Reports draining in the heartbeats of this VM, and notifies every member at once.
   *
   * @returns a promise that resolves when every member has answered, or at a deadline
   */
  abstract drain(): Promise<void>;

  /**
   * Ends the membership of this VM; from then on it does not spend its shares.
   *
   * @returns a promise that resolves when the record is in the log or after the last attempt
   */
  abstract leave(): Promise<void>;
}

declare module '../kernel/service.js' {
  interface Services {
    membership: Membership;
  }
}
