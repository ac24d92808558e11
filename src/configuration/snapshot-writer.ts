import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { BackgroundLoop } from './background-loop.js';
import { serializeFold } from './fold-json.js';
import type { FoldTask } from './fold-task.js';
import { encodeSnapshot } from './record.js';
import { CONFIGURATION_STREAM } from './stream-name.js';

const CHECKS_PER_PERIOD = 10;
const MAX_CHECK_INTERVAL_MS = 60_000;

/**
 * Maximum random delay as a fraction of the period. It spreads the daemons, so that one appends a
 * snapshot and the others see it before they would append their own.
 */
const JITTER_FRACTION = 0.25;

/**
 * Appends a snapshot when the newest one has become too old, before retention drops the records
 * that the snapshot replaces.
 */
export class SnapshotWriter extends BackgroundLoop {
  private startedMs = 0;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly task: FoldTask,
    private readonly everyMs: number,
  ) {
    super();
  }

  /**
   * Creates a writer.
   *
   * @param kernel - registry for looking up the log
   * @param clock - clock used for ages and delays
   * @param task - owner of the fold
   * @param everyMs - age of the newest snapshot at which the next one is due, in milliseconds
   * @returns a new writer
   */
  static create(kernel: Kernel, clock: Clock, task: FoldTask, everyMs: number): SnapshotWriter {
    return new SnapshotWriter(kernel, clock, task, everyMs);
  }

  protected override async run(signal: AbortSignal): Promise<void> {
    this.startedMs = this.clock.wallMs();
    while (!signal.aborted) {
      await this.clock.sleep(
        Math.min(MAX_CHECK_INTERVAL_MS, this.everyMs / CHECKS_PER_PERIOD),
        signal,
      );
      if (!this.isDue()) continue;
      await this.clock.sleep(Math.random() * this.everyMs * JITTER_FRACTION, signal);
      if (!signal.aborted && this.isDue()) await this.appendSnapshot();
    }
  }

  private isDue(): boolean {
    const newestMs = this.task.newestSnapshotMs ?? this.startedMs;
    return this.task.version > 0 && this.clock.wallMs() - newestMs >= this.everyMs;
  }

  private async appendSnapshot(): Promise<void> {
    const fold = this.task.completeFold;
    if (!fold) return;
    const records = encodeSnapshot(fold.state.version, serializeFold(fold));
    const outcome = await this.kernel.find('log').append(CONFIGURATION_STREAM, records);
    if (outcome.kind === 'ok') return;
    const { reason } = outcome.failure;
    this.kernel.find('logs').warn('configuration snapshot was not appended', { reason });
  }
}
