import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { Refusal } from '../domain/refusal.js';
import type { RequestSpan } from '../observability/request-span.js';
import { sendRefusal } from './refusal-response.js';

/** Headers that concern one connection only, or that must not reach a backend server. */
const REMOVED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'proxy-authorization',
  'cookie',
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
  'content-length',
  'x-request-id',
  'x-attempt-id',
  'x-team',
  'traceparent',
  'idempotency-key',
]);

/** An HTTP request of a caller in progress. */
export class CallerRequest {
  readonly requestId = `req-${randomUUID()}`;

  readonly path: string;

  private readonly abortController = new AbortController();

  private constructor(
    readonly incoming: IncomingMessage,
    readonly response: ServerResponse,
    readonly span: RequestSpan,
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedMs: number,
  ) {
    this.path = (incoming.url ?? '/').split('?', 1)[0] ?? '/';
    response.setHeader('x-request-id', this.requestId);
    response.on('close', () => {
      if (!response.writableFinished) this.abortController.abort();
    });
  }

  /**
   * Closes the connection of a caller that has stopped reading its answer.
   *
   * @param silenceMs - longest time in which no byte of the answer is taken, in milliseconds
   */
  disconnectWhenStalled(silenceMs: number): void {
    const { response } = this;
    response.setTimeout(silenceMs, () => {
      // An answer that has not begun, or of which all is sent, does not wait for the caller.
      if ((response.socket?.writableLength ?? 0) > 0) response.socket?.destroy();
    });
  }

  /**
   * Wraps a request and its response.
   *
   * @param incoming - the request
   * @param response - the response
   * @param span - the entry span
   * @param arrivedMs - monotonic time of arrival, in milliseconds
   * @returns a new request
   */
  static create(
    incoming: IncomingMessage,
    response: ServerResponse,
    span: RequestSpan,
    arrivedMs: number,
  ): CallerRequest {
    return new CallerRequest(incoming, response, span, arrivedMs);
  }

  /** Aborts when the caller has gone. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  get method(): string {
    return this.incoming.method ?? 'GET';
  }

  /**
   * Answers with a refusal and ends the connection when the body has not been read.
   *
   * @param refusal - why the request is not answered
   */
  refuse(refusal: Refusal): void {
    if (!this.incoming.complete) this.response.setHeader('connection', 'close');
    sendRefusal(this.response, refusal, this.requestId);
    this.span.end({ outcome: refusal.code, run: refusal.run });
  }

  /**
   * Answers with JSON.
   *
   * @param status - HTTP status
   * @param body - the value
   * @returns undefined, since the request was not refused
   */
  sendJson(status: number, body: object): undefined {
    this.response.writeHead(status, { 'content-type': 'application/json' });
    this.response.end(JSON.stringify(body));
    this.span.end({ outcome: String(status) });
    return undefined;
  }

  /**
   * Selects the headers that a backend server may see.
   *
   * @returns headers by lower-case name
   */
  forwardedHeaders(): Record<string, string> {
    const named = (this.incoming.headers.connection ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase());
    const entries = Object.entries(this.incoming.headers)
      .filter(([name]) => !REMOVED_HEADERS.has(name) && !named.includes(name))
      .map(([name, value]): [string, string] => [name, String(value)]);
    return Object.fromEntries(entries);
  }

  /**
   * Identifies equal requests of one team.
   *
   * @param team - team of the request
   * @param body - the body
   * @returns SHA-256 of team and body, hexadecimal
   */
  static fingerprint(team: string | undefined, body: Buffer): string {
    return createHash('sha256')
      .update(`${team ?? ''}\n`)
      .update(body)
      .digest('hex');
  }
}
