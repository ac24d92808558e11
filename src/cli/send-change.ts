import type { CommandContext } from './command.js';
import { type ExitCode, exitCodeOf } from './exit-code.js';

/** Verdict on a change, in JSON values. */
export interface ChangeResult {
  readonly subject: string;
  readonly verdict: string;
  readonly version: number;
  readonly reason: string;
}

/**
 * Sends a change without printing the verdict.
 *
 * @param context - context of the command
 * @param change - the change as JSON values; the daemon validates it
 * @param subject - name of the changed object in the output
 * @param base - version of the subject that the edit is based on; undefined means the current one
 * @returns the verdict
 */
export async function sendChange(
  context: CommandContext,
  change: object,
  subject: string,
  base = context.base,
): Promise<ChangeResult> {
  const response = await context.client.change({
    changeJson: JSON.stringify(change),
    base: BigInt(base ?? -1),
    operator: context.operator,
  });
  const { verdict, reason } = response;
  return { subject, verdict, version: Number(response.version), reason };
}

/**
 * Sends a change and prints the verdict.
 *
 * @param context - context of the command
 * @param change - the change as JSON values
 * @param subject - name of the changed object in the output
 * @param base - version of the subject that the edit is based on; undefined means the current one
 * @returns the exit code for the verdict
 */
export async function sendAndPrintChange(
  context: CommandContext,
  change: object,
  subject: string,
  base = context.base,
): Promise<ExitCode> {
  const sent = await sendChange(context, change, subject, base);
  context.print([{ ...sent }], sent);
  return exitCodeOf(sent.verdict);
}
