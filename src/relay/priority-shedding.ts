/** Half-life of the arrivals from which the parts of the priorities are computed, in milliseconds. */
const HALF_LIFE_MS = 2000;

/**
 * Part of the requests of a priority that is kept in any case, of those that would be kept without
 * priorities. It keeps the routes and teams of low priority alive while the pool is overloaded.
 */
const MIN_KEPT_PART = 0.4;

/** Arrivals below which a priority is forgotten. */
const MIN_ARRIVALS = 0.01;

interface Arrivals {
  count: number;
  atMs: number;
}

/**
 * Divides the refusals of an overloaded pool among the priorities of its requests: the lowest priority is
 * refused first, as far as it keeps its minimum part, then the next one.
 *
 * Load pattern: urgent requests beside others, together beyond the capacity of a plain pool.
 */
export class PriorityShedding {
  private readonly arrivals = new Map<number, Arrivals>();

  /**
   * Creates an instance that has seen no requests.
   *
   * @returns a new instance
   */
  static create(): PriorityShedding {
    return new PriorityShedding();
  }

  /**
   * Records a request.
   *
   * @param priority - its priority; 0 is the highest
   * @param nowMs - monotonic time, in milliseconds
   */
  record(priority: number, nowMs: number): void {
    this.arrivals.set(priority, { count: this.countOf(priority, nowMs) + 1, atMs: nowMs });
  }

  /**
   * Computes the fraction of the requests of a priority to refuse.
   *
   * @param priority - the priority; 0 is the highest
   * @param overall - fraction of all requests to refuse, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   * @returns probability of refusal, 0 to 1; the overall fraction while there is one priority only
   */
  computeProbability(priority: number, overall: number, nowMs: number): number {
    if (overall <= 0) return 0;
    const counts = this.listCounts(nowMs);
    const total = counts.reduce((sum, [, count]) => sum + count, 0);
    if (counts.length < 2 || total === 0) return overall;
    const maxProbability = 1 - MIN_KEPT_PART * (1 - overall);
    let toRefuse = overall * total;
    for (const [each, count] of counts) {
      const probability = Math.min(maxProbability, toRefuse / count);
      if (each === priority) return probability;
      toRefuse -= probability * count;
    }
    return overall;
  }

  /** Recent arrivals by priority, the lowest priority first. */
  private listCounts(nowMs: number): [priority: number, count: number][] {
    const counts = [...this.arrivals.keys()].map((priority): [number, number] => [
      priority,
      this.countOf(priority, nowMs),
    ]);
    counts
      .filter(([, count]) => count < MIN_ARRIVALS)
      .forEach(([priority]) => this.arrivals.delete(priority));
    return counts
      .filter(([, count]) => count >= MIN_ARRIVALS)
      .sort(([left], [right]) => right - left);
  }

  private countOf(priority: number, nowMs: number): number {
    const known = this.arrivals.get(priority);
    if (!known) return 0;
    return known.count * 0.5 ** (Math.max(0, nowMs - known.atMs) / HALF_LIFE_MS);
  }
}
