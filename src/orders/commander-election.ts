import { type Incarnation, sameIncarnation } from '../domain/vm.js';
import { rankByRendezvous } from '../kernel/rendezvous.js';
import { FENCE_WAIT_MS } from '../membership/fence.js';
import type { Commander } from '../membership/membership.js';

/** Time by which each further candidate waits longer, so that one claim usually is enough. */
export const CLAIM_STAGGER_MS = 500;

/** Time after which a claim that has not been folded is repeated, in milliseconds. */
export const CLAIM_RETRY_MS = 2000;

/** What the membership tells about this VM and the commander. */
export interface ElectionView {
  readonly self: Incarnation;
  readonly members: readonly Incarnation[];
  readonly commander: Commander | undefined;
  /** Whether both clocks are inside this VM's lease. */
  readonly leaseLive: boolean;
}

/** Decides when this VM claims the role of commander and when it may send an order. */
export class CommanderElection {
  private vacantSinceMs: number | undefined;

  private lastClaimMs = -Infinity;

  private term: { readonly fencingNumber: number; readonly sinceMs: number } | undefined;

  private constructor(private readonly maxDeliveryMs: number) {}

  /**
   * Creates an election without a commander.
   *
   * @param maxDeliveryMs - longest time between the sending of an order and its effect, in milliseconds
   * @returns a new election
   */
  static create(maxDeliveryMs: number): CommanderElection {
    return new CommanderElection(maxDeliveryMs);
  }

  /**
   * Takes note of the membership.
   *
   * @param view - the membership as it is now
   * @param nowMs - present time on the monotonic clock, in milliseconds
   * @returns the fencing number of this VM's term, or undefined when it is not the commander
   */
  observe(view: ElectionView, nowMs: number): number | undefined {
    const { commander, members } = view;
    const vacant = !commander || !members.some((member) => sameIncarnation(member, commander));
    this.vacantSinceMs = vacant ? (this.vacantSinceMs ?? nowMs) : undefined;
    const fencingNumber = findOwnFencingNumber(view);
    if (fencingNumber !== this.term?.fencingNumber) {
      this.term = fencingNumber === undefined ? undefined : { fencingNumber, sinceMs: nowMs };
    }
    return fencingNumber;
  }

  /**
   * Decides whether this VM claims the role of commander now, and if so notes the claim.
   *
   * @param view - the membership as it is now
   * @param nowMs - present time on the monotonic clock, in milliseconds
   * @returns true when a claim is to be appended
   */
  shouldClaim({ self, members, leaseLive }: ElectionView, nowMs: number): boolean {
    if (this.vacantSinceMs === undefined || !leaseLive) return false;
    if (nowMs - this.lastClaimMs < CLAIM_RETRY_MS) return false;
    const ranked = rankByRendezvous('commander', members, ({ vm }) => vm);
    const rank = ranked.findIndex((member) => sameIncarnation(member, self));
    if (rank < 0 || nowMs - this.vacantSinceMs < rank * CLAIM_STAGGER_MS) return false;
    this.lastClaimMs = nowMs;
    return true;
  }

  /**
   * Decides whether an order may be written now. For an engine that ignores fencing numbers, the
   * predecessor's lease and its last order must have run out since this VM learned of its term.
   *
   * @param view - the membership as it is now
   * @param order - fencing number of the order, and whether its engine checks fencing numbers
   * @param nowMs - present time on the monotonic clock, in milliseconds
   * @returns true while the order belongs to the present term and the lease runs
   */
  maySend(
    view: ElectionView,
    order: { readonly fencingNumber: number; readonly checksFencing: boolean },
    nowMs: number,
  ): boolean {
    const { term } = this;
    if (!view.leaseLive || !term || term.fencingNumber !== order.fencingNumber) return false;
    if (findOwnFencingNumber(view) !== term.fencingNumber) return false;
    return order.checksFencing || nowMs - term.sinceMs >= FENCE_WAIT_MS + this.maxDeliveryMs;
  }
}

function findOwnFencingNumber({ commander, members, self }: ElectionView): number | undefined {
  if (!commander || !sameIncarnation(commander, self)) return undefined;
  return members.some((member) => sameIncarnation(member, self))
    ? commander.fencingNumber
    : undefined;
}
