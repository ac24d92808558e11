import { computeAnswerLength, computeTokenFromHash, hashPrompt } from '../answer-text.js';
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

/** Speed and callbacks of a generation. */
export interface GenerationOptions {
  readonly tokenMs: number;
  /** Returns the present factor on the time between tokens. */
  readonly slowdownFactor: () => number;
  readonly onToken: (produced: number) => void;
  readonly onEnd: () => void;
}

/** Generates the tokens of one attempt, whether or not a client reads them. */
export class Generation {
  private readonly promptHash: string;

  private readonly answerLength: ReturnType<typeof computeAnswerLength>;

  private readonly timer: NodeJS.Timeout;

  private subscribers = new Set<() => void>();

  private produced = 0;

  private accruedTokens = 0;

  private accruedAtMs = performance.now();

  private constructor(
    readonly attemptId: string,
    private readonly content: KvContent,
    maxTokens: number,
    private readonly options: GenerationOptions,
  ) {
    this.promptHash = hashPrompt(content.model, content.prompt);
    this.answerLength = computeAnswerLength(content.prompt, maxTokens);
    this.timer = setInterval(() => this.advance(), Math.max(1, options.tokenMs));
  }

  /**
   * Starts a generation.
   *
   * @param attemptId - the attempt
   * @param content - prompt and model
   * @param maxTokens - maximum length of the answer, in tokens
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
   * Returns an event.
   *
   * @param index - index of the token; the end marker follows the last token
   * @returns the event, or undefined when it has not been produced
   */
  eventAt(index: number): StreamEvent | undefined {
    const { attemptId, produced, answerLength } = this;
    if (index < produced) {
      return { attemptId, index, text: computeTokenFromHash(this.promptHash, index) };
    }
    if (produced < answerLength.tokens) return undefined;
    const { promptTokens } = this.content;
    return { attemptId, end: answerLength.end, promptTokens, completionTokens: produced };
  }

  /**
   * Registers a callback that is called after each step.
   *
   * @param subscriber - called when new events may be available
   * @returns a function that removes the callback
   */
  subscribe(subscriber: () => void): () => void {
    this.subscribers.add(subscriber);
    return () => this.subscribers.delete(subscriber);
  }

  /** Stops without an end marker. */
  stop(): void {
    clearInterval(this.timer);
    this.subscribers.clear();
  }

  private advance(): void {
    const now = performance.now();
    this.accruedTokens +=
      (now - this.accruedAtMs) / (this.options.tokenMs * this.options.slowdownFactor());
    this.accruedAtMs = now;
    const tokens = Math.min(
      Math.floor(this.accruedTokens),
      this.answerLength.tokens - this.produced,
    );
    this.accruedTokens -= tokens;
    this.produced += tokens;
    if (tokens > 0) this.options.onToken(this.produced);
    if (this.produced >= this.answerLength.tokens) {
      clearInterval(this.timer);
      this.options.onEnd();
    }
    [...this.subscribers].forEach((subscriber) => subscriber());
  }
}
