import type { Readable } from 'node:stream';

import { Pool } from 'undici';

import { formatAddress, type Address } from '../domain/vm.js';
import { isFinalStatus } from '../infrastructure/answer-status.js';
import { createConnector } from '../infrastructure/http-call.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { ProgressDeadline } from './progress-deadline.js';

/** Maximum size of a response body that is read into memory, in bytes. */
export const MAX_RESPONSE_BYTES = 1_048_576;

/** Timeouts of the connections to one address, in milliseconds. */
export interface ConnectionLimits {
  readonly connectMs: number;
  readonly idleMs: number;
}

/** A request to send, with the deadline of its exchange. */
export interface Exchange {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Buffer | undefined;
  readonly deadline: ProgressDeadline;
  /** Called when the connection is open, right before the first byte; false prevents the write. */
  readonly maySend?: () => boolean;
}

/** A response whose body has not been read. */
export interface OpenResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Buffer>;
}

/** Why an exchange failed. */
export type ExchangeFailure = 'refused' | 'broken' | 'silent' | 'cancelled' | 'too-large';

// Errors raised before the connection exists; only these prove that nothing was sent.
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Determines why an exchange failed.
 *
 * @param error - error thrown by undici
 * @param deadline - deadline of the exchange
 * @returns the reason
 */
export function classifyError(error: unknown, deadline: ProgressDeadline): ExchangeFailure {
  const { code } = error as { code?: string };
  if (code && CONNECT_ERROR_CODES.has(code)) return 'refused';
  if (deadline.expired) return 'silent';
  if (deadline.signal.aborted) return 'cancelled';
  return 'broken';
}

/** Pool of connections to one address: one request at a time on each, no retries. */
export class HttpConnections {
  private constructor(private readonly pool: Pool) {}

  /**
   * Creates a pool; connections are opened when needed.
   *
   * @param address - address to connect to
   * @param limits - timeouts of the connections
   * @returns the pool
   */
  static create(address: Address, limits: ConnectionLimits): HttpConnections {
    return new HttpConnections(
      new Pool(`http://${formatAddress(address)}`, {
        allowH2: false,
        pipelining: 1,
        connect: createConnector(limits.connectMs),
        keepAliveTimeout: limits.idleMs,
        keepAliveMaxTimeout: limits.idleMs,
        // The progress deadline of each call covers the wait for the headers and for the body.
        headersTimeout: 0,
        bodyTimeout: 0,
      }),
    );
  }

  /**
   * Sends a request once. When its deadline aborts, the connection is destroyed.
   *
   * @param exchange - the request
   * @returns the response with its headers and unread body, or why the exchange failed
   */
  async open(exchange: Exchange): Promise<Outcome<OpenResponse, ExchangeFailure>> {
    const { deadline, maySend } = exchange;
    let forbidden = false;
    const isForbidden = () => {
      forbidden = maySend?.() === false;
      return forbidden;
    };
    try {
      const response = await this.pool.request({
        method: exchange.method,
        path: exchange.path,
        ...buildContent(exchange, isForbidden),
        signal: deadline.signal,
      });
      if (!isFinalStatus(response.statusCode)) {
        response.body.on('error', () => {}).destroy();
        return fail('broken');
      }
      deadline.extend();
      const headers = flattenHeaders(response.headers);
      return succeed({ status: response.statusCode, headers, body: response.body });
    } catch (error) {
      return fail(forbidden ? 'cancelled' : classifyError(error, deadline));
    }
  }

  /** Closes the connections after the calls on them have ended. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  /** Closes all connections immediately, including those in use. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }
}

/**
 * Reads the body of a response into memory.
 *
 * @param response - the response
 * @param deadline - deadline of the exchange; each chunk extends it
 * @returns the body, or why reading failed; `too-large` above `MAX_RESPONSE_BYTES`
 */
export async function readBody(
  response: OpenResponse,
  deadline: ProgressDeadline,
): Promise<Outcome<Buffer, ExchangeFailure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of response.body) {
      deadline.extend();
      size += chunk.length;
      if (size > MAX_RESPONSE_BYTES) return fail('too-large');
      chunks.push(chunk);
    }
  } catch (error) {
    return fail(classifyError(error, deadline));
  }
  return succeed(Buffer.concat(chunks, size));
}

/** undici reads the first chunk when the connection is open and writes it with the headers. */
function buildContent({ headers, body, maySend }: Exchange, isForbidden: () => boolean) {
  if (!maySend || body === undefined) return { headers, body };
  const length = String(Buffer.byteLength(body));
  // undici accepts any async iterable as a body, which its types do not declare.
  const guarded = guardBody(body, isForbidden) as unknown as Readable;
  return { headers: { ...headers, 'content-length': length }, body: guarded };
}

async function* guardBody(body: string | Buffer, isForbidden: () => boolean) {
  if (isForbidden())
    throw new Error('request not sent: it was no longer permitted once the connection was open');
  yield Buffer.from(body);
}

function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value !== undefined) flat[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return flat;
}
