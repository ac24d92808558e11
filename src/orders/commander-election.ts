import { type Incarnation, sameIncarnation } from '../domain/vm.js';
import { rankByRendezvous } from '../kernel/rendezvous.js';
import { FENCE_WAIT_MS } from '../membership/fence.js';
import type { Commander } from '../membership/membership.js';

/**
 * Additional wait of each candidate after the previous one in the ranking, in milliseconds, so that
 * usually only one candidate claims.
 */
export const CLAIM_STAGGER_MS = 500;

/** Time after which a claim that has not appeared in the membership is repeated, in milliseconds. */
export const CLAIM_RETRY_MS = 2000;

/** The membership as the election sees it. */
export interface ElectionView {
  readonly self: Incarnation;
  readonly members: readonly Incarnation[];
  readonly commander: Commander | undefined;
  /** Whether this VM's lease is live on both clocks. */
  readonly leaseLive: boolean;
}

/** Decides when this VM claims the commander role and when it may send an order. */
export class CommanderElection {
  private vacantSinceMs: number | undefined;

  private lastClaimMs = -Infinity;

  private term: { readonly fencingNumber: number; readonly sinceMs: number } | undefined;

  private constructor(private readonly maxDeliveryMs: number) {}

  /**
   * Creates an election that knows no commander.
   *
   * @param maxDeliveryMs - maximum time between the sending of an order and its effect, in milliseconds
   * @returns a new election
   */
  static create(maxDeliveryMs: number): CommanderElection {
    return new CommanderElection(maxDeliveryMs);
  }

  /**
   * Updates the election with the current membership.
   *
   * @param view - the current membership
   * @param nowMs - monotonic time, in milliseconds
   * @returns the fencing number of this VM's term; undefined when this VM is not the commander
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
   * Decides whether this VM claims the commander role now, and if so records the time of the claim.
   *
   * @param view - the current membership
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when a claim must be appended
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
   * Decides whether an order may be sent now. Orders to an engine that ignores fencing numbers must
   * wait until, counted from when this VM learned of its term, the lease of the previous commander
   * has expired and its last order can no longer take effect.
   *
   * @param view - the current membership
   * @param order - fencing number of the order, and whether its engine checks fencing numbers
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if the order belongs to the current term and the lease is live
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
