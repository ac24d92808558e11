/** A result: a value, or an expected failure, which is returned instead of thrown. */
export type Outcome<Value, Failure> =
  | { readonly kind: 'ok'; readonly value: Value }
  | { readonly kind: 'failed'; readonly failure: Failure };

/**
 * Wraps a value as a successful outcome.
 *
 * @param value - the result
 * @returns an outcome of kind `ok`
 */
export function succeed<Value>(value: Value): { kind: 'ok'; value: Value } {
  return { kind: 'ok', value };
}

/**
 * Wraps a failure as an outcome.
 *
 * @param failure - what went wrong
 * @returns an outcome of kind `failed`
 */
export function fail<Failure>(failure: Failure): { kind: 'failed'; failure: Failure } {
  return { kind: 'failed', failure };
}
