interface CallState {
  open: number;
  lastClosedMs: number;
}

/** Tracks the open calls of each attempt, for the idle filter of `GET /v1/holds`. */
export class OpenCalls {
  private readonly calls = new Map<string, CallState>();

  /**
   * Creates a tracker without calls.
   *
   * @returns a new tracker
   */
  static create(): OpenCalls {
    return new OpenCalls();
  }

  /**
   * Tracks a call of an attempt until its connection or its answer ends.
   *
   * @param attemptId - the attempt
   * @param signal - aborts when the call has ended
   */
  track(attemptId: string, signal: AbortSignal): void {
    const calls = this.calls.get(attemptId) ?? { open: 0, lastClosedMs: 0 };
    this.calls.set(attemptId, calls);
    calls.open += 1;
    const close = () => {
      calls.open -= 1;
      calls.lastClosedMs = performance.now();
    };
    if (signal.aborted) close();
    else signal.addEventListener('abort', close, { once: true });
  }

  /**
   * Removes an attempt that has no holds left.
   *
   * @param attemptId - the attempt
   */
  remove(attemptId: string): void {
    this.calls.delete(attemptId);
  }

  /**
   * Returns the time for which an attempt has had no open call.
   *
   * @param attemptId - the attempt
   * @returns the time in milliseconds; 0 while a call is open, Infinity for an unknown attempt
   */
  idleMs(attemptId: string): number {
    const calls = this.calls.get(attemptId);
    if (!calls) return Infinity;
    return calls.open > 0 ? 0 : performance.now() - calls.lastClosedMs;
  }
}
