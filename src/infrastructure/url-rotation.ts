import { assertInvariant } from '../kernel/invariant.js';

/** Selects one of several equivalent URLs and switches to the next one after a failure. */
export class UrlRotation {
  private index = 0;

  private constructor(private readonly urls: readonly string[]) {}

  /**
   * Creates a rotation that starts with the first URL.
   *
   * @param urls - at least one URL; trailing slashes are removed
   * @returns a new rotation
   */
  static create(urls: readonly string[]): UrlRotation {
    assertInvariant(urls.length > 0, 'UrlRotation needs at least one URL');
    return new UrlRotation(urls.map((url) => url.replace(/\/+$/, '')));
  }

  /**
   * Returns the URL in use.
   *
   * @returns the URL
   */
  current(): string {
    return this.urls[this.index] ?? '';
  }

  /**
   * Switches to the next URL, unless another call that failed on the same URL has already done so.
   *
   * @param failed - the URL that failed
   */
  markFailed(failed: string): void {
    if (failed === this.current()) this.index = (this.index + 1) % this.urls.length;
  }
}
