import type { MemberEpoch } from '../membership/membership.js';

/** Maximum number of stored epochs; {@link EpochLog.findHeldSince} may read all of them. */
const MAX_EPOCHS = 16;

interface Confirmation {
  readonly epoch: number;
  readonly atMs: number;
}

/**
 * Membership epochs that this VM has applied without a gap, and the times when it saw that all
 * members had confirmed one. The level of a share that has been held since such a time can be
 * computed from it, so the share needs no bucket until its first use.
 */
export class EpochLog {
  private epochs: MemberEpoch[] = [];

  private confirmations: Confirmation[] = [];

  /**
   * Creates an empty log.
   *
   * @returns a new log
   */
  static create(): EpochLog {
    return new EpochLog();
  }

  /** The epoch that was applied last. */
  get last(): MemberEpoch | undefined {
    return this.epochs.at(-1);
  }

  /** Removes all epochs and confirmations. */
  clear(): void {
    this.epochs = [];
    this.confirmations = [];
  }

  /**
   * Selects the epochs that have not been applied yet.
   *
   * @param history - epochs, oldest first
   * @returns the later epochs, or undefined when epochs may be missing between the last one and
   *   them
   */
  selectUnapplied(history: readonly MemberEpoch[]): readonly MemberEpoch[] | undefined {
    const { last } = this;
    if (!last) return history;
    const known = history.some((epoch) => epoch.epoch === last.epoch);
    const later = history.filter((epoch) => epoch.epoch > last.epoch);
    return known || later.length === 0 ? later : undefined;
  }

  /**
   * Adds the next epoch.
   *
   * @param epoch - the epoch
   */
  append(epoch: MemberEpoch): void {
    this.epochs.push(epoch);
    if (this.epochs.length > MAX_EPOCHS) this.epochs.shift();
    const first = this.epochs[0]!.epoch;
    this.confirmations = this.confirmations.filter((checkpoint) => checkpoint.epoch >= first);
  }

  /**
   * Records that every member has confirmed the current epoch.
   *
   * @param atMs - monotonic time, in milliseconds
   */
  markConfirmed(atMs: number): void {
    const epoch = this.last?.epoch;
    if (epoch === undefined || this.confirmations.at(-1)?.epoch === epoch) return;
    this.confirmations.push({ epoch, atMs });
  }

  /**
   * Finds a time since which a share has been held unchanged while no other VM could spend it.
   *
   * @param holds - returns whether the share was held unchanged in an epoch
   * @returns monotonic time, in milliseconds, or undefined when the log does not prove one
   */
  findHeldSince(holds: (epoch: MemberEpoch) => boolean): number | undefined {
    if (this.confirmations.length === 0) return undefined;
    let from = this.epochs.length;
    while (from > 0 && holds(this.epochs[from - 1]!)) from -= 1;
    const first = this.epochs[from]?.epoch ?? Infinity;
    return this.confirmations.find((checkpoint) => checkpoint.epoch >= first)?.atMs;
  }
}
