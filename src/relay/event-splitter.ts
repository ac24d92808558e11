const EVENT_END = '\n\n';

/** Splits a stream of server-sent events so that only complete events are forwarded. */
export class EventSplitter {
  private partial: Buffer = Buffer.alloc(0);

  private lastId: string | undefined;

  /**
   * Creates a splitter.
   *
   * @returns a splitter at the start of a stream
   */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Id of the last complete event that had one. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /**
   * Accepts a chunk of the stream.
   *
   * @param chunk - bytes of any length
   * @returns all events that are complete now; empty when there are none
   */
  push(chunk: Buffer): Buffer {
    const bytes = this.partial.length === 0 ? chunk : Buffer.concat([this.partial, chunk]);
    const end = bytes.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.partial = bytes;
      return Buffer.alloc(0);
    }
    const complete = bytes.subarray(0, end + EVENT_END.length);
    this.partial = bytes.subarray(end + EVENT_END.length);
    this.recordLastId(complete);
    return complete;
  }

  /**
   * Returns the remaining bytes at the end of the stream.
   *
   * @returns bytes after the last complete event
   */
  flush(): Buffer {
    const { partial } = this;
    this.partial = Buffer.alloc(0);
    return partial;
  }

  /** Drops an incomplete event before the stream is resumed from another server. */
  dropPartial(): void {
    this.partial = Buffer.alloc(0);
  }

  private recordLastId(events: Buffer): void {
    const at = Math.max(events.lastIndexOf('\nid:') + 1, events.indexOf('id:') === 0 ? 0 : -1);
    if (at < 0 || events.toString('latin1', at, at + 3) !== 'id:') return;
    const lineEnd = events.indexOf('\n', at);
    this.lastId = events.toString('utf8', at + 3, lineEnd).trim();
  }
}
