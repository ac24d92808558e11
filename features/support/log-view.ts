import type { Outcome } from '../../src/kernel/outcome.js';
import type { LogFailure } from '../../src/infrastructure/log-failure.js';
import { type LogPage, type LogQuery, LogService } from '../../src/infrastructure/log-service.js';
import type { FakeLog } from './fake-log.js';

/** One daemon's access to a shared log; the lag of its reads can be switched off. */
export class LogView extends LogService {
  lagging = true;

  private constructor(private readonly log: FakeLog) {
    super();
  }

  static create(log: FakeLog): LogView {
    return new LogView(log);
  }

  override append(
    stream: string,
    records: readonly string[],
  ): Promise<Outcome<number, LogFailure>> {
    return this.log.append(stream, records);
  }

  override read(query: LogQuery): Promise<Outcome<LogPage, LogFailure>> {
    return this.log.readUpTo(query, () => (this.lagging ? this.log.olderEnd : undefined));
  }
}
