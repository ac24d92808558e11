import { EventEmitter, once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';

/** A record as it is sent to readers. */
export interface StoredRecord {
  readonly offset: number;
  readonly timestampMs: number;
  readonly data: string;
}

/** Parameters of the log that `POST /state` can change at run time. */
export interface LogState {
  retentionMs: number;
  appendsPerSecond: number;
  /** Minimum age of a record before the replica shows it, in milliseconds. */
  replicaLag: number;
}

/** Records of a stream that are visible at one listener. */
export interface StreamPage {
  readonly records: readonly StoredRecord[];
  readonly endOffset: number;
  readonly earliestOffset: number;
}

interface Stream {
  records: StoredRecord[];
  endOffset: number;
}

/** Polling interval of a waiting read on the replica, where records become visible by their age. */
const REPLICA_POLL_INTERVAL_MS = 10;

/** Keeps streams in memory and drops records that exceed the retention period. */
export class StreamStore {
  private readonly streams = new Map<string, Stream>();

  private readonly appendEvents = new EventEmitter().setMaxListeners(0);

  private constructor(private readonly state: LogState) {}

  /**
   * Creates an empty store.
   *
   * @param state - retention and replica lag; changes take effect at the next call
   * @returns a new store
   */
  static create(state: LogState): StreamStore {
    return new StreamStore(state);
  }

  /**
   * Appends records.
   *
   * @param name - name of the stream
   * @param data - content of each record
   * @returns the offset of the first record
   */
  append(name: string, data: readonly string[]): number {
    const stream = this.streams.get(name) ?? { records: [], endOffset: 0 };
    this.streams.set(name, stream);
    this.dropExpired(stream);
    const firstOffset = stream.endOffset + 1;
    const timestampMs = Date.now();
    data.forEach((item, index) => {
      stream.records.push({ offset: firstOffset + index, timestampMs, data: item });
    });
    stream.endOffset += data.length;
    this.appendEvents.emit('append');
    return firstOffset;
  }

  /**
   * Reads the records that are visible at present.
   *
   * @param name - name of the stream
   * @param from - first offset to read
   * @param limit - maximum number of records
   * @param replica - whether only records older than the replica lag are visible
   * @returns the records and the visible range of offsets
   */
  read(name: string, from: number, limit: number, replica: boolean): StreamPage {
    const stream = this.streams.get(name);
    if (!stream) return { records: [], endOffset: 0, earliestOffset: 1 };
    this.dropExpired(stream);
    const { records, endOffset } = stream;
    const earliestOffset = records[0]?.offset ?? endOffset + 1;
    const visible = replica ? this.countVisibleOnReplica(records) : records.length;
    const start = Math.max(0, from - earliestOffset);
    return {
      records: records.slice(start, Math.min(visible, start + limit)),
      endOffset: earliestOffset + visible - 1,
      earliestOffset,
    };
  }

  /**
   * Waits for an append; on the replica, at most one polling interval.
   *
   * @param replica - whether the reader waits on the replica
   * @param waitMs - maximum wait
   * @param signal - ends the wait early
   * @returns a promise that resolves at the end of the wait
   */
  async waitForRecords(replica: boolean, waitMs: number, signal: AbortSignal): Promise<void> {
    const stopped = new AbortController();
    const eitherSignal = AbortSignal.any([signal, stopped.signal]);
    const timer = delay(replica ? Math.min(waitMs, REPLICA_POLL_INTERVAL_MS) : waitMs, undefined, {
      signal: eitherSignal,
    });
    const event = once(this.appendEvents, 'append', { signal: eitherSignal });
    const waits = [timer, event].map((wait) => wait.catch(() => undefined));
    await Promise.race(waits);
    stopped.abort();
  }

  /**
   * Lists all records in the store.
   *
   * @returns the records of each stream
   */
  list(): Record<string, readonly StoredRecord[]> {
    return Object.fromEntries([...this.streams].map(([name, { records }]) => [name, records]));
  }

  private countVisibleOnReplica(records: readonly StoredRecord[]): number {
    const maxTimestampMs = Date.now() - this.state.replicaLag;
    return records.findLastIndex((record) => record.timestampMs <= maxTimestampMs) + 1;
  }

  private dropExpired({ records }: Stream): void {
    const minTimestampMs = Date.now() - this.state.retentionMs;
    if ((records[0]?.timestampMs ?? Infinity) >= minTimestampMs) return;
    const kept = records.findIndex((record) => record.timestampMs >= minTimestampMs);
    records.splice(0, kept < 0 ? records.length : kept);
  }
}
