import type { SoakReport } from './run.js';

const MAX_VIOLATIONS_SHOWN = 5;

/**
 * Checks whether any invariant was violated.
 *
 * @param report - report of a run
 * @returns true when there is at least one violation
 */
export function hasViolations({ results }: SoakReport): boolean {
  return results.some(({ violations }) => violations.length > 0);
}

/**
 * Formats a report as text: counts, the table of invariants and, when one was violated, the schedule.
 *
 * @param report - report of a run
 * @returns lines separated by newlines
 */
export function formatReport(report: SoakReport): string {
  const { results, journal } = report;
  const rows = results.map(
    ({ invariant, checked, violations }) =>
      `${invariant.padEnd(42)} ${String(checked).padStart(8)} ${String(violations.length).padStart(7)}`,
  );
  const details = results.flatMap(({ invariant, violations }) =>
    violations.slice(0, MAX_VIOLATIONS_SHOWN).map((line) => `broken: ${invariant}: ${line}`),
  );
  const { completions, answers, ordersAnswered, ordersUnanswered, withdrawals, outages } = journal;
  const whole = completions.filter(({ answer }) => answer?.complete).length;
  return [
    `completions ${completions.length}, whole ${whole}, service answers ${answers.length}`,
    `orders answered ${ordersAnswered}, given up ${ordersUnanswered}`,
    `broken service calls ${journal.failedServiceCalls}`,
    `refusals ${countCodes(journal)}`,
    `withdrawals ${withdrawals.length}, daemon deaths ${outages.length}`,
    `${'invariant'.padEnd(42)}  checked  broken`,
    ...rows,
    ...details,
    ...(hasViolations(report) ? ['schedule:', ...journal.events] : []),
  ].join('\n');
}

function countCodes({ completions, answers }: SoakReport['journal']): string {
  const codes = [...answers, ...completions.map(({ answer }) => answer)].map((one) => one?.code);
  const counts = new Map<string, number>();
  codes.forEach((code) => code && counts.set(code, (counts.get(code) ?? 0) + 1));
  return [...counts].map(([code, count]) => `${code} ${count}`).join(', ');
}
