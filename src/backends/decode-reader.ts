import { CallFailure } from '../kernel/call-failure.js';
import type { DecodeEvent } from './engine.js';

/** Why an event was dropped: it belongs to another attempt, or its token was already received. */
export type DropReason = 'foreign' | 'duplicate';

const MAX_LINE_CHARS = 1_048_576;

interface RawEvent {
  readonly attemptId?: unknown;
  readonly index?: unknown;
  readonly text?: unknown;
  readonly end?: unknown;
  readonly promptTokens?: unknown;
  readonly completionTokens?: unknown;
}

/** Parses the text of a decode stream into ordered events; performs no I/O. */
export class DecodeReader {
  private buffer = '';

  private done = false;

  private constructor(
    private readonly attemptId: string,
    private nextIndex: number,
    private readonly onDropped: (kind: DropReason) => void,
  ) {}

  /**
   * Creates a reader.
   *
   * @param attemptId - attempt of the stream; events of other attempts are dropped
   * @param fromIndex - index of the first token requested
   * @param onDropped - called for each dropped event
   * @returns a new reader
   */
  static create(
    attemptId: string,
    fromIndex: number,
    onDropped: (kind: DropReason) => void,
  ): DecodeReader {
    return new DecodeReader(attemptId, fromIndex, onDropped);
  }

  /** True after an `end` or `failed` event. */
  get ended(): boolean {
    return this.done;
  }

  /**
   * Parses the next chunk of the stream.
   *
   * @param text - text of the chunk
   * @returns the events that the chunk completes
   */
  read(text: string): readonly DecodeEvent[] {
    const lines = (this.buffer + text).split('\n');
    this.buffer = lines.pop() ?? '';
    const events = lines.flatMap((line) => this.readLine(line));
    if (this.buffer.length > MAX_LINE_CHARS)
      events.push(...this.fail('decode stream: a line exceeds the maximum length'));
    return events;
  }

  /**
   * Handles the end of the stream.
   *
   * @returns a failure when the end marker has not been received
   */
  close(): readonly DecodeEvent[] {
    return this.fail('decode stream closed without an end marker');
  }

  private readLine(line: string): DecodeEvent[] {
    if (this.done || !line.startsWith('data:')) return [];
    const event = parseEvent(line.slice(5));
    if (!event) return this.fail('decode stream: malformed event');
    if (event.attemptId !== this.attemptId) {
      this.onDropped('foreign');
      return [];
    }
    return event.end === undefined ? this.readToken(event) : this.readEnd(event);
  }

  private readToken({ index, text }: RawEvent): DecodeEvent[] {
    if (!isCount(index) || typeof text !== 'string')
      return this.fail('decode stream: malformed token event');
    if (index < this.nextIndex) {
      this.onDropped('duplicate');
      return [];
    }
    if (index > this.nextIndex)
      return this.fail(`decode stream: token ${this.nextIndex} is missing`);
    this.nextIndex += 1;
    return [{ kind: 'token', index, text }];
  }

  private readEnd({ end, promptTokens, completionTokens }: RawEvent): DecodeEvent[] {
    if ((end !== 'stop' && end !== 'length') || !isCount(promptTokens)) {
      return this.fail('decode stream: malformed end marker');
    }
    // A mismatch means that tokens at the end of the answer were lost.
    if (!isCount(completionTokens) || completionTokens !== this.nextIndex) {
      return this.fail(
        'decode stream: completionTokens of the end marker does not match the received tokens',
      );
    }
    this.done = true;
    return [{ kind: 'end', reason: end, promptTokens, completionTokens }];
  }

  private fail(message: string): DecodeEvent[] {
    if (this.done) return [];
    this.done = true;
    return [{ kind: 'failed', failure: CallFailure.create('broken', message) }];
  }
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function parseEvent(json: string): RawEvent | undefined {
  try {
    const value: unknown = JSON.parse(json);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
