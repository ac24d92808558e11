import type { Stream } from 'most';

import type { Address, Incarnation, Vm } from '../domain/vm.js';
import { Service } from '../kernel/service.js';

/** A VM that has joined, with one incarnation of its daemon. */
export interface Member extends Vm, Incarnation {
  readonly peers: Address;
  readonly callers: Address;
  readonly operators: Address;
}

/** The members at one offset of the membership stream. */
export interface MemberEpoch {
  /** Offset of the record that made this list. */
  readonly epoch: number;
  readonly members: readonly Member[];
}

/** The one incarnation that may send orders to engines. */
export interface Commander extends Incarnation {
  /** Offset of the record that named it; a later commander has a higher one. */
  readonly fencingNumber: number;
}

/** What a VM last heard from another. */
export interface MemberStatus {
  readonly member: Member;
  readonly draining: boolean;
  /** Newest epoch that the member has confirmed; 0 when none is known. */
  readonly confirmedEpoch: number;
}

/** Keeps the member list, this VM's share lease, and the fences against other members. */
export abstract class Membership extends Service {
  /**
   * Names this VM and its present incarnation.
   *
   * @returns this VM as a member, whether or not it has joined yet
   */
  abstract self(): Member;

  /**
   * Tells whether the membership stream lists this incarnation.
   *
   * @returns true after the join record has been folded
   */
  abstract joined(): boolean;

  /**
   * Reads the newest member list.
   *
   * @returns the present epoch; epoch 0 has no members
   */
  abstract current(): MemberEpoch;

  /**
   * Reads the epochs that some present member may not have confirmed yet, oldest first.
   *
   * @returns past epochs, ending with the present one
   */
  abstract history(): readonly MemberEpoch[];

  /**
   * Follows the member list.
   *
   * @returns a stream with an event for each new epoch
   */
  abstract changes(): Stream<MemberEpoch>;

  /**
   * Follows this VM's own identity.
   *
   * @returns a stream with an event when this VM was fenced or removed and took a new incarnation
   */
  abstract reincarnations(): Stream<Member>;

  /**
   * Checks both clocks against the share lease.
   *
   * @returns true while this VM may spend its shares and serve keyed routes
   */
  abstract leaseLive(): boolean;

  /**
   * Reads the newest epoch that a member has confirmed.
   *
   * @param member - the member
   * @returns the epoch; 0 when none is known
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
   * Reads the newest commander that this VM knows of.
   *
   * @returns the commander, which may have left the list since; undefined when there was none
   */
  abstract commander(): Commander | undefined;

  /**
   * Appends a claim of this VM to succeed the commander that it knows of. The fold decides.
   *
   * @returns true when the claim is in the log
   */
  abstract claimCommand(): Promise<boolean>;

  /**
   * Tells whether an incarnation provably runs no more: removed, replaced, or fenced with its lease
   * expired.
   *
   * @param owner - the incarnation
   * @returns true when its holds may be cancelled
   */
  abstract isGone(owner: Incarnation): Promise<boolean>;

  /**
   * Lists the incarnations that were removed or replaced by the newest changes.
   *
   * @returns the incarnations; undefined while the log cannot be read, when others may have gone too
   */
  abstract recentlyGone(): readonly Incarnation[] | undefined;

  /**
   * Reads what is known of the other members.
   *
   * @returns a status for each member but this one
   */
  abstract statuses(): readonly MemberStatus[];

  /**
   * Makes this VM's heartbeats say that it is draining, and tells every member at once.
   *
   * @returns a promise that resolves when every member knows, or after a deadline
   */
  abstract drain(): Promise<void>;

  /**
   * Ends this VM's membership; its shares are not spent any more.
   *
   * @returns a promise that resolves when the record is in the log or the attempt was given up
   */
  abstract leave(): Promise<void>;
}

declare module '../kernel/service.js' {
  interface Services {
    membership: Membership;
  }
}
