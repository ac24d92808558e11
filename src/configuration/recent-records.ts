import type { LogRecord } from '../infrastructure/log-service.js';

const MAX_RECORDS = 2048;
const MAX_CHARACTERS = 4_194_304;

/** Keeps a response to a peer well below the message size limit of the peer protocol. */
const MAX_RESPONSE_CHARACTERS = 1_048_576;

/**
 * Bounded buffer of the newest folded records, without gaps, for peers that cannot reach the log.
 */
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
   * Adds records that follow the newest one. The oldest records are dropped when a limit is
   * exceeded.
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

  /** Removes all records, after a snapshot has replaced the fold and left a gap. */
  clear(): void {
    this.records.length = 0;
    this.characters = 0;
  }

  /**
   * Reads records.
   *
   * @param from - first offset
   * @param limit - maximum number of records
   * @returns the records from that offset on, as many as fit into a response; empty when the record
   *   at that offset is no longer kept
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
