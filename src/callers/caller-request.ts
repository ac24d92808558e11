import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { Refusal } from '../domain/refusal.js';
import type { RequestSpan } from '../observability/request-span.js';
import { sendRefusal } from './refusal-response.js';

/** Headers that apply to one connection only, or that must not reach a backend server. */
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

/** An HTTP request of a caller with its response, while in progress. */
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
   * Closes the connection when the caller stops reading its response.
   *
   * @param timeoutMs - maximum time without activity while response bytes are unsent, in
   * milliseconds
   */
  disconnectWhenStalled(timeoutMs: number): void {
    const { response } = this;
    response.setTimeout(timeoutMs, () => {
      // A response that has not begun, or that has been sent completely, does not wait for the
      // caller.
      if ((response.socket?.writableLength ?? 0) > 0) response.socket?.destroy();
    });
  }

  /**
   * Wraps a request and its response.
   *
   * @param incoming - the request
   * @param response - the response
   * @param span - trace span of the request on this VM
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

  /** Aborts when the caller disconnects before the response is finished. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  get method(): string {
    return this.incoming.method ?? 'GET';
  }

  /**
   * Sends a refusal; closes the connection when the request has not been received completely.
   *
   * @param refusal - why the request is refused
   */
  refuse(refusal: Refusal): void {
    if (!this.incoming.complete) this.response.setHeader('connection', 'close');
    sendRefusal(this.response, refusal, this.requestId);
    this.span.end({ outcome: refusal.code, run: refusal.run });
  }

  /**
   * Sends a JSON response.
   *
   * @param status - HTTP status
   * @param body - value to serialize
   * @returns undefined, since the request was not refused
   */
  sendJson(status: number, body: object): undefined {
    this.response.writeHead(status, { 'content-type': 'application/json' });
    this.response.end(JSON.stringify(body));
    this.span.end({ outcome: String(status) });
    return undefined;
  }

  /**
   * Selects the headers that are forwarded to a backend server.
   *
   * @returns the headers by lower-case name
   */
  forwardedHeaders(): Record<string, string> {
    const connectionHeaders = (this.incoming.headers.connection ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase());
    const entries = Object.entries(this.incoming.headers)
      .filter(([name]) => !REMOVED_HEADERS.has(name) && !connectionHeaders.includes(name))
      .map(([name, value]): [string, string] => [name, String(value)]);
    return Object.fromEntries(entries);
  }

  /**
   * Computes a hash that identifies equal requests of one team.
   *
   * @param team - team of the request
   * @param body - body of the request
   * @returns SHA-256 of team and body, hexadecimal
   */
  static fingerprint(team: string | undefined, body: Buffer): string {
    return createHash('sha256')
      .update(`${team ?? ''}\n`)
      .update(body)
      .digest('hex');
  }
}
