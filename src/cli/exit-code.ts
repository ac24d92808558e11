/** Exit codes of cuminsparctl; part of its documented interface. */
export const EXIT_CODE = {
  done: 0,
  failed: 1,
  usage: 2,
  stale: 3,
  invalid: 4,
  unreachable: 5,
  notInForce: 6,
} as const;

/** One of the documented exit codes. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Description of the exit codes in `--help`. */
export const EXIT_CODE_HELP = [
  'Exit codes:',
  '  0  done',
  '  1  failed, or the outcome is unknown',
  '  2  wrong usage',
  '  3  rejected as stale: someone else changed it first',
  '  4  rejected as invalid',
  '  5  the daemon cannot be reached',
  '  6  not in force on every member in time',
].join('\n');

/**
 * Maps a verdict to its exit code.
 *
 * @param verdict - verdict of the daemon on a change
 * @returns the exit code
 */
export function exitCodeOf(verdict: string): ExitCode {
  if (verdict === 'accepted') return EXIT_CODE.done;
  if (verdict === 'stale') return EXIT_CODE.stale;
  if (verdict === 'invalid') return EXIT_CODE.invalid;
  return EXIT_CODE.failed;
}
