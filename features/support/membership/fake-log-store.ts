import { parseMemberRecord } from '../../../src/membership/member-record.js';
import type { LogRecord } from '../../../src/infrastructure/log-service.js';

/** Records of the log that all VMs share, with injectable faults of the log service. */
export class FakeLogStore {
  readonly records: LogRecord[] = [];

  out = false;

  /** Number of newest records that a lagging replica does not have. */
  lag = 0;

  earliest = 1;

  appends = 0;

  /** Offset up to which each reader has read, as shown by its next request. */
  readonly progress = new Map<object, number>();

  static create(): FakeLogStore {
    return new FakeLogStore();
  }

  /** Checks whether all readers have read the record at an offset. */
  isRead(offset: number): boolean {
    return [...this.progress.values()].every((read) => read >= offset);
  }

  /** Lists the appended records that can be parsed. */
  listParsed() {
    return this.records.flatMap(({ data }) => parseMemberRecord(data) ?? []);
  }
}
