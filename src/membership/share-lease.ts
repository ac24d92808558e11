import { type Incarnation, formatIncarnation } from '../domain/vm.js';
import { countMajority } from './witness-set.js';

/** Duration of a share lease, counted from the send time of the heartbeat, in milliseconds. */
export const SHARE_LEASE_MS = 3000;

/** Largest backward step of the wall clock, in milliseconds; beyond it the clocks disagree and the lease ends. */
const MAX_WALL_STEP_MS = 1000;

/** One reading of both clocks, in milliseconds. */
export interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

interface EpochRound {
  readonly witnesses: ReadonlySet<string>;
  readonly lastAnswers: Map<string, Instant>;
  lastSentMs: number;
}

/**
 * Derives the lease from heartbeats and their answers. Every epoch is counted separately: the
 * majority must be within the witness set of the epoch at which the heartbeats were sent.
 */
export class ShareLease {
  private rounds = new Map<number, EpochRound>();

  private constructor(private readonly self: Incarnation) {}

  /**
   * Creates a lease that has expired.
   *
   * @param self - the incarnation that holds it
   * @returns a new lease
   */
  static create(self: Incarnation): ShareLease {
    return new ShareLease(self);
  }

  /**
   * Records that a round of heartbeats is being sent. The holder counts as its own witness.
   *
   * @param epoch - the epoch that the heartbeats carry
   * @param witnesses - the witness set of the holder at that epoch
   * @param at - time before the first heartbeat is sent
   */
  recordSent(epoch: number, witnesses: readonly Incarnation[], at: Instant): void {
    this.expireRounds(at);
    const names = new Set(witnesses.map(formatIncarnation));
    const self = formatIncarnation(this.self);
    if (!names.has(self)) return;
    const known = this.rounds.get(epoch);
    const round = known ?? { witnesses: names, lastAnswers: new Map(), lastSentMs: 0 };
    round.lastAnswers.set(self, at);
    round.lastSentMs = at.monotonicMs;
    this.rounds.set(epoch, round);
  }

  /**
   * Records that a witness has renewed the lease.
   *
   * @param epoch - the epoch that the heartbeat carried
   * @param witness - the incarnation that answered
   * @param sentAt - time at which the heartbeat was sent
   */
  recordAnswer(epoch: number, witness: Incarnation, sentAt: Instant): void {
    const round = this.rounds.get(epoch);
    const name = formatIncarnation(witness);
    if (!round?.witnesses.has(name)) return;
    const previous = round.lastAnswers.get(name);
    if (previous && previous.monotonicMs >= sentAt.monotonicMs) return;
    round.lastAnswers.set(name, sentAt);
  }

  /**
   * Checks the lease against both clocks.
   *
   * @param now - the current time
   * @returns true while the lease has not expired
   */
  isLive(now: Instant): boolean {
    return [...this.rounds.values()].some((round) => hasMajority(round, now));
  }

  private expireRounds(now: Instant): void {
    this.rounds.forEach((round, epoch) => {
      if (now.monotonicMs - round.lastSentMs >= SHARE_LEASE_MS) this.rounds.delete(epoch);
    });
  }
}

function hasMajority(round: EpochRound, now: Instant): boolean {
  const fresh = [...round.lastAnswers.values()].filter((at) => isFresh(at, now));
  return fresh.length >= countMajority(round.witnesses.size);
}

function isFresh(at: Instant, now: Instant): boolean {
  const monotonicMs = now.monotonicMs - at.monotonicMs;
  const wallMs = now.wallMs - at.wallMs;
  return monotonicMs < SHARE_LEASE_MS && wallMs < SHARE_LEASE_MS && wallMs > -MAX_WALL_STEP_MS;
}
