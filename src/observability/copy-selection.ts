import type { DecisionEntry } from './decisions.js';

/** Requests whose selection is remembered, so that all their decisions are treated alike. */
const KNOWN_REQUESTS = 4000;

/** Rounds for which unused copies of ordinary requests are saved up. */
const SAVED_ROUNDS = 10;

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
 * failed or were run again, and those about a limited number of others. At the design size, copies of
 * all decisions would take nearly all bytes that a node may spend on control.
 */
export class CopySelection {
  /** Whether each known request is copied, oldest first. */
  private readonly known = new Map<string, boolean>();

  private fresh = new Set<string>();

  private allowance: number;

  private constructor(private readonly ordinaryPerRound: number) {
    this.allowance = ordinaryPerRound * SAVED_ROUNDS;
  }

  /**
   * Creates a selection.
   *
   * @param ordinaryPerRound - ordinary requests that are copied in a round
   * @returns a selection that knows no request
   */
  static create(ordinaryPerRound: number): CopySelection {
    return new CopySelection(ordinaryPerRound);
  }

  /**
   * Decides on a new entry.
   *
   * @param entry - the decision
   * @returns true when it is to be copied
   */
  take(entry: DecisionEntry): boolean {
    const { requestId } = entry;
    const selected = this.known.get(requestId);
    if (selected) return true;
    if (!isOrdinary(entry)) {
      this.fresh.add(requestId);
      return this.remember(requestId, true);
    }
    return selected ?? this.remember(requestId, this.takeAllowance());
  }

  /**
   * Ends a round and names the requests that had their first exceptional decision in it; what was
   * decided about them before is to be copied as well.
   *
   * @returns request ids
   */
  endRound(): ReadonlySet<string> {
    const { fresh, ordinaryPerRound } = this;
    this.fresh = new Set();
    const most = ordinaryPerRound * SAVED_ROUNDS;
    this.allowance = Math.min(most, this.allowance + ordinaryPerRound);
    return fresh;
  }

  private takeAllowance(): boolean {
    if (this.allowance < 1) return false;
    this.allowance -= 1;
    return true;
  }

  private remember(requestId: string, selected: boolean): boolean {
    this.known.set(requestId, selected);
    const [oldest] = this.known.keys();
    if (this.known.size > KNOWN_REQUESTS && oldest !== undefined) this.known.delete(oldest);
    return selected;
  }
}

function isOrdinary({ step, choice }: DecisionEntry): boolean {
  const choices = ORDINARY[step];
  return choices !== undefined && (choices.length === 0 || choices.includes(choice));
}
