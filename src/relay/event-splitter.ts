const EVENT_END = '\n\n';

/** Splits a stream of server-sent events so that only whole events are passed on. */
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

  /** Id of the last whole event that had one. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /**
   * Takes a piece of the stream.
   *
   * @param piece - bytes of any length
   * @returns the whole events that it completes; empty when there are none
   */
  push(piece: Buffer): Buffer {
    const bytes = this.partial.length === 0 ? piece : Buffer.concat([this.partial, piece]);
    const end = bytes.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.partial = bytes;
      return Buffer.alloc(0);
    }
    const whole = bytes.subarray(0, end + EVENT_END.length);
    this.partial = bytes.subarray(end + EVENT_END.length);
    this.recordLastId(whole);
    return whole;
  }

  /**
   * Takes what is left at the end of the stream.
   *
   * @returns bytes after the last whole event
   */
  flush(): Buffer {
    const { partial } = this;
    this.partial = Buffer.alloc(0);
    return partial;
  }

  /** Drops a partial event, before the stream is continued from another server. */
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
