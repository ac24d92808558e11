import type { ServerResponse } from 'node:http';

import type { FinishReason, Usage } from '../domain/request.js';
import type { Refusal } from '../domain/refusal.js';
import {
  AnswerWriter,
  describeChoice,
  describeUsage,
  type AnswerMetadata,
} from './answer-writer.js';
import { describeRefusal } from './refusal-response.js';

/** Sends each token as a server-sent event as soon as it arrives. */
export class StreamedAnswer extends AnswerWriter {
  private constructor(
    response: ServerResponse,
    metadata: AnswerMetadata,
    private readonly bufferBytes: number,
  ) {
    super(response, metadata);
  }

  /**
   * Creates a writer.
   *
   * @param response - response to the caller
   * @param metadata - fields that every response object repeats
   * @param bufferBytes - maximum unsent bytes; a caller that reads too slowly is disconnected above
   * it
   * @returns a new writer
   */
  static create(
    response: ServerResponse,
    metadata: AnswerMetadata,
    bufferBytes: number,
  ): StreamedAnswer {
    return new StreamedAnswer(response, metadata, bufferBytes);
  }

  protected override open(): void {
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
    });
  }

  protected override token(text: string): void {
    this.send({ choices: [describeChoice(this.metadata, text, null, true)] });
  }

  protected override complete(reason: FinishReason, usage: Usage): void {
    const choices = [describeChoice(this.metadata, '', reason, true)];
    this.send({ choices, usage: describeUsage(usage) });
    this.response.end('data: [DONE]\n\n');
  }

  protected override failed(refusal: Refusal): void {
    const body = JSON.stringify(describeRefusal(refusal, this.metadata.requestId));
    this.response.end(`event: error\ndata: ${body}\n\n`);
  }

  private send(fields: object): void {
    const { requestId, model, kind, createdS } = this.metadata;
    const object = kind === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    const chunk = { id: requestId, object, created: createdS, model, ...fields };
    this.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
    if (this.response.writableLength > this.bufferBytes) this.response.destroy();
  }
}
