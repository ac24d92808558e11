/** Load as it is sent to clients. */
export interface ReportedLoad {
  readonly slotsFree: number;
  readonly blocksFree: number;
  readonly queuedPrefillTokens: number;
  /** From 0 (idle) to 4 (full). */
  readonly level: number;
  readonly draining: boolean;
  readonly incarnation: string;
}

/** Reports the load with a configurable lag. */
export class LoadReport {
  private latest: ReportedLoad;

  private readonly timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly measure: () => ReportedLoad,
    private readonly lagMs: number,
  ) {
    this.latest = measure();
    if (lagMs > 0) this.timer = setInterval(() => this.refresh(), lagMs);
  }

  /**
   * Creates a report.
   *
   * @param measure - measures the present load
   * @param lagMs - interval between refreshes of the report; 0 reports the present load
   * @returns a new report
   */
  static create(measure: () => ReportedLoad, lagMs: number): LoadReport {
    return new LoadReport(measure, lagMs);
  }

  /** Stops the refreshes. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Reads the reported load.
   *
   * @returns the load at the latest refresh
   */
  read(): ReportedLoad {
    if (this.lagMs === 0) this.refresh();
    return this.latest;
  }

  /**
   * Formats the load for the header `x-engine-load`.
   *
   * @returns the fields, separated by commas
   */
  format(): string {
    const { slotsFree, blocksFree, queuedPrefillTokens, level, draining, incarnation } =
      this.read();
    const flag = draining ? 1 : 0;
    return [slotsFree, blocksFree, queuedPrefillTokens, level, flag, incarnation].join(',');
  }

  private refresh(): void {
    this.latest = this.measure();
  }
}
