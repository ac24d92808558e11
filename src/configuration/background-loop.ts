/** Work that runs beside a service until it is stopped. */
export abstract class BackgroundLoop {
  private readonly stopping = new AbortController();

  private running: Promise<void> = Promise.resolve();

  /** Starts the loop. */
  start(): void {
    this.running = this.run(this.stopping.signal);
  }

  /**
   * Ends the loop.
   *
   * @returns a promise that resolves when the loop has ended
   */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.running;
  }

  /**
   * Repeats the work.
   *
   * @param signal - aborts when the loop is to end
   * @returns a promise that resolves soon after the signal has aborted
   */
  protected abstract run(signal: AbortSignal): Promise<void>;
}
