import { CallFailure } from '../kernel/call-failure.js';
import type { DecodeEvent } from './engine.js';

/** What was dropped from a stream. */
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

/** Turns the text of a decode stream into events in order; it does no input or output. */
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
   * @param attemptId - events of other attempts are dropped
   * @param fromIndex - index of the first token wanted
   * @param onDropped - called for each event that is dropped
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
   * Reads a piece of the stream.
   *
   * @param text - the next piece
   * @returns the events that it completes
   */
  read(text: string): readonly DecodeEvent[] {
    const lines = (this.buffer + text).split('\n');
    this.buffer = lines.pop() ?? '';
    const events = lines.flatMap((line) => this.readLine(line));
    if (this.buffer.length > MAX_LINE_CHARS) events.push(...this.fail('a line is too long'));
    return events;
  }

  /**
   * Notes that the stream has closed.
   *
   * @returns a failure when the end marker has not come
   */
  close(): readonly DecodeEvent[] {
    return this.fail('the stream closed without an end marker');
  }

  private readLine(line: string): DecodeEvent[] {
    if (this.done || !line.startsWith('data:')) return [];
    const event = parseEvent(line.slice(5));
    if (!event) return this.fail('an event is malformed');
    if (event.attemptId !== this.attemptId) {
      this.onDropped('foreign');
      return [];
    }
    return event.end === undefined ? this.readToken(event) : this.readEnd(event);
  }

  private readToken({ index, text }: RawEvent): DecodeEvent[] {
    if (!isCount(index) || typeof text !== 'string') return this.fail('a token is malformed');
    if (index < this.nextIndex) {
      this.onDropped('duplicate');
      return [];
    }
    if (index > this.nextIndex) return this.fail(`token ${this.nextIndex} is missing`);
    this.nextIndex += 1;
    return [{ kind: 'token', index, text }];
  }

  private readEnd({ end, promptTokens, completionTokens }: RawEvent): DecodeEvent[] {
    if ((end !== 'stop' && end !== 'length') || !isCount(promptTokens)) {
      return this.fail('the end marker is malformed');
    }
    // A short count means that tokens at the end of the answer were lost.
    if (!isCount(completionTokens) || completionTokens !== this.nextIndex) {
      return this.fail('the end marker does not match the tokens');
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
