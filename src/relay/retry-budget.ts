/** Limits on retries over the whole fleet. */
export interface RetryLimits {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed in a window in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Fraction of the limits that is used; the rest covers clocks and windows that are not aligned. */
const USED_FRACTION = 0.8;

interface Slice {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** Slices of a window; the sum over a window covers at most one slice too much. */
const SLICES = 20;

/** Limits retries to one pool to this VM's requests times the ratio, plus its share of the slack. */
export class RetryBudget {
  private readonly slices: Slice[] = [];

  private constructor(private readonly limits: RetryLimits) {}

  /**
   * Creates a retry budget.
   *
   * @param limits - limits over the whole fleet
   * @returns a budget without history
   */
  static create(limits: RetryLimits): RetryBudget {
    return new RetryBudget(limits);
  }

  /**
   * Counts a request of a caller.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordRequest(nowMs: number): void {
    this.slice(nowMs).requests += 1;
  }

  /**
   * Consumes one retry if the budget allows it.
   *
   * @param vms - number of VMs that share the slack
   * @param nowMs - monotonic time, in milliseconds
   * @returns false when the request may not be sent again
   */
  tryAcquire(vms: number, nowMs: number): boolean {
    const slice = this.slice(nowMs);
    const used = this.slices.reduce((sum, { repeats }) => sum + repeats, 0);
    const requests = this.slices.reduce((sum, each) => sum + each.requests, 0);
    const max =
      USED_FRACTION * (this.limits.ratio * requests + this.limits.slack / Math.max(1, vms));
    if (used + 1 > max) return false;
    slice.repeats += 1;
    return true;
  }

  private slice(nowMs: number): Slice {
    const { windowMs } = this.limits;
    while (this.slices.length > 0 && this.slices[0]!.startMs <= nowMs - windowMs) {
      this.slices.shift();
    }
    const last = this.slices.at(-1);
    if (last && nowMs < last.startMs + windowMs / SLICES) return last;
    const slice = { startMs: nowMs, requests: 0, repeats: 0 };
    this.slices.push(slice);
    return slice;
  }
}
