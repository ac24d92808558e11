/** Abort signals of running attempts and ids of cancelled ones, which stay cancelled for good. */
export class Cancellations {
  private readonly cancelled = new Set<string>();

  private readonly controllers = new Map<string, AbortController>();

  /**
   * Creates an empty set.
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
   * @returns true when it was cancelled
   */
  isCancelled(attemptId: string): boolean {
    return this.cancelled.has(attemptId);
  }

  /**
   * Returns the abort signal of an attempt, and creates it on first use.
   *
   * @param attemptId - the attempt
   * @returns a signal that aborts when the attempt is cancelled or has ended
   */
  signal(attemptId: string): AbortSignal {
    const controller = this.controllers.get(attemptId) ?? new AbortController();
    this.controllers.set(attemptId, controller);
    if (this.cancelled.has(attemptId)) controller.abort();
    return controller.signal;
  }

  /**
   * Cancels an attempt, also an unknown one.
   *
   * @param attemptId - the attempt
   */
  cancel(attemptId: string): void {
    this.cancelled.add(attemptId);
    this.abort(attemptId);
  }

  /**
   * Aborts the work that an ended attempt still has pending, and removes its signal.
   *
   * @param attemptId - the attempt
   */
  abort(attemptId: string): void {
    this.controllers.get(attemptId)?.abort();
    this.controllers.delete(attemptId);
  }

  /** Aborts the work of all attempts. */
  abortAll(): void {
    [...this.controllers.keys()].forEach((attemptId) => this.abort(attemptId));
  }
}
