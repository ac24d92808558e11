import type { Clock } from '../kernel/clock.js';
import type { ExecutionRecord } from './execution-record.js';
import type { PartitionLog } from './partition-log.js';

const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5000;

/** Retries appends of records that must reach the log until the log has accepted them. */
export class PendingRecords {
  private readonly appends = new Set<Promise<void>>();

  private readonly stopped = new AbortController();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an instance without pending appends.
   *
   * @param clock - clock used to wait between retries
   * @returns a new instance
   */
  static create(clock: Clock): PendingRecords {
    return new PendingRecords(clock);
  }

  /**
   * Appends a record in the background. A record that is appended twice has the effect of one.
   *
   * @param partition - partition of the record
   * @param record - the record
   */
  add(partition: PartitionLog, record: ExecutionRecord): void {
    const work = this.appendUntilStored(partition, record);
    this.appends.add(work);
    void work.finally(() => this.appends.delete(work));
  }

  /** Number of records that the log has not accepted. */
  get size(): number {
    return this.appends.size;
  }

  /**
   * Waits until the log has accepted all records, or the time has passed. Then stops the retries.
   *
   * @param timeoutMs - maximum wait, in milliseconds
   */
  async flush(timeoutMs: number): Promise<void> {
    await Promise.race([Promise.allSettled([...this.appends]), this.clock.sleep(timeoutMs)]);
    this.stopped.abort();
  }

  private async appendUntilStored(partition: PartitionLog, record: ExecutionRecord): Promise<void> {
    let retryMs = INITIAL_RETRY_DELAY_MS;
    while (!this.stopped.signal.aborted) {
      const result = await partition.append(record);
      if (result.kind === 'ok') return;
      await this.clock.sleep(retryMs, this.stopped.signal);
      retryMs = Math.min(retryMs * 2, MAX_RETRY_DELAY_MS);
    }
  }
}
