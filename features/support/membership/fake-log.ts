import { setTimeout as delay } from 'node:timers/promises';

import { CallFailure } from '../../../src/kernel/call-failure.js';
import { fail, type Outcome, succeed } from '../../../src/kernel/outcome.js';
import type { LogFailure } from '../../../src/infrastructure/log-failure.js';
import {
  type LogPage,
  type LogQuery,
  LogService,
} from '../../../src/infrastructure/log-service.js';
import type { FakeLogStore } from './fake-log-store.js';
import type { FaultyClock } from './faulty-clock.js';
import { SPEED } from './waits.js';

/** One VM's access to the log. */
export class FakeLog extends LogService {
  cut = false;

  constructor(
    private readonly store: FakeLogStore,
    private readonly clock: FaultyClock,
  ) {
    super();
  }

  override async append(
    _stream: string,
    records: readonly string[],
  ): Promise<Outcome<number, LogFailure>> {
    await this.clock.waitUntilResumed();
    if (this.cut || this.store.out) return fail(CallFailure.create('unavailable', 'out'));
    const first = this.store.records.length + 1;
    this.store.appends += 1;
    records.forEach((data, index) => {
      this.store.records.push({ offset: first + index, timestampMs: this.clock.wallMs(), data });
    });
    return succeed(first);
  }

  override async read({ from, limit, waitMs, signal }: LogQuery) {
    const deadlineMs = performance.now() + waitMs / SPEED;
    for (;;) {
      if (this.cut || this.store.out) return fail(CallFailure.create('unavailable', 'out'));
      this.store.progress.set(this, from - 1);
      const page = this.createPage(from, limit);
      if (page.records.length > 0 || performance.now() > deadlineMs || signal?.aborted) {
        await this.clock.waitUntilResumed();
        return succeed(page);
      }
      await delay(5);
    }
  }

  private createPage(from: number, limit: number): LogPage {
    const { records, lag, earliest } = this.store;
    const kept = records.slice(0, records.length - lag);
    const start = Math.max(from, earliest);
    const page = kept.filter(({ offset }) => offset >= start).slice(0, limit);
    return { records: page, endOffset: kept.length, earliestOffset: earliest };
  }
}
