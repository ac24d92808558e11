import type { AnswerHead } from './relay-request.js';

const EVENT_END = '\n\n';

/** Largest accepted event, in bytes; engines may put many tokens into one event. */
const MAX_EVENT_BYTES = 1_048_576;

const NOTHING = Buffer.alloc(0);

/** Splits a stream of server-sent events so that only complete events are forwarded. */
export class EventSplitter {
  /** Chunks after the last complete event. */
  private partial: Buffer[] = [];

  private partialBytes = 0;

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

  /** True when the incomplete event is too large, so that the stream cannot be a sound one. */
  get isOversized(): boolean {
    return this.partialBytes > MAX_EVENT_BYTES;
  }

  /** True when the bytes so far end inside an event; blank lines at the end are none. */
  get endsInsideEvent(): boolean {
    return this.partial.some((chunk) => /\S/.test(chunk.toString('latin1')));
  }

  /**
   * Accepts a chunk of the stream.
   *
   * @param chunk - bytes of any length
   * @returns all events that are complete now; empty when there are none
   */
  push(chunk: Buffer): Buffer {
    if (!this.endsEvent(chunk)) {
      this.keep(chunk);
      return NOTHING;
    }
    const bytes = this.partial.length === 0 ? chunk : Buffer.concat([...this.partial, chunk]);
    const end = bytes.lastIndexOf(EVENT_END) + EVENT_END.length;
    const complete = bytes.subarray(0, end);
    this.dropPartial();
    if (end < bytes.length) this.keep(bytes.subarray(end));
    this.recordLastId(complete);
    return complete;
  }

  /**
   * Returns the remaining bytes at the end of the stream.
   *
   * @returns bytes after the last complete event
   */
  flush(): Buffer {
    const rest = Buffer.concat(this.partial);
    this.dropPartial();
    return rest;
  }

  /** Drops an incomplete event before the stream is resumed from another server. */
  dropPartial(): void {
    this.partial = [];
    this.partialBytes = 0;
  }

  /** Returns whether a chunk completes an event, whose end may have begun in the previous chunk. */
  private endsEvent(chunk: Buffer): boolean {
    const isSplitEnd = this.partial.at(-1)?.at(-1) === 0x0a && chunk[0] === 0x0a;
    return isSplitEnd || chunk.includes(EVENT_END);
  }

  private keep(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.partial.push(chunk);
    this.partialBytes += chunk.length;
  }

  private recordLastId(events: Buffer): void {
    const at = Math.max(events.lastIndexOf('\nid:') + 1, events.indexOf('id:') === 0 ? 0 : -1);
    if (at < 0 || events.toString('latin1', at, at + 3) !== 'id:') return;
    const lineEnd = events.indexOf('\n', at);
    this.lastId = events.toString('utf8', at + 3, lineEnd).trim();
  }
}

/**
 * Returns whether events carry data. Comments do not: a server in trouble may send them for ever.
 *
 * @param events - complete events
 * @returns true when at least one has a data field
 */
export function carriesData(events: Buffer): boolean {
  return events.subarray(0, 5).toString('latin1') === 'data:' || events.includes('\ndata:');
}

/**
 * Returns whether an answer is a stream of events; without a content type it is taken for one.
 *
 * @param head - status and headers of the answer
 * @returns false when the answer states another content type
 */
export function isEventStream({ headers }: AnswerHead): boolean {
  const at = headers.findIndex(
    (name, index) => index % 2 === 0 && name.toLowerCase() === 'content-type',
  );
  return at < 0 || headers[at + 1]!.toLowerCase().startsWith('text/event-stream');
}
