import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';

import { Refusal } from '../domain/refusal.js';
import type { OpenResponses } from './open-responses.js';
import { describeRefusal } from './refusal-response.js';

/**
 * Time for a caller to close a connection that the daemon has ended, in milliseconds. Destroying it
 * immediately could reset it before the caller has read the refusal.
 */
const LINGER_MS = 1000;

const UNREADABLE_MESSAGE = 'the request could not be read';

/** Refuses input that the HTTP parser of Node rejects. */
export class ClientErrorHandler {
  private constructor(private readonly openResponses: OpenResponses) {}

  /**
   * Creates a handler for one server.
   *
   * @param openResponses - responses in progress, for one of which a refusal could be taken
   * @returns a new handler
   */
  static create(openResponses: OpenResponses): ClientErrorHandler {
    return new ClientErrorHandler(openResponses);
  }

  /**
   * Sends a refusal for input that could not be parsed, or whose head did not arrive in time. The
   * connection is closed without a response when the caller would take it for the response to
   * another request.
   *
   * @param error - the error of the parser
   * @param socket - connection of the caller
   */
  refuse(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === 'ECONNRESET' || this.openResponses.isAnswering(socket)) {
      socket.destroy();
      return;
    }
    socket.end(formatRefusal(createRefusal(error)));
    const lingerTimer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(lingerTimer));
  }
}

function createRefusal({ code }: NodeJS.ErrnoException): Refusal {
  if (code === 'HPE_HEADER_OVERFLOW')
    return Refusal.create('headers_too_large', UNREADABLE_MESSAGE);
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT')
    return Refusal.create('request_timeout', UNREADABLE_MESSAGE);
  return Refusal.create('request_malformed', UNREADABLE_MESSAGE);
}

function formatRefusal(refusal: Refusal): string {
  const requestId = `req-${randomUUID()}`;
  const body = JSON.stringify(describeRefusal(refusal, requestId));
  const head = [
    `HTTP/1.1 ${refusal.status} Refused`,
    'content-type: application/json',
    `x-request-id: ${requestId}`,
    `x-cuminspar-run: ${refusal.run}`,
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}
