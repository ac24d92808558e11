import { assertInvariant } from '../kernel/invariant.js';

/** Chooses one of several equal URLs and moves on to the next one after a failure. */
export class UrlRotation {
  private index = 0;

  private constructor(private readonly urls: readonly string[]) {}

  /**
   * Creates a rotation that begins with the first URL.
   *
   * @param urls - at least one URL; a slash at the end is dropped
   * @returns a new rotation
   */
  static create(urls: readonly string[]): UrlRotation {
    assertInvariant(urls.length > 0, 'a rotation needs a URL');
    return new UrlRotation(urls.map((url) => url.replace(/\/+$/, '')));
  }

  /**
   * Reads the URL in use.
   *
   * @returns the URL
   */
  current(): string {
    return this.urls[this.index] ?? '';
  }

  /**
   * Moves on, unless another call that used the same URL has done so already.
   *
   * @param failed - the URL that failed
   */
  markFailed(failed: string): void {
    if (failed === this.current()) this.index = (this.index + 1) % this.urls.length;
  }
}
