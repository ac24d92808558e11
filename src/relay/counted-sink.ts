import type { Refusal } from '../domain/refusal.js';
import { AnswerSink, type AnswerHead } from './relay-request.js';

/** What has been passed on of a server's answer. */
export interface SentAnswer {
  /** Bytes of the body. */
  readonly bytes: number;
  /** Whether a length or chunks marked the end of the body at the server. */
  readonly framed: boolean;
}

/** Counts what is passed on to a caller, for the log. */
export class CountedSink extends AnswerSink {
  private framed: boolean | undefined;

  private bytes = 0;

  private constructor(private readonly sink: AnswerSink) {
    super();
  }

  /**
   * Wraps a sink.
   *
   * @param sink - receives all that is written
   * @returns a sink to which nothing has been written
   */
  static create(sink: AnswerSink): CountedSink {
    return new CountedSink(sink);
  }

  /** What has been passed on; undefined while no head has been. */
  get sent(): SentAnswer | undefined {
    const { framed, bytes } = this;
    return framed === undefined ? undefined : { bytes, framed };
  }

  override get closed(): boolean {
    return this.sink.closed;
  }

  override refuse(refusal: Refusal): void {
    this.sink.refuse(refusal);
  }

  override send(head: AnswerHead, chunks: readonly Buffer[]): void {
    this.framed = head.framed;
    this.bytes = chunks.reduce((sum, { length }) => sum + length, 0);
    this.sink.send(head, chunks);
  }

  override writeHead(head: AnswerHead): void {
    this.framed = head.framed;
    this.sink.writeHead(head);
  }

  override write(chunk: Buffer): Promise<void> | undefined {
    this.bytes += chunk.length;
    return this.sink.write(chunk);
  }

  override end(): void {
    this.sink.end();
  }

  override abort(): void {
    this.sink.abort();
  }
}
