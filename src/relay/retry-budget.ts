/** Limits on retries over the whole fleet. */
export interface RetryLimits {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed in a window in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** How well this VM knows what the rest of the fleet has spent. */
export interface FleetContact {
  /** Number of VMs that share the limits, including this one. */
  readonly size: number;
  /** Number of those that are reachable, including this one. */
  readonly reachable: number;
  /** Monotonic time, in milliseconds, up to which the reachable VMs know each other's retries. */
  readonly reportedMs: number;
}

/** Requests and retries of one pool since the start of a process. */
export type RetryTotals = readonly [requests: number, retries: number];

/** What is left of a budget for this VM. */
export interface RetryAllowance {
  /** Retries of the whole fleet in the current window, as far as this VM knows. */
  readonly used: number;
  /** Retries that this VM may still make until the other VMs have been told of them. */
  readonly left: number;
}

/** Fraction of the limits that is used; the rest covers clocks and windows that are not aligned. */
const USED_FRACTION = 0.8;

/**
 * Fraction of its share that a VM may use in the window after its start, when it does not know what was
 * spent before. A fleet that restarts at once then stays within the limits, of which USED_FRACTION may
 * have been used shortly before.
 */
const STARTING_FRACTION = 1 / USED_FRACTION - 1;

/** Slices of a window; the sum over a window covers at most one slice too much. */
const SLICES = 20;

interface Slice {
  readonly startMs: number;
  requests: number;
  retries: number;
  ownRequests: number;
  ownRetries: number;
}

/**
 * Limits the retries of the whole fleet to one pool. Each VM knows from digests what the others spend.
 * Until the next digests have arrived, every VM may spend its part of what is left: its own requests times
 * the ratio and an equal part of the slack, relative to the same sum over all reachable VMs. The part of
 * unreachable VMs is left to them.
 *
 * Load pattern: failures that concern the requests of a few VMs only.
 */
export class RetryBudget {
  private readonly slices: Slice[] = [];

  /** Totals of each other VM or hub that have already been counted. */
  private readonly reported = new Map<string, RetryTotals>();

  private ownRequests = 0;

  private ownRetries = 0;

  private roundingDrawnMs = -Infinity;

  private rounding = 0;

  private constructor(
    private readonly limits: RetryLimits,
    private readonly startedMs: number,
    private readonly random: () => number,
  ) {}

  /**
   * Creates a retry budget.
   *
   * @param limits - limits over the whole fleet
   * @param startedMs - monotonic start time of this process, in milliseconds
   * @param random - source of numbers from 0 to below 1
   * @returns a budget without history
   */
  static create(limits: RetryLimits, startedMs: number, random = Math.random): RetryBudget {
    return new RetryBudget(limits, startedMs, random);
  }

  /** Requests and retries of this VM since its start. */
  get totals(): RetryTotals {
    return [this.ownRequests, this.ownRetries];
  }

  /**
   * Counts a request of a caller.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordRequest(nowMs: number): void {
    const slice = this.slice(nowMs);
    slice.requests += 1;
    slice.ownRequests += 1;
    this.ownRequests += 1;
  }

  /**
   * Counts what another VM, or all VMs that a hub sums, have spent since their previous report.
   *
   * @param source - the VM or hub and its incarnation
   * @param totals - requests and retries since the start of the source
   * @param part - part of the fleet that the source reports, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   */
  recordReported(source: string, totals: RetryTotals, part: number, nowMs: number): void {
    const last = this.reported.get(source);
    const slice = this.slice(nowMs);
    slice.requests += last ? Math.max(0, totals[0] - last[0]) : 0;
    // A first report does not say when its retries were made, which after a partition may be just now. So
    // the most that the source may have spent in this window is counted.
    slice.retries += last
      ? totals[1] - last[1]
      : Math.min(totals[1], USED_FRACTION * this.limits.slack * part);
    this.reported.set(source, totals);
  }

  /**
   * Removes a source that has left the fleet.
   *
   * @param source - the VM or hub and its incarnation
   */
  removeSource(source: string): void {
    this.reported.delete(source);
  }

  /**
   * Charges sends if the budget covers all of them.
   *
   * @param sends - number of sends beyond those that are free
   * @param fleet - contact with the other VMs
   * @param nowMs - monotonic time, in milliseconds
   * @returns false when nothing was charged and nothing may be sent
   */
  tryAcquire(sends: number, fleet: FleetContact, nowMs: number): boolean {
    const { left } = this.assess(fleet, nowMs);
    // Rounds by chance: in a large fleet the part of a VM is often less than one send.
    if (left + sends * this.rounding < sends) return false;
    this.charge(sends, nowMs);
    return true;
  }

  /**
   * Refunds charged sends that did not reach a server.
   *
   * @param sends - number of sends
   * @param nowMs - monotonic time, in milliseconds
   */
  refund(sends: number, nowMs: number): void {
    this.charge(-sends, nowMs);
  }

  /**
   * Computes what is left for this VM.
   *
   * @param fleet - contact with the other VMs
   * @param nowMs - monotonic time, in milliseconds
   * @returns the fleet's use and this VM's rest
   */
  assess(fleet: FleetContact, nowMs: number): RetryAllowance {
    const { reportedMs } = fleet;
    const isStarting = nowMs < this.startedMs + this.limits.windowMs;
    this.drawRounding(reportedMs, nowMs);
    this.expire(nowMs);
    const used = this.sum(({ retries }) => retries);
    const unreported = this.countUnreported(isStarting ? this.startedMs : reportedMs);
    const { allowed, share } = this.computeLimits(fleet);
    const free = Math.max(0, allowed - (used - unreported));
    const fraction = isStarting ? STARTING_FRACTION : 1;
    return { used, left: (fraction * free * share) / Math.max(share, allowed) - unreported };
  }

  /** Computes what the reachable VMs may spend in a window together, and the part of this VM. */
  private computeLimits({ size, reachable }: FleetContact) {
    const { ratio, slack } = this.limits;
    const own = this.sum(({ ownRequests }) => ownRequests);
    const others = this.sum(({ requests }) => requests) - own;
    // Both sides of a split know the same requests from before it.
    const othersPart = size > 1 ? (reachable - 1) / (size - 1) : 0;
    const requests = own + others * othersPart;
    return {
      allowed: USED_FRACTION * (ratio * requests + (slack * reachable) / size),
      share: USED_FRACTION * (ratio * own + slack / size),
    };
  }

  /** Counts the retries of this VM that others may not know yet. */
  private countUnreported(sinceMs: number): number {
    const sliceMs = this.limits.windowMs / SLICES;
    return this.sum(({ startMs, ownRetries }) => (startMs + sliceMs > sinceMs ? ownRetries : 0));
  }

  /** Draws a number for rounding once for each time in which the others have not been told. */
  private drawRounding(reportedMs: number, nowMs: number): void {
    if (this.roundingDrawnMs > reportedMs) return;
    this.roundingDrawnMs = nowMs;
    this.rounding = this.random();
  }

  private sum(count: (slice: Slice) => number): number {
    return this.slices.reduce((total, slice) => total + count(slice), 0);
  }

  private charge(sends: number, nowMs: number): void {
    const slice = this.slice(nowMs);
    slice.retries += sends;
    slice.ownRetries += sends;
    this.ownRetries += sends;
  }

  private expire(nowMs: number): void {
    while (this.slices.length > 0 && this.slices[0]!.startMs <= nowMs - this.limits.windowMs) {
      this.slices.shift();
    }
  }

  private slice(nowMs: number): Slice {
    this.expire(nowMs);
    const last = this.slices.at(-1);
    if (last && nowMs < last.startMs + this.limits.windowMs / SLICES) return last;
    const slice = { startMs: nowMs, requests: 0, retries: 0, ownRequests: 0, ownRetries: 0 };
    this.slices.push(slice);
    return slice;
  }
}
