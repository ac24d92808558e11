import type { ServerResponse } from 'node:http';

import type { AnswerEvent, FinishReason, ModelAnswer, Usage } from '../domain/request.js';
import type { Refusal } from '../domain/refusal.js';
import type { CompletionKind } from './completion-body.js';

/** Fields that every response object of an answer repeats. */
export interface AnswerMetadata {
  readonly requestId: string;
  readonly model: string;
  readonly kind: CompletionKind;
  /** Wall clock, in seconds since the Unix epoch. */
  readonly createdS: number;
}

/** How an answer ended; `abandoned` when neither an end nor a failure was written. */
export type AnswerResult = 'complete' | 'failed' | 'abandoned';

/** Writes the answer of a model to the response of the caller. */
export abstract class AnswerWriter {
  private result: AnswerResult = 'abandoned';

  protected constructor(
    protected readonly response: ServerResponse,
    protected readonly metadata: AnswerMetadata,
  ) {}

  /**
   * Writes an answer until it ends.
   *
   * @param answer - the answer in progress
   * @returns how it ended
   */
  async write(answer: ModelAnswer): Promise<AnswerResult> {
    this.open();
    await answer.events.forEach((event) => this.writeEvent(event));
    return this.result;
  }

  /** Prepares the response before the first token. */
  protected abstract open(): void;

  /** Sends or buffers a token. */
  protected abstract token(text: string): void;

  /** Ends the response of a complete answer. */
  protected abstract complete(reason: FinishReason, usage: Usage): void;

  /** Ends the response of an answer that failed. */
  protected abstract failed(refusal: Refusal): void;

  private writeEvent(event: AnswerEvent): void {
    if (this.response.destroyed) return;
    if (event.kind === 'token') {
      this.token(event.text);
      return;
    }
    if (event.kind === 'end') {
      this.result = 'complete';
      this.complete(event.reason, event.usage);
      return;
    }
    this.result = 'failed';
    this.failed(event.refusal);
  }
}

/**
 * Builds the element of `choices` that holds text.
 *
 * @param metadata - fields that every response object repeats
 * @param text - the text
 * @param reason - why the model stopped; null until it has stopped
 * @param streamed - whether the text is one chunk of a stream
 * @returns one element of `choices`
 */
export function describeChoice(
  metadata: AnswerMetadata,
  text: string,
  reason: FinishReason | null,
  streamed: boolean,
): object {
  if (metadata.kind === 'text') return { index: 0, text, finish_reason: reason };
  const message = streamed ? { content: text } : { role: 'assistant', content: text };
  return { index: 0, [streamed ? 'delta' : 'message']: message, finish_reason: reason };
}

/**
 * Builds the `usage` object of an answer.
 *
 * @param usage - token counts
 * @returns the object that OpenAI-style clients expect
 */
export function describeUsage(usage: Usage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}
