/** Limits of repeated sends over the whole fleet. */
export interface RetryLimits {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats in a window on top of the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Part of the limits that is used; the rest covers clocks and windows that do not line up. */
const USED_FRACTION = 0.8;

interface Slice {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** Slices of a window; the sum over a window is at most one slice too wide. */
const SLICES = 20;

/** Bounds repeated sends to one pool: this VM's requests times the ratio, and its part of the slack. */
export class RetryBudget {
  private readonly slices: Slice[] = [];

  private constructor(private readonly limits: RetryLimits) {}

  /**
   * Creates an allowance.
   *
   * @param limits - limits over the whole fleet
   * @returns an allowance without history
   */
  static create(limits: RetryLimits): RetryBudget {
    return new RetryBudget(limits);
  }

  /**
   * Counts a request of a caller.
   *
   * @param nowMs - monotonic time
   */
  recordRequest(nowMs: number): void {
    this.slice(nowMs).requests += 1;
  }

  /**
   * Takes a repeat when one is left.
   *
   * @param vms - VMs that share the slack
   * @param nowMs - monotonic time
   * @returns false when the request may not be sent again
   */
  tryAcquire(vms: number, nowMs: number): boolean {
    const slice = this.slice(nowMs);
    const used = this.slices.reduce((sum, { repeats }) => sum + repeats, 0);
    const requests = this.slices.reduce((sum, each) => sum + each.requests, 0);
    const most =
      USED_FRACTION * (this.limits.ratio * requests + this.limits.slack / Math.max(1, vms));
    if (used + 1 > most) return false;
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
