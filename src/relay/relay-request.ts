import type { Refusal } from '../domain/refusal.js';

/** Part of a prompt that other requests may have in common. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A caller's request as seen by the relay, which does not interpret its content. */
export interface RelayRequest {
  readonly requestId: string;
  readonly host: string;
  /** Path without the query string. */
  readonly path: string;
  readonly method: string;
  /** Path and query string as sent. */
  readonly target: string;
  /** Alternating names and values, without hop-by-hop headers, the team key, or the router's own headers. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly key: string | undefined;
  /** Monotonic time at which the caller's deadline expires, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  /** Tokens of the prompt; undefined for requests that do not state them. */
  readonly promptTokens: number | undefined;
  /** Maximum tokens of the answer. */
  readonly outputTokens: number;
  /** The caller's estimate of the answer's tokens; right at the median, often far off. */
  readonly expectedTokens: number | undefined;
  readonly promptParts: readonly PromptPart[];
}

/** Status and headers of a server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  /**
   * Whether a length or chunks mark the end of the body at its server. Otherwise the end of the server's
   * connection does, which is its end unless the connection is reset. The caller gets a marked end in any case.
   */
  readonly framed: boolean;
}

/** Writes an answer to the caller. */
export abstract class AnswerSink {
  /** True when the caller has disconnected. */
  abstract readonly closed: boolean;

  /** Answers with a refusal by the router; nothing may have been sent before. */
  abstract refuse(refusal: Refusal): void;

  /**
   * Sends a complete answer. The more of it leaves at once, the less likely is it to be truncated by the
   * end of the process.
   *
   * @param head - status and headers
   * @param chunks - the whole body
   */
  send(head: AnswerHead, chunks: readonly Buffer[]): void {
    this.writeHead(head);
    chunks.forEach((chunk) => {
      void this.write(chunk);
    });
    this.end();
  }

  /** Sends status and headers. */
  abstract writeHead(head: AnswerHead): void;

  /**
   * Sends a chunk of the body.
   *
   * @param chunk - bytes from the server
   * @returns a promise when the caller reads too slowly; it resolves when more can be written
   */
  abstract write(chunk: Buffer): Promise<void> | undefined;

  /** Completes the answer. */
  abstract end(): void;

  /** Aborts the answer so that the caller cannot take it for a complete one. */
  abstract abort(): void;
}
