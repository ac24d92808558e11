import type { Incarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Outcome } from '../kernel/outcome.js';
import type { LogFailure } from '../infrastructure/log-failure.js';
import type { MemberRecord } from './member-record.js';
import type { MembershipTask } from './membership-task.js';

/** Stream that holds the member list. */
export const MEMBERSHIP_STREAM = 'membership';

/** What the parts of the membership share. */
export interface MembershipContext {
  readonly kernel: Kernel;
  readonly task: MembershipTask;
  readonly clock: Clock;
  /** Ends all loops when the service stops. */
  readonly signal: AbortSignal;
}

/**
 * Appends a record to the stream of members.
 *
 * @param context - finds the log
 * @param record - the record
 * @returns its offset, or why the append failed
 */
export function appendMemberRecord(
  { kernel }: MembershipContext,
  record: MemberRecord,
): Promise<Outcome<number, LogFailure>> {
  return kernel.find('log').append(MEMBERSHIP_STREAM, [JSON.stringify(record)]);
}

/**
 * Names this VM's present incarnation in a call.
 *
 * @param context - owns the incarnation
 * @returns the sender of the call
 */
export function createSender({ task }: MembershipContext): Incarnation {
  const { vm, incarnation } = task.self();
  return { vm, incarnation };
}

/**
 * Repeats a step until the service stops. A step that fails because a peer does not answer is
 * expected to handle that itself.
 *
 * @param context - clock and stop signal
 * @param everyMs - wait after each step, in milliseconds
 * @param step - what to repeat
 * @returns a promise that resolves after the stop
 */
export async function repeat(
  { clock, signal }: MembershipContext,
  everyMs: number,
  step: () => Promise<void> | void,
): Promise<void> {
  while (!signal.aborted) {
    const startedMs = clock.monotonicMs();
    await step();
    const restMs = Math.max(1, startedMs + everyMs - clock.monotonicMs());
    if (!signal.aborted) await clock.sleep(restMs, signal);
  }
}

/**
 * Takes the value of a peer call.
 *
 * @param call - the call
 * @returns the answer, or undefined when there was none
 */
export async function attempt<Value>(call: Promise<Value>): Promise<Value | undefined> {
  return call.catch(() => undefined);
}
