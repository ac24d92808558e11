/** How a disturbance of the store changes the bound on configurations: it suspends it, or stretches it. */
export type Severity = 'severe' | 'mild';

interface Disturbance {
  readonly scope: string;
  readonly severity: Severity;
  readonly fromMs: number;
  untilMs: number;
}

/** Records when VMs and the store were disturbed by faults. */
export class Disturbances {
  private readonly list: Disturbance[] = [];

  /**
   * Creates an empty record.
   *
   * @returns the record
   */
  static create(): Disturbances {
    return new Disturbances();
  }

  /**
   * Records a disturbance that begins now.
   *
   * @param scope - host of a VM, or `store`
   * @param severity - how it changes the bound
   * @returns a function that ends it
   */
  begin(scope: string, severity: Severity = 'severe'): () => void {
    const disturbance = { scope, severity, fromMs: Date.now(), untilMs: Infinity };
    this.list.push(disturbance);
    return () => {
      disturbance.untilMs = Date.now();
    };
  }

  /**
   * Returns whether something was disturbed in a span of time.
   *
   * @param scope - host of a VM, or `store`
   * @param fromMs - start of the span, as wall-clock time in milliseconds
   * @param untilMs - its end
   * @param severity - counts only disturbances of this severity; all when omitted
   * @returns true when a disturbance overlaps the span
   */
  has(scope: string, fromMs: number, untilMs: number, severity?: Severity): boolean {
    return this.list.some(
      (each) =>
        each.scope === scope &&
        (severity === undefined || each.severity === severity) &&
        each.fromMs <= untilMs &&
        each.untilMs >= fromMs,
    );
  }
}
