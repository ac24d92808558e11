/** Rate of a team over the whole fleet. */
export interface TeamRate {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** How far a team may go beyond its rate; what lies beyond the rate is served last. */
export interface RateTolerance {
  /** Part of rate and burst that may be added. */
  readonly part: number;
  /** Tokens that may be added to the burst. */
  readonly tokens: number;
}

/** Part of the burst that is there when a VM starts: what the team used before is not known. */
const STARTING_PART = 0.5;

/** Part of the tolerance that is used; the rest covers what is admitted between two digests. */
const USED_PART = 0.5;

interface Meter {
  rate: TeamRate;
  level: number;
  filledMs: number;
  /** Tokens that this VM has admitted since its start. */
  spent: number;
  /** Tokens of other VMs that have been taken into account. */
  readonly seen: Map<string, number>;
}

/** Whether a request fits the rate of its team. */
export type Metering =
  | { readonly kind: 'admitted'; readonly insideRate: boolean }
  | { readonly kind: 'exceeded'; readonly retryAfterMs: number; readonly level: number };

/**
 * Holds teams to their rates over the whole fleet. Every VM keeps a bucket with the whole rate and
 * takes off what the other VMs say that they have admitted, so a burst at one VM is not refused, and
 * the excess is at most what arrives between two digests.
 */
export class TeamMeter {
  private readonly meters = new Map<string, Meter>();

  /** Part of the fleet that has not been heard, 0 to 1; it may spend its share unseen. */
  private unheardPart = 0;

  private constructor(private readonly tolerance: RateTolerance) {}

  /**
   * Creates a meter.
   *
   * @param tolerance - how far a team may go beyond its rate
   * @returns a meter without teams
   */
  static create(tolerance: RateTolerance = { part: 0, tokens: 0 }): TeamMeter {
    return new TeamMeter(tolerance);
  }

  /**
   * Takes over the teams of a configuration, so that all VMs count alike from the same moment on.
   *
   * @param teams - the teams with their rates
   * @param nowMs - monotonic time
   */
  configure(teams: readonly (TeamRate & { readonly name: string })[], nowMs: number): void {
    const names = new Set(teams.map(({ name }) => name));
    [...this.meters.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.meters.delete(name));
    teams.forEach((team) => this.find(team.name, team, nowMs));
  }

  /**
   * Sets the part of the rate that VMs out of contact may be spending.
   *
   * @param part - 0 when every known VM is heard, up to 1
   * @param nowMs - monotonic time
   */
  setUnheardPart(part: number, nowMs: number): void {
    this.meters.forEach((meter) => this.fill(meter, nowMs));
    this.unheardPart = Math.min(1, Math.max(0, part));
  }

  /**
   * Charges a request.
   *
   * @param team - its team
   * @param rate - the team's rate in force
   * @param tokens - what it is charged
   * @param nowMs - monotonic time
   * @returns admitted, or when to come back
   */
  admit(team: string, rate: TeamRate, tokens: number, nowMs: number): Metering {
    if (rate.tokensPerSecond <= 0) return { kind: 'admitted', insideRate: true };
    const meter = this.find(team, rate, nowMs);
    this.fill(meter, nowMs);
    const capacity = this.capacity(rate);
    // A request larger than the burst goes when the bucket is full, or it could never go.
    const needed = Math.min(tokens, capacity);
    if (meter.level < needed) {
      const retryAfterMs = (needed - meter.level) / Math.max(0.001, this.fillPerMs(rate));
      return { kind: 'exceeded', retryAfterMs, level: Math.round(meter.level) };
    }
    const insideRate =
      meter.level - tokens >= capacity - rate.burstTokens || tokens > rate.burstTokens;
    meter.level -= tokens;
    meter.spent += tokens;
    return { kind: 'admitted', insideRate };
  }

  /**
   * Gives back the charge of a request that was not run.
   *
   * @param team - its team
   * @param tokens - what it was charged
   */
  refund(team: string, tokens: number): void {
    const meter = this.meters.get(team);
    if (!meter) return;
    meter.level = Math.min(this.capacity(meter.rate), meter.level + tokens);
    meter.spent -= tokens;
  }

  /**
   * Takes off what another VM has admitted.
   *
   * @param vm - the VM and its incarnation
   * @param spent - tokens by team since that VM's start
   * @param nowMs - monotonic time
   */
  noteSpent(vm: string, spent: Readonly<Record<string, number>>, nowMs: number): void {
    Object.entries(spent).forEach(([team, total]) => {
      const meter = this.meters.get(team);
      if (!meter) return;
      this.fill(meter, nowMs);
      // What a VM spent before it was first heard is not known to fall into the present window.
      const before = meter.seen.get(vm) ?? total;
      meter.level -= total - before;
      meter.seen.set(vm, total);
    });
  }

  /**
   * Forgets a VM that has left the fleet.
   *
   * @param vm - the VM and its incarnation
   */
  forget(vm: string): void {
    this.meters.forEach(({ seen }) => seen.delete(vm));
  }

  /** Tokens that this VM has admitted since its start, by team. */
  get spent(): Readonly<Record<string, number>> {
    const totals: Record<string, number> = {};
    this.meters.forEach((meter, team) => {
      totals[team] = Math.round(meter.spent);
    });
    return totals;
  }

  private find(team: string, rate: TeamRate, nowMs: number): Meter {
    const known = this.meters.get(team);
    if (known) {
      this.fill(known, nowMs);
      known.rate = rate;
      known.level = Math.min(known.level, this.capacity(rate));
      return known;
    }
    const level = this.capacity(rate) * STARTING_PART;
    const meter: Meter = { rate, level, filledMs: nowMs, spent: 0, seen: new Map() };
    this.meters.set(team, meter);
    return meter;
  }

  private fill(meter: Meter, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - meter.filledMs);
    const level = meter.level + this.fillPerMs(meter.rate) * elapsedMs;
    Object.assign(meter, {
      filledMs: Math.max(nowMs, meter.filledMs),
      level: Math.min(this.capacity(meter.rate), level),
    });
  }

  private fillPerMs({ tokensPerSecond }: TeamRate): number {
    return (
      (tokensPerSecond * (1 + USED_PART * this.tolerance.part) * (1 - this.unheardPart)) / 1000
    );
  }

  private capacity({ burstTokens }: TeamRate): number {
    const { part, tokens } = this.tolerance;
    return (burstTokens * (1 + USED_PART * part) + USED_PART * tokens) * (1 - this.unheardPart);
  }
}
