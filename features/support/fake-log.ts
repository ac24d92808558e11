import { CallFailure } from '../../src/kernel/call-failure.js';
import { fail, type Outcome, succeed } from '../../src/kernel/outcome.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import type { LogFailure } from '../../src/infrastructure/log-failure.js';
import {
  type LogPage,
  type LogQuery,
  type LogRecord,
  LogService,
} from '../../src/infrastructure/log-service.js';

const clock = SystemClock.create();

/** An in-memory log with the faults of the platform's log service. */
export class FakeLog extends LogService {
  readonly stored: LogRecord[] = [];

  out = false;

  /** Number of next appends whose answer is lost after they took effect. */
  lostAnswers = 0;

  /** Offset up to which reads return records, as from a lagging replica; undefined for all records. */
  olderEnd: number | undefined;

  earliest = 1;

  appends = 0;

  private waiting: (() => void)[] = [];

  static create(): FakeLog {
    return new FakeLog();
  }

  override async append(
    _stream: string,
    records: readonly string[],
  ): Promise<Outcome<number, LogFailure>> {
    await clock.sleep(1);
    if (this.out) return fail(CallFailure.create('unavailable', 'log outage'));
    this.appends += 1;
    const first = this.stored.length + 1;
    records.forEach((data, index) => {
      this.stored.push({ offset: first + index, timestampMs: clock.wallMs(), data });
    });
    this.waiting.splice(0).forEach((wake) => wake());
    if (this.lostAnswers === 0) return succeed(first);
    this.lostAnswers -= 1;
    return fail(CallFailure.create('unknown', 'answer lost'));
  }

  override read(query: LogQuery): Promise<Outcome<LogPage, LogFailure>> {
    return this.readUpTo(query, () => this.olderEnd);
  }

  /** Reads from a replica that returns records up to an offset; undefined returns all. */
  async readUpTo(
    query: LogQuery,
    end: () => number | undefined,
  ): Promise<Outcome<LogPage, LogFailure>> {
    await clock.sleep(1);
    if (!this.out && this.visible(end()).length < query.from && query.waitMs > 0) {
      const signals = query.signal ? [query.signal] : [];
      const arrival = new AbortController();
      this.waiting.push(() => arrival.abort());
      await clock.sleep(query.waitMs, AbortSignal.any([...signals, arrival.signal]));
    }
    if (this.out) return fail(CallFailure.create('unavailable', 'log outage'));
    const visible = this.visible(end());
    const from = Math.max(query.from, this.earliest);
    return succeed({
      records: visible.filter((record) => record.offset >= from).slice(0, query.limit),
      endOffset: visible.length,
      earliestOffset: this.earliest,
    });
  }

  /** Starts or ends an outage; reads that wait for records end, and fail during an outage. */
  setOut(out: boolean): void {
    this.out = out;
    this.waiting.splice(0).forEach((wake) => wake());
  }

  /** Ends the lag of the replicas. */
  showAll(): void {
    this.olderEnd = undefined;
    this.waiting.splice(0).forEach((wake) => wake());
  }

  private visible(end: number | undefined): readonly LogRecord[] {
    return this.stored.slice(0, end ?? this.stored.length);
  }
}
