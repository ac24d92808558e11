import type { RecordedAttempt } from './engine-record.js';

/** Prompt and output tokens of one attempt, attributed to its start. */
export interface AttemptTokens {
  readonly startedMs: number;
  readonly tokens: number;
}

/**
 * Lists the tokens that the engines ran for a team. The records of one attempt on two engines are
 * merged; each re-run has its own attempt id and is counted separately.
 *
 * @param attempts - records of all engines
 * @param team - name of the team
 * @returns one entry for each attempt that ran at least one token
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
