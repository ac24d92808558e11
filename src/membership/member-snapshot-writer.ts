import { createMemberSnapshot } from './member-state.js';
import type { MemberLogReader } from './member-log-reader.js';
import { appendMemberRecord, type MembershipContext, repeat } from './membership-context.js';

/** Fraction of the interval used as random delay, so that members do not append snapshots at the same time. */
const JITTER_FRACTION = 0.2;

/** Appends snapshots of the member state, so that no member is lost when the log drops old records. */
export class MemberSnapshotWriter {
  private readonly startedMs: number;

  private constructor(
    private readonly context: MembershipContext,
    private readonly logReader: MemberLogReader,
    private readonly intervalMs: number,
  ) {
    this.startedMs = context.clock.wallMs();
  }

  /**
   * Creates a writer.
   *
   * @param context - provides the member state and the log
   * @param logReader - reports whether the log is reachable
   * @param intervalMs - age at which the newest snapshot is replaced, in milliseconds
   * @returns a writer that does not run yet
   */
  static create(
    context: MembershipContext,
    logReader: MemberLogReader,
    intervalMs: number,
  ): MemberSnapshotWriter {
    return new MemberSnapshotWriter(context, logReader, intervalMs);
  }

  /**
   * Appends snapshots when they are due, until the service stops.
   *
   * @returns a promise that resolves after the stop
   */
  async run(): Promise<void> {
    await repeat(this.context, this.intervalMs / 10, () => this.check());
  }

  private async check(): Promise<void> {
    if (!this.isDue()) return;
    const { clock, signal, task } = this.context;
    await clock.sleep(Math.random() * JITTER_FRACTION * this.intervalMs, signal);
    if (signal.aborted || !this.isDue()) return;
    const state = task.members();
    await appendMemberRecord(this.context, {
      format: 1,
      kind: 'snapshot',
      upTo: state.offset,
      state: createMemberSnapshot(state),
    });
  }

  private isDue(): boolean {
    const { clock, task } = this.context;
    if (!task.joined() || !this.logReader.isLogReachable()) return false;
    const newestMs = task.members().snapshotMs || this.startedMs;
    return clock.wallMs() - newestMs >= this.intervalMs;
  }
}
