/** Thrown on a programming error; it is not caught and terminates the process. */
export class BrokenInvariant extends Error {
  override readonly name = 'BrokenInvariant';
}

/**
 * Throws {@link BrokenInvariant} when a condition that the code relies on does not hold.
 *
 * @param condition - what must be true
 * @param message - error message when it is false
 */
export function assertInvariant(condition: unknown, message: string): asserts condition {
  if (!condition) throw new BrokenInvariant(message);
}
