import type { Incarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Outcome } from '../kernel/outcome.js';
import type { LogFailure } from '../infrastructure/log-failure.js';
import type { MemberRecord } from './member-record.js';
import type { MembershipTask } from './membership-task.js';

/** Name of the log stream that holds the member list. */
export const MEMBERSHIP_STREAM = 'membership';

/** Dependencies shared by the parts of the membership. */
export interface MembershipContext {
  readonly kernel: Kernel;
  readonly task: MembershipTask;
  readonly clock: Clock;
  /** Aborted when the service stops; ends all loops. */
  readonly signal: AbortSignal;
}

/**
 * Appends a record to the membership stream.
 *
 * @param context - provides the log
 * @param record - the record
 * @returns its offset, or the reason for the failure
 */
export function appendMemberRecord(
  { kernel }: MembershipContext,
  record: MemberRecord,
): Promise<Outcome<number, LogFailure>> {
  return kernel.find('log').append(MEMBERSHIP_STREAM, [JSON.stringify(record)]);
}

/**
 * Creates the sender field of a peer call from the current incarnation of this VM.
 *
 * @param context - provides the incarnation
 * @returns the sender of the call
 */
export function createSender({ task }: MembershipContext): Incarnation {
  const { vm, incarnation } = task.self();
  return { vm, incarnation };
}

/**
 * Repeats a step until the service stops. The step must handle failures itself, such as a peer that
 * does not answer.
 *
 * @param context - provides the clock and the stop signal
 * @param intervalMs - time between the starts of two steps, in milliseconds; longer if a step takes longer
 * @param step - step to repeat
 * @returns a promise that resolves after the stop
 */
export async function repeat(
  { clock, signal }: MembershipContext,
  intervalMs: number,
  step: () => Promise<void> | void,
): Promise<void> {
  while (!signal.aborted) {
    const startedMs = clock.monotonicMs();
    await step();
    const restMs = Math.max(1, startedMs + intervalMs - clock.monotonicMs());
    if (!signal.aborted) await clock.sleep(restMs, signal);
  }
}

/**
 * Awaits a peer call and discards its error.
 *
 * @param call - the call
 * @returns the answer, or undefined when the call failed
 */
export async function attempt<Value>(call: Promise<Value>): Promise<Value | undefined> {
  return call.catch(() => undefined);
}
