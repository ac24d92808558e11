import type { IncomingHttpHeaders, ServerResponse } from 'node:http';

/** An HTTP request whose body has been received completely. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Name of the listener that received the request. */
  readonly listener: string;
  /** Aborts when the client closes the connection before the answer has ended. */
  readonly signal: AbortSignal;
}

/** An answer that a handler returns; it is sent, delayed or discarded by the listener. */
export interface Reply {
  readonly status: number;
  readonly headers?: Record<string, string>;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Streams the body in place of `body`, and ends the response itself. */
  readonly write?: (response: ServerResponse) => Promise<void>;
}

/** Carries out a request and returns its answer. */
export type Handler = (call: Call) => Reply | Promise<Reply>;

/**
 * Builds an answer with a JSON body.
 *
 * @param status - HTTP status
 * @param body - value to send
 * @returns the answer
 */
export function replyJson(status: number, body: unknown): Reply {
  return { status, body };
}

/**
 * Builds an answer that rejects a request.
 *
 * @param status - HTTP status of 400 or above
 * @param error - what was wrong
 * @returns the answer
 */
export function replyError(status: number, error: string): Reply {
  return { status, body: { error } };
}

/**
 * Reads the body of a call as a JSON object.
 *
 * @param call - the call
 * @returns the object, or undefined when the body is not a JSON object
 */
export function readJson(call: Call): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(call.body.toString('utf8') || '{}');
    if (typeof value !== 'object' || value === null || Array.isArray(value)) return undefined;
    return value as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
