/** Tokens sent at one point in time. */
export interface SentTokens {
  readonly atMs: number;
  readonly tokens: number;
}

/**
 * Finds the time windows in which more tokens were sent than allowed.
 *
 * @param sent - tokens sent, in chronological order
 * @param computeAllowed - returns the tokens that may be sent between two times in milliseconds
 * @returns a description of each such window
 */
export function findOverspentWindows(
  sent: readonly SentTokens[],
  computeAllowed: (fromMs: number, toMs: number) => number,
): readonly string[] {
  return sent.flatMap((first, from) => {
    let tokens = 0;
    return sent.slice(from).flatMap((last) => {
      tokens += last.tokens;
      const ms = last.atMs - first.atMs;
      const allowed = computeAllowed(first.atMs, last.atMs);
      return tokens > allowed ? [`${tokens} tokens in ${ms} ms, allowed ${allowed}`] : [];
    });
  });
}
