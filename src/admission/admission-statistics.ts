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
   * Creates an instance without counted requests.
   *
   * @returns a new instance
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
   * @param nowMs - monotonic time, in milliseconds
   */
  record(team: string, tokens: number, admitted: boolean, nowMs: number): void {
    const intervals = this.teams.get(team) ?? [];
    this.teams.set(team, intervals);
    const index = Math.floor(nowMs / INTERVAL_MS);
    if (intervals.at(-1)?.index !== index)
      intervals.push({ index, admitted: 0, refused: 0, tokens: 0 });
    if (intervals.length > INTERVAL_COUNT) intervals.shift();
    const interval = intervals.at(-1)!;
    interval.tokens += tokens;
    if (admitted) interval.admitted += 1;
    else interval.refused += 1;
  }

  /**
   * Finds the team with the lowest service level. When a team requested more than its rate over the
   * minute, only the part of its requests that the rate covers is expected to be admitted.
   *
   * @param rateOf - returns the rate of a team, in tokens per second
   * @param nowMs - monotonic time, in milliseconds
   * @returns the team, or undefined when there were no requests
   */
  findWorstServed(rateOf: (team: string) => number, nowMs: number): TeamServiceLevel | undefined {
    let worst: TeamServiceLevel | undefined;
    this.teams.forEach((intervals, team) => {
      const share = this.computeShare(team, intervals, rateOf(team), nowMs);
      if (share !== undefined && (!worst || share < worst.share)) worst = { team, share };
    });
    return worst;
  }

  private computeShare(
    team: string,
    intervals: readonly Interval[],
    rate: number,
    nowMs: number,
  ): number | undefined {
    const oldest = Math.floor(nowMs / INTERVAL_MS) - INTERVAL_COUNT;
    const recent = intervals.filter((interval) => interval.index > oldest);
    const sum = (pick: (interval: Interval) => number) =>
      recent.reduce((total, interval) => total + pick(interval), 0);
    const admitted = sum((interval) => interval.admitted);
    const asked = admitted + sum((interval) => interval.refused);
    if (asked === 0) {
      this.teams.delete(team);
      return undefined;
    }
    const covered =
      (rate * INTERVAL_MS * INTERVAL_COUNT) /
      1000 /
      Math.max(
        1,
        sum((interval) => interval.tokens),
      );
    const expected = asked * Math.min(1, covered);
    return expected > 0 ? Math.min(1, admitted / expected) : 1;
  }
}
