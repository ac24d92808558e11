/** Signals a defect in the program itself; it is not handled and stops the process. */
export class BrokenInvariant extends Error {
  override readonly name = 'BrokenInvariant';
}

/**
 * Stops the process when a condition that the code relies on does not hold.
 *
 * @param condition - what must be true
 * @param message - what it means when it is not
 */
export function assertInvariant(condition: unknown, message: string): asserts condition {
  if (!condition) throw new BrokenInvariant(message);
}
