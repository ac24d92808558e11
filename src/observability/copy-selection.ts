import { scoreRendezvous } from '../kernel/rendezvous.js';
import type { DecisionEntry } from './decisions.js';

/** One ordinary request in this many is copied. */
export const SAMPLE = 10;

/** Requests with an exceptional decision whose further decisions are copied too. */
const FOLLOWED_REQUESTS = 4000;

/** Steps of requests that run as planned, with their choices; every choice where none is listed. */
const ORDINARY: Readonly<Record<string, readonly string[] | undefined>> = {
  admission: ['admitted'],
  'decode-server': [],
  'prefill-server': [],
  outcome: ['stop', 'length'],
  'at-most-once': ['answered'],
};

/**
 * Selects the decisions that are copied to a peer: all decisions about requests that were refused,
 * failed or were run again, and those about a sample of the others. Copies of all decisions take
 * nearly all bytes that a node may spend on control at the design size.
 */
export class CopySelection {
  /** Requests with an exceptional decision, oldest first. */
  private readonly followed = new Set<string>();

  private fresh = new Set<string>();

  /**
   * Creates a selection.
   *
   * @returns a selection that follows no request
   */
  static create(): CopySelection {
    return new CopySelection();
  }

  /**
   * Decides on a new entry.
   *
   * @param entry - the decision
   * @returns true when it is to be copied
   */
  take(entry: DecisionEntry): boolean {
    const { requestId } = entry;
    if (isSampled(requestId) || this.followed.has(requestId)) return true;
    if (isOrdinary(entry)) return false;
    this.followed.add(requestId);
    this.fresh.add(requestId);
    const [oldest] = this.followed;
    if (this.followed.size > FOLLOWED_REQUESTS && oldest !== undefined) {
      this.followed.delete(oldest);
    }
    return true;
  }

  /**
   * Names the requests that had their first exceptional decision since the last call; what was
   * decided about them before is to be copied as well.
   *
   * @returns request ids
   */
  takeFresh(): ReadonlySet<string> {
    const { fresh } = this;
    this.fresh = new Set();
    return fresh;
  }
}

function isOrdinary({ step, choice }: DecisionEntry): boolean {
  const choices = ORDINARY[step];
  return choices !== undefined && (choices.length === 0 || choices.includes(choice));
}

function isSampled(requestId: string): boolean {
  return scoreRendezvous('decision-copies', requestId) % SAMPLE === 0;
}
