import type { LogRecord } from '../infrastructure/log-service.js';

const MAX_RECORDS = 2048;
const MAX_CHARACTERS = 4_194_304;
/** Keeps one answer to a peer well under the message limit of the peer protocol. */
const MAX_RESPONSE_CHARACTERS = 1_048_576;

/** The newest folded records, without gaps, for peers that cannot reach the log. */
export class RecentRecords {
  private readonly records: LogRecord[] = [];

  private characters = 0;

  /**
   * Creates an empty buffer.
   *
   * @returns a new buffer
   */
  static create(): RecentRecords {
    return new RecentRecords();
  }

  /**
   * Adds records that follow the newest one; the oldest ones are dropped beyond the limits.
   *
   * @param records - records in ascending order
   */
  add(records: readonly LogRecord[]): void {
    records.forEach((record) => {
      this.records.push(record);
      this.characters += record.data.length;
    });
    while (this.records.length > MAX_RECORDS || this.characters > MAX_CHARACTERS) {
      this.characters -= this.records.shift()?.data.length ?? 0;
    }
  }

  /** Forgets all records, after a snapshot that does not follow them. */
  clear(): void {
    this.records.length = 0;
    this.characters = 0;
  }

  /**
   * Reads records.
   *
   * @param from - first offset
   * @param limit - most records
   * @returns the records from that offset; empty when that offset is not kept any more
   */
  read(from: number, limit: number): readonly LogRecord[] {
    const first = this.records[0]?.offset ?? Infinity;
    if (from < first) return [];
    const wanted = this.records.slice(from - first, from - first + limit);
    let characters = 0;
    return wanted.filter((record, index) => {
      characters += record.data.length;
      return index === 0 || characters <= MAX_RESPONSE_CHARACTERS;
    });
  }
}
