import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { LogFailure } from './log-failure.js';

/** One record of a stream. */
export interface LogRecord {
  readonly offset: number;
  /** Time of the append on the log service's clock, in milliseconds since the Unix epoch. */
  readonly timestampMs: number;
  readonly data: string;
}

/** Consecutive records of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset of the newest record; 0 when there is none. */
  readonly endOffset: number;
  /** Offset of the oldest record that is still kept. */
  readonly earliestOffset: number;
}

/** Parameters of a read. */
export interface LogQuery {
  readonly stream: string;
  /** First offset to read; the first record of a stream has offset 1. */
  readonly from: number;
  /** Maximum number of records in the page. */
  readonly limit: number;
  /** Maximum time to wait for a record at or after `from`, in milliseconds. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** The platform's append-only log service, see docs/interfaces.md. */
export abstract class LogService extends Service {
  /**
   * Appends records in one call.
   *
   * @param stream - name of the stream
   * @param records - the data of each record
   * @returns the offset of the first record, or why the append failed
   */
  abstract append(stream: string, records: readonly string[]): Promise<Outcome<number, LogFailure>>;

  /**
   * Reads records in the order of their offsets.
   *
   * @param query - stream, range and maximum wait
   * @returns a page, possibly empty, or why the read failed
   */
  abstract read(query: LogQuery): Promise<Outcome<LogPage, LogFailure>>;
}

declare module '../kernel/service.js' {
  interface Services {
    log: LogService;
  }
}
