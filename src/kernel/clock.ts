/** Source of time; an abstraction so that time-dependent code can be tested without waiting. */
export abstract class Clock {
  /**
   * Reads the monotonic clock, which never goes back.
   *
   * @returns milliseconds since an arbitrary origin
   */
  abstract monotonicMs(): number;

  /**
   * Reads the wall clock.
   *
   * @returns milliseconds since the Unix epoch
   */
  abstract wallMs(): number;

  /**
   * Waits for a duration or until the signal aborts; the promise never rejects.
   *
   * @param ms - milliseconds to wait
   * @param signal - ends the wait early
   * @returns a promise that resolves at the end of the wait
   */
  abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;
}
