import { parseMemberRecord } from '../../../src/membership/member-record.js';
import type { LogRecord } from '../../../src/platform/log-service.js';

/** The records that all VMs share, with the faults of the log service. */
export class FakeLogStore {
  readonly records: LogRecord[] = [];

  out = false;

  /** Records that a lagging replica leaves out at the end. */
  lag = 0;

  earliest = 1;

  appends = 0;

  static create(): FakeLogStore {
    return new FakeLogStore();
  }

  /** Lists what was appended, parsed. */
  list() {
    return this.records.flatMap(({ data }) => parseMemberRecord(data) ?? []);
  }
}
