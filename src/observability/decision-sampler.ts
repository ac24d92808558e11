import type { DecisionEntry } from './decisions.js';

/** Maximum number of requests whose sampling result is kept; it applies to all their decisions. */
const MAX_TRACKED_REQUESTS = 4000;

/** Maximum number of rounds for which the unused budget for routine requests accumulates. */
const MAX_BUDGET_ROUNDS = 10;

/** Choices of requests that run as planned, by step; an empty list stands for every choice. */
const ROUTINE_CHOICES: Readonly<Record<string, readonly string[] | undefined>> = {
  admission: ['admitted'],
  'decode-server': [],
  'prefill-server': [],
  outcome: ['stop', 'length'],
  'at-most-once': ['answered'],
};

/**
 * Samples the decisions that are copied to a peer: all decisions about requests that were refused,
 * failed or were run again, and those about a limited number of others. At the design size, copies of
 * all decisions would take nearly all of a node's byte budget for control traffic.
 */
export class DecisionSampler {
  /** Whether each tracked request is copied, oldest first. */
  private readonly tracked = new Map<string, boolean>();

  private newlyExceptional = new Set<string>();

  private routineBudget: number;

  private constructor(private readonly routinePerRound: number) {
    this.routineBudget = routinePerRound * MAX_BUDGET_ROUNDS;
  }

  /**
   * Creates a sampler.
   *
   * @param routinePerRound - routine requests that are copied in a round
   * @returns a sampler that tracks no request
   */
  static create(routinePerRound: number): DecisionSampler {
    return new DecisionSampler(routinePerRound);
  }

  /**
   * Decides whether a new entry is copied.
   *
   * @param entry - the decision
   * @returns true when it must be copied
   */
  sample(entry: DecisionEntry): boolean {
    const { requestId } = entry;
    const sampled = this.tracked.get(requestId);
    if (sampled) return true;
    if (!isRoutine(entry)) {
      this.newlyExceptional.add(requestId);
      return this.remember(requestId, true);
    }
    return sampled ?? this.remember(requestId, this.consumeBudget());
  }

  /**
   * Ends a round and returns the requests that had their first exceptional decision in it; their
   * earlier decisions must be copied as well.
   *
   * @returns request ids
   */
  endRound(): ReadonlySet<string> {
    const { newlyExceptional, routinePerRound } = this;
    this.newlyExceptional = new Set();
    const maxBudget = routinePerRound * MAX_BUDGET_ROUNDS;
    this.routineBudget = Math.min(maxBudget, this.routineBudget + routinePerRound);
    return newlyExceptional;
  }

  private consumeBudget(): boolean {
    if (this.routineBudget < 1) return false;
    this.routineBudget -= 1;
    return true;
  }

  private remember(requestId: string, sampled: boolean): boolean {
    this.tracked.set(requestId, sampled);
    const [oldest] = this.tracked.keys();
    if (this.tracked.size > MAX_TRACKED_REQUESTS && oldest !== undefined)
      this.tracked.delete(oldest);
    return sampled;
  }
}

function isRoutine({ step, choice }: DecisionEntry): boolean {
  const choices = ROUTINE_CHOICES[step];
  return choices !== undefined && (choices.length === 0 || choices.includes(choice));
}
