import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { Clock } from '../kernel/clock.js';
import type { LogFailure } from '../infrastructure/log-failure.js';
import type { LogService } from '../infrastructure/log-service.js';
import { ExecutionLedger, type LedgerDecision } from './execution-ledger.js';
import { parseExecutionRecord, type ExecutionRecord } from './execution-record.js';

/** Time for which records are batched into one append, in milliseconds. */
const BATCH_DELAY_MS = 10;

/** Maximum time for which one read waits for new records, in milliseconds. */
const MAX_READ_WAIT_MS = 500;

const PAGE_SIZE = 1000;

/** Delay before a failed read is retried, in milliseconds. */
const READ_RETRY_DELAY_MS = 50;

interface QueuedRecord {
  readonly record: ExecutionRecord;
  readonly done: (result: Outcome<void, LogFailure>) => void;
}

/** Appends to one `executions` stream in batches, and applies the records that it reads to a ledger. */
export class PartitionLog {
  private readonly ledger = ExecutionLedger.create();

  private queue: QueuedRecord[] = [];

  private flushing = false;

  private nextOffset = 1;

  private readInProgress: Promise<void> | undefined;

  private constructor(
    private readonly stream: string,
    private readonly log: LogService,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a reader and writer of a stream; it reads from the oldest record on.
   *
   * @param stream - name of the stream
   * @param log - the log service
   * @param clock - source of time
   * @returns a new partition log
   */
  static create(stream: string, log: LogService, clock: Clock): PartitionLog {
    return new PartitionLog(stream, log, clock);
  }

  /**
   * Appends a record with the next batch.
   *
   * @param record - the record
   * @returns nothing, or why the append failed
   */
  append(record: ExecutionRecord): Promise<Outcome<void, LogFailure>> {
    return new Promise((resolve) => {
      this.queue.push({ record, done: resolve });
      if (!this.flushing) void this.flush();
    });
  }

  /**
   * Reads until the decision on an attempt is one of those wanted, or the deadline passes.
   *
   * @param key - hash of scope and idempotency key
   * @param attemptId - the attempt
   * @param wanted - checks whether a decision ends the wait
   * @param deadlineMs - monotonic time, in milliseconds
   * @param signal - ends the wait early
   * @returns the last decision
   */
  async readUntil(
    key: string,
    attemptId: string,
    wanted: (decision: LedgerDecision) => boolean,
    deadlineMs: number,
    signal?: AbortSignal,
  ): Promise<LedgerDecision> {
    let decision = this.ledger.decide(key, attemptId);
    while (!wanted(decision) && this.clock.monotonicMs() < deadlineMs && !signal?.aborted) {
      const remainingMs = deadlineMs - this.clock.monotonicMs();
      await Promise.race([this.readOnce(), this.clock.sleep(remainingMs, signal)]);
      decision = this.ledger.decide(key, attemptId);
    }
    return decision;
  }

  /**
   * Evicts idempotency keys that are so old that a request with one is refused as expired.
   *
   * @param beforeMs - idempotency keys issued before this time are evicted, in milliseconds since the
   *   Unix epoch
   */
  evictExpired(beforeMs: number): void {
    this.ledger.evictExpired(beforeMs);
  }

  private async flush(): Promise<void> {
    this.flushing = true;
    while (this.queue.length > 0) {
      await this.clock.sleep(BATCH_DELAY_MS);
      const batch = this.queue;
      this.queue = [];
      const result = await this.log.append(
        this.stream,
        batch.map(({ record }) => JSON.stringify(record)),
      );
      const outcome = result.kind === 'ok' ? succeed(undefined) : fail(result.failure);
      batch.forEach(({ done }) => done(outcome));
    }
    this.flushing = false;
  }

  private readOnce(): Promise<void> {
    this.readInProgress ??= this.readPage().finally(() => {
      this.readInProgress = undefined;
    });
    return this.readInProgress;
  }

  private async readPage(): Promise<void> {
    const page = await this.log.read({
      stream: this.stream,
      from: this.nextOffset,
      limit: PAGE_SIZE,
      waitMs: MAX_READ_WAIT_MS,
    });
    if (page.kind === 'failed') {
      await this.clock.sleep(READ_RETRY_DELAY_MS);
      return;
    }
    page.value.records
      .filter((record) => record.offset >= this.nextOffset)
      .forEach((record) => {
        this.nextOffset = record.offset + 1;
        const parsed = parseExecutionRecord(record.data);
        if (parsed) this.ledger.apply(parsed);
      });
  }
}
