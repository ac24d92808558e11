const MAX_FRAGMENTED = 2;

/**
 * Bodies in arrival whose chunks carry a few bytes each. Reading one takes much more processor time than
 * its size suggests, so only few are received at a time.
 */
export class FragmentedBodies {
  private count = 0;

  /**
   * Creates an instance that counts no bodies.
   *
   * @returns a new instance
   */
  static create(): FragmentedBodies {
    return new FragmentedBodies();
  }

  /**
   * Admits a body.
   *
   * @returns false when as many are in arrival as are received at a time
   */
  begin(): boolean {
    if (this.count >= MAX_FRAGMENTED) return false;
    this.count += 1;
    return true;
  }

  /** Ends a body that was admitted. */
  end(): void {
    this.count -= 1;
  }
}
