const INTERVAL_MS = 10_000;
const INTERVAL_COUNT = 6;

interface Interval {
  readonly index: number;
  admitted: number;
  refused: number;
  tokens: number;
}

/** Service level of a team over the last minute. */
export interface TeamServiceLevel {
  readonly team: string;
  /** Admitted requests / requests within the team's rate, 0 to 1. */
  readonly share: number;
}

/** Counts the admitted and refused requests of each team on this VM over the last minute. */
export class AdmissionStatistics {
  private readonly teams = new Map<string, Interval[]>();

  /**
   * Creates empty statistics.
   *
   * @returns new statistics
   */
  static create(): AdmissionStatistics {
    return new AdmissionStatistics();
  }

  /**
   * Records a request that has been admitted or refused.
   *
   * @param team - name of the team
   * @param tokens - tokens that it requested
   * @param admitted - false when it was refused for lack of tokens or capacity
   * @param nowMs - monotonic time in milliseconds
   */
  record(team: string, tokens: number, admitted: boolean, nowMs: number): void {
    const slots = this.teams.get(team) ?? [];
    this.teams.set(team, slots);
    const index = Math.floor(nowMs / INTERVAL_MS);
    if (slots.at(-1)?.index !== index) slots.push({ index, admitted: 0, refused: 0, tokens: 0 });
    if (slots.length > INTERVAL_COUNT) slots.shift();
    const slot = slots.at(-1)!;
    slot.tokens += tokens;
    if (admitted) slot.admitted += 1;
    else slot.refused += 1;
  }

  /**
   * Finds the team with the lowest service level. When a team requested more than its rate over the
   * minute, only the part of its requests that the rate covers is expected to be admitted.
   *
   * @param rateOf - returns the rate of a team, in tokens per second
   * @param nowMs - monotonic time in milliseconds
   * @returns the team, or undefined when there were no requests
   */
  findWorstServed(rateOf: (team: string) => number, nowMs: number): TeamServiceLevel | undefined {
    let worst: TeamServiceLevel | undefined;
    this.teams.forEach((slots, team) => {
      const share = this.computeShare(team, slots, rateOf(team), nowMs);
      if (share !== undefined && (!worst || share < worst.share)) worst = { team, share };
    });
    return worst;
  }

  private computeShare(
    team: string,
    slots: readonly Interval[],
    rate: number,
    nowMs: number,
  ): number | undefined {
    const oldest = Math.floor(nowMs / INTERVAL_MS) - INTERVAL_COUNT;
    const recent = slots.filter((slot) => slot.index > oldest);
    const sum = (pick: (slot: Interval) => number) =>
      recent.reduce((total, slot) => total + pick(slot), 0);
    const admitted = sum((slot) => slot.admitted);
    const asked = admitted + sum((slot) => slot.refused);
    if (asked === 0) {
      this.teams.delete(team);
      return undefined;
    }
    const covered =
      (rate * INTERVAL_MS * INTERVAL_COUNT) /
      1000 /
      Math.max(
        1,
        sum((slot) => slot.tokens),
      );
    const expected = asked * Math.min(1, covered);
    return expected > 0 ? Math.min(1, admitted / expected) : 1;
  }
}
