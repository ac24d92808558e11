import type { RecordedAttempt } from './engine-record.js';

/** Tokens that one attempt ran, counted at its start. */
export interface AttemptTokens {
  readonly startedMs: number;
  readonly tokens: number;
}

/**
 * Lists what the engines ran for a team. The records that two engines have of one attempt are
 * joined; each re-run has an attempt id of its own and counts.
 *
 * @param attempts - what all engines recorded
 * @param team - name of the team
 * @returns one entry for each attempt that ran a token
 */
export function listAttemptTokens(
  attempts: readonly RecordedAttempt[],
  team: string,
): AttemptTokens[] {
  const byAttempt = new Map<string, { startedMs: number; prompt: number; output: number }>();
  attempts
    .filter((attempt) => attempt.team === team)
    .forEach(({ attemptId, startedMs, promptTokens, completionTokens }) => {
      const known = byAttempt.get(attemptId) ?? { startedMs: Infinity, prompt: 0, output: 0 };
      byAttempt.set(attemptId, {
        startedMs: Math.min(known.startedMs, startedMs),
        prompt: Math.max(known.prompt, promptTokens),
        output: Math.max(known.output, completionTokens),
      });
    });
  return [...byAttempt.values()]
    .map(({ startedMs, prompt, output }) => ({ startedMs, tokens: prompt + output }))
    .filter(({ tokens }) => tokens > 0);
}
