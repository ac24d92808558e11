import type { Scheduler } from 'fast-check';

import { CallFailure } from '../../src/kernel/call-failure.js';
import { fail, succeed, type Outcome } from '../../src/kernel/outcome.js';
import type { LogFailure } from '../../src/infrastructure/log-failure.js';
import {
  LogService,
  type LogPage,
  type LogQuery,
  type LogRecord,
} from '../../src/infrastructure/log-service.js';

/**
 * Fault of a call. Append: `lost` takes effect but its response is lost, `dropped` times out
 * without effect, `late` times out and may take effect afterwards. Read: `stale` lacks the newest
 * record. `unavailable` fails either call without effect.
 */
export type LogFault = 'none' | 'unavailable' | 'lost' | 'dropped' | 'late' | 'stale';

/** Scheduler steps for which a read without new records waits. */
const EMPTY_READ_STEPS = 5;

/** In-memory log whose calls fail as configured and complete in an order chosen by fast-check. */
export class ScheduledLog extends LogService {
  private readonly streams = new Map<string, LogRecord[]>();

  private calls = 0;

  private constructor(
    private readonly scheduler: Scheduler,
    private readonly faults: readonly LogFault[],
  ) {
    super();
  }

  /**
   * Creates an empty log.
   *
   * @param scheduler - decides the order in which calls take effect and are answered
   * @param faults - faults of the first calls, in order; later calls succeed
   * @returns a new log
   */
  static create(scheduler: Scheduler, faults: readonly LogFault[]): ScheduledLog {
    return new ScheduledLog(scheduler, faults);
  }

  override async append(
    stream: string,
    records: readonly string[],
  ): Promise<Outcome<number, LogFailure>> {
    const fault = this.nextFault();
    await this.scheduler.schedule(Promise.resolve(), 'append');
    if (fault === 'unavailable') return fail(CallFailure.create('unavailable', 'outage'));
    if (fault === 'dropped') return fail(CallFailure.create('unknown', 'timeout'));
    if (fault === 'late') {
      void this.scheduler.schedule(Promise.resolve(), 'late').then(() => this.add(stream, records));
      return fail(CallFailure.create('unknown', 'timeout'));
    }
    const offset = this.add(stream, records);
    await this.scheduler.schedule(Promise.resolve(), 'append answer');
    return fault === 'lost' ? fail(CallFailure.create('unknown', 'lost')) : succeed(offset);
  }

  override async read(query: LogQuery): Promise<Outcome<LogPage, LogFailure>> {
    const fault = this.nextFault();
    await this.scheduler.schedule(Promise.resolve(), 'read');
    if (fault === 'unavailable') return fail(CallFailure.create('unavailable', 'outage'));
    const all = this.streams.get(query.stream) ?? [];
    const visible = fault === 'stale' ? all.slice(0, -1) : all;
    const records = visible.filter(({ offset }) => offset >= query.from);
    for (let step = 0; records.length === 0 && step < EMPTY_READ_STEPS; step += 1) {
      await this.scheduler.schedule(Promise.resolve(), 'read waits');
    }
    return succeed({ records, endOffset: visible.length, earliestOffset: 1 });
  }

  private add(stream: string, records: readonly string[]): number {
    const list = this.streams.get(stream) ?? [];
    this.streams.set(stream, list);
    const first = list.length + 1;
    records.forEach((data) => list.push({ offset: list.length + 1, timestampMs: 0, data }));
    return first;
  }

  private nextFault(): LogFault {
    const fault = this.faults[this.calls] ?? 'none';
    this.calls += 1;
    return fault;
  }
}
