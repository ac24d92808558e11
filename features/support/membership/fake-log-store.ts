import { parseMemberRecord } from '../../../src/membership/member-record.js';
import type { LogRecord } from '../../../src/infrastructure/log-service.js';

/** The records that all VMs share, with the faults of the log service. */
export class FakeLogStore {
  readonly records: LogRecord[] = [];

  out = false;

  /** Records that a lagging replica leaves out at the end. */
  lag = 0;

  earliest = 1;

  appends = 0;

  /** Offset up to which each reader has asked for what follows. */
  readonly progress = new Map<object, number>();

  static create(): FakeLogStore {
    return new FakeLogStore();
  }

  /** Tells whether all readers have read the record at an offset. */
  isRead(offset: number): boolean {
    return [...this.progress.values()].every((read) => read >= offset);
  }

  /** Lists what was appended, parsed. */
  listParsed() {
    return this.records.flatMap(({ data }) => parseMemberRecord(data) ?? []);
  }
}
