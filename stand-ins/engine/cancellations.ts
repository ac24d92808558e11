/** Signals of running attempts and ids of cancelled ones; a cancelled id stays cancelled. */
export class Cancellations {
  private readonly cancelled = new Set<string>();

  private readonly controllers = new Map<string, AbortController>();

  /**
   * Creates a set without cancelled attempts.
   *
   * @returns a new set
   */
  static create(): Cancellations {
    return new Cancellations();
  }

  /**
   * Checks whether an attempt was cancelled.
   *
   * @param attemptId - the attempt
   * @returns true when it was
   */
  isCancelled(attemptId: string): boolean {
    return this.cancelled.has(attemptId);
  }

  /**
   * Gives the signal that ends the work of an attempt.
   *
   * @param attemptId - the attempt
   * @returns a signal that aborts when the attempt is cancelled
   */
  signal(attemptId: string): AbortSignal {
    const controller = this.controllers.get(attemptId) ?? new AbortController();
    this.controllers.set(attemptId, controller);
    if (this.cancelled.has(attemptId)) controller.abort();
    return controller.signal;
  }

  /**
   * Cancels an attempt, also one that is not known.
   *
   * @param attemptId - the attempt
   */
  cancel(attemptId: string): void {
    this.cancelled.add(attemptId);
    this.abort(attemptId);
  }

  /**
   * Forgets the signal of an attempt that has ended, and ends what still waits for it.
   *
   * @param attemptId - the attempt
   */
  abort(attemptId: string): void {
    this.controllers.get(attemptId)?.abort();
    this.controllers.delete(attemptId);
  }

  /** Ends the work of all attempts. */
  abortAll(): void {
    [...this.controllers.keys()].forEach((attemptId) => this.abort(attemptId));
  }
}
