/** Loop that runs in the background of a service until it is stopped. */
export abstract class BackgroundLoop {
  private readonly stopping = new AbortController();

  private running: Promise<void> = Promise.resolve();

  /** Starts the loop and returns without waiting for it. */
  start(): void {
    this.running = this.run(this.stopping.signal);
  }

  /**
   * Aborts the loop and waits until it has ended.
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
   * @returns a promise that resolves promptly after the signal has aborted
   */
  protected abstract run(signal: AbortSignal): Promise<void>;
}
