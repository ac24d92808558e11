/** Source of time, so that time-dependent decisions can be tested without waiting. */
export abstract class Clock {
  /**
   * Reads a clock that never goes back.
   *
   * @returns milliseconds since an arbitrary start
   */
  abstract monotonicMs(): number;

  /**
   * Reads the wall clock.
   *
   * @returns milliseconds since the Unix epoch
   */
  abstract wallMs(): number;

  /**
   * Waits for a time, or until the signal aborts; it does not reject.
   *
   * @param ms - milliseconds to wait
   * @param signal - ends the wait early
   * @returns a promise that resolves at the end of the wait
   */
  abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;
}
