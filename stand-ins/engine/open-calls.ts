interface CallState {
  open: number;
  lastClosedMs: number;
}

/** Knows which attempts have an open call from their owner, for the filter of `GET /v1/holds`. */
export class OpenCalls {
  private readonly calls = new Map<string, CallState>();

  /**
   * Creates a record without calls.
   *
   * @returns a new record
   */
  static create(): OpenCalls {
    return new OpenCalls();
  }

  /**
   * Notes a call of an attempt until its connection or its answer ends.
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
   * Drops what is known of an attempt that holds nothing any more.
   *
   * @param attemptId - the attempt
   */
  remove(attemptId: string): void {
    this.calls.delete(attemptId);
  }

  /**
   * Measures for how long an attempt has had no open call.
   *
   * @param attemptId - the attempt
   * @returns the time in milliseconds; 0 while a call is open
   */
  idleMs(attemptId: string): number {
    const calls = this.calls.get(attemptId);
    if (!calls) return Infinity;
    return calls.open > 0 ? 0 : performance.now() - calls.lastClosedMs;
  }
}
