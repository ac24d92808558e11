import type { ServerResponse } from 'node:http';

import type { FinishReason, Usage } from '../domain/request.js';
import type { Refusal } from '../domain/refusal.js';
import {
  AnswerWriter,
  describeChoice,
  describeUsage,
  type AnswerMetadata,
} from './answer-writer.js';
import { sendRefusal } from './refusal-response.js';

/** Buffers an answer and sends it as one JSON response when it is complete. */
export class BufferedAnswer extends AnswerWriter {
  private readonly parts: string[] = [];

  /**
   * Creates a writer.
   *
   * @param response - response to the caller
   * @param metadata - fields that every response object repeats
   * @returns a new writer
   */
  static create(response: ServerResponse, metadata: AnswerMetadata): BufferedAnswer {
    return new BufferedAnswer(response, metadata);
  }

  protected override open(): void {
    this.parts.length = 0;
  }

  protected override token(text: string): void {
    this.parts.push(text);
  }

  protected override complete(reason: FinishReason, usage: Usage): void {
    const { requestId, model, kind, createdS } = this.metadata;
    const body = JSON.stringify({
      id: requestId,
      object: kind === 'chat' ? 'chat.completion' : 'text_completion',
      created: createdS,
      model,
      choices: [describeChoice(this.metadata, this.parts.join(''), reason, false)],
      usage: describeUsage(usage),
    });
    this.response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    this.response.end(body);
  }

  protected override failed(refusal: Refusal): void {
    sendRefusal(this.response, refusal, this.metadata.requestId);
  }
}
