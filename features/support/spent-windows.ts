/** Tokens that were sent at one time. */
export interface SentTokens {
  readonly atMs: number;
  readonly tokens: number;
}

/**
 * Finds the windows in which more tokens were sent than allowed.
 *
 * @param sent - in the order of time
 * @param computeAllowed - tokens that may be sent from one time to another, both in milliseconds
 * @returns a line for each window
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
