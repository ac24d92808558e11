import { saveMembers } from './member-fold.js';
import type { MemberStream } from './member-stream.js';
import { appendMemberRecord, type MembershipContext, repeat } from './membership-context.js';

/** Part of the interval over which the members spread their snapshots. */
const SPREAD = 0.2;

/** Appends snapshots, so that the log's retention loses no member. */
export class MemberSnapshots {
  private readonly startedMs: number;

  private constructor(
    private readonly context: MembershipContext,
    private readonly stream: MemberStream,
    private readonly everyMs: number,
  ) {
    this.startedMs = context.clock.wallMs();
  }

  /**
   * Creates the snapshots of one VM.
   *
   * @param context - owns the state and finds the log
   * @param stream - tells whether the log can be reached
   * @param everyMs - age at which the newest snapshot is replaced, in milliseconds
   * @returns a new object
   */
  static create(
    context: MembershipContext,
    stream: MemberStream,
    everyMs: number,
  ): MemberSnapshots {
    return new MemberSnapshots(context, stream, everyMs);
  }

  /**
   * Appends snapshots when they are due, until the service stops.
   *
   * @returns a promise that resolves after the stop
   */
  async keep(): Promise<void> {
    await repeat(this.context, this.everyMs / 10, () => this.check());
  }

  private async check(): Promise<void> {
    if (!this.isDue()) return;
    const { clock, signal, task } = this.context;
    await clock.sleep(Math.random() * SPREAD * this.everyMs, signal);
    if (signal.aborted || !this.isDue()) return;
    const state = task.members();
    await appendMemberRecord(this.context, {
      format: 1,
      kind: 'snapshot',
      upTo: state.offset,
      state: saveMembers(state),
    });
  }

  private isDue(): boolean {
    const { clock, task } = this.context;
    if (!task.joined() || !this.stream.logReachable()) return false;
    const newestMs = task.members().snapshotMs || this.startedMs;
    return clock.wallMs() - newestMs >= this.everyMs;
  }
}
