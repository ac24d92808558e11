/** Loop that runs in the background of a service until it is stopped. */
export abstract class BackgroundLoop {
  private readonly stopping = new AbortController();

  private running: Promise<void> = Promise.resolve();

  /** Starts the loop. */
  start(): void {
    this.running = this.run(this.stopping.signal);
  }

  /**
   * Stops the loop.
   *
   * @returns a promise that resolves when the loop has ended
   */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.running;
  }

  /**
   * Runs the loop body until the signal aborts.
   *
   * @param signal - aborts when the loop must stop
   * @returns a promise that resolves soon after the signal has aborted
   */
  protected abstract run(signal: AbortSignal): Promise<void>;
}
