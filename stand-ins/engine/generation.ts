import { computeAnswerLength, computeTokenOfDigest, digestPrompt } from '../answer-text.js';
import type { KvContent } from './kv-content.js';

/** An event of a decode stream as it is sent. */
export type StreamEvent =
  | { readonly attemptId: string; readonly index: number; readonly text: string }
  | {
      readonly attemptId: string;
      readonly end: 'stop' | 'length';
      readonly promptTokens: number;
      readonly completionTokens: number;
    };

/** Speed of a generation and what happens at its end. */
export interface GenerationOptions {
  readonly tokenMs: number;
  /** Factor on the time between tokens at present. */
  readonly slowdown: () => number;
  readonly onToken: (produced: number) => void;
  readonly onEnd: () => void;
}

/** Produces the tokens of one attempt, whether or not a client reads them. */
export class Generation {
  private readonly digest: string;

  private readonly length: ReturnType<typeof computeAnswerLength>;

  private readonly timer: NodeJS.Timeout;

  private readers = new Set<() => void>();

  private produced = 0;

  private credit = 0;

  private creditedMs = performance.now();

  private constructor(
    readonly attemptId: string,
    private readonly content: KvContent,
    maxTokens: number,
    private readonly options: GenerationOptions,
  ) {
    this.digest = digestPrompt(content.model, content.prompt);
    this.length = computeAnswerLength(content.prompt, maxTokens);
    this.timer = setInterval(() => this.advance(), Math.max(1, options.tokenMs));
  }

  /**
   * Starts to generate.
   *
   * @param attemptId - the attempt
   * @param content - prompt and model
   * @param maxTokens - longest answer
   * @param options - speed and callbacks
   * @returns the running generation
   */
  static create(
    attemptId: string,
    content: KvContent,
    maxTokens: number,
    options: GenerationOptions,
  ): Generation {
    return new Generation(attemptId, content, maxTokens, options);
  }

  /**
   * Reads an event.
   *
   * @param index - index of the token; the end marker follows the last token
   * @returns the event, or undefined when it has not been produced
   */
  eventAt(index: number): StreamEvent | undefined {
    const { attemptId, produced, length } = this;
    if (index < produced) {
      return { attemptId, index, text: computeTokenOfDigest(this.digest, index) };
    }
    if (produced < length.tokens) return undefined;
    const { promptTokens } = this.content;
    return { attemptId, end: length.end, promptTokens, completionTokens: produced };
  }

  /**
   * Calls back after each step until the reader leaves.
   *
   * @param reader - called after new events were produced
   * @returns a function that ends the calls
   */
  follow(reader: () => void): () => void {
    this.readers.add(reader);
    return () => this.readers.delete(reader);
  }

  /** Stops without an end marker. */
  stop(): void {
    clearInterval(this.timer);
    this.readers.clear();
  }

  private advance(): void {
    const now = performance.now();
    this.credit += (now - this.creditedMs) / (this.options.tokenMs * this.options.slowdown());
    this.creditedMs = now;
    const tokens = Math.min(Math.floor(this.credit), this.length.tokens - this.produced);
    this.credit -= tokens;
    this.produced += tokens;
    if (tokens > 0) this.options.onToken(this.produced);
    if (this.produced >= this.length.tokens) {
      clearInterval(this.timer);
      this.options.onEnd();
    }
    [...this.readers].forEach((reader) => reader());
  }
}
