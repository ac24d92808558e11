import type { Readable } from 'node:stream';

import { Pool } from 'undici';

import { formatAddress, type Address } from '../domain/vm.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { ProgressDeadline } from './progress-deadline.js';

/** Largest answer that is read whole, in bytes. */
export const MAX_RESPONSE_BYTES = 1_048_576;

/** Limits of the connections to one address, in milliseconds. */
export interface ConnectionLimits {
  readonly connectMs: number;
  readonly idleMs: number;
}

/** A request as it goes out. */
export interface Exchange {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Buffer | undefined;
  readonly deadline: ProgressDeadline;
  /** Asked when the connection is open, right before the first byte is written. */
  readonly maySend?: () => boolean;
}

/** An answer whose body has not been read. */
export interface OpenResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Buffer>;
}

/** Why an exchange failed. */
export type ExchangeFailure = 'refused' | 'broken' | 'silent' | 'cancelled' | 'too-large';

// Errors that come before the connection exists; only they prove that nothing was sent.
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Finds out why an exchange failed.
 *
 * @param error - what undici threw
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

/** Connections to one address: one request at a time on each, no retries. */
export class HttpConnections {
  private constructor(private readonly pool: Pool) {}

  /**
   * Prepares connections; they are opened when needed.
   *
   * @param address - where to connect
   * @param limits - limits of the connections
   * @returns the connections
   */
  static create(address: Address, limits: ConnectionLimits): HttpConnections {
    return new HttpConnections(
      new Pool(`http://${formatAddress(address)}`, {
        allowH2: false,
        pipelining: 1,
        connect: { timeout: limits.connectMs },
        keepAliveTimeout: limits.idleMs,
        keepAliveMaxTimeout: limits.idleMs,
        // The progress deadline of each call covers both waits.
        headersTimeout: 0,
        bodyTimeout: 0,
      }),
    );
  }

  /**
   * Sends a request once. An aborted deadline destroys the connection.
   *
   * @param exchange - the request
   * @returns the answer up to its headers, or the reason of the failure
   */
  async open(exchange: Exchange): Promise<Outcome<OpenResponse, ExchangeFailure>> {
    const { deadline, maySend } = exchange;
    let forbidden = false;
    const isForbidden = () => {
      forbidden = maySend?.() === false;
      return forbidden;
    };
    try {
      const answer = await this.pool.request({
        method: exchange.method,
        path: exchange.path,
        ...buildContent(exchange, isForbidden),
        signal: deadline.signal,
      });
      deadline.extend();
      const headers = flattenHeaders(answer.headers);
      return succeed({ status: answer.statusCode, headers, body: answer.body });
    } catch (error) {
      return fail(forbidden ? 'cancelled' : classifyError(error, deadline));
    }
  }

  /** Closes the connections when the calls on them have ended. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  /** Closes every connection at once. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }
}

/**
 * Reads a whole body.
 *
 * @param answer - the answer
 * @param deadline - deadline of the exchange
 * @returns the body, or the reason of the failure
 */
export async function readBody(
  answer: OpenResponse,
  deadline: ProgressDeadline,
): Promise<Outcome<Buffer, ExchangeFailure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of answer.body) {
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

/** undici takes the first chunk when the connection is open and writes it with the headers. */
function buildContent({ headers, body, maySend }: Exchange, isForbidden: () => boolean) {
  if (!maySend || body === undefined) return { headers, body };
  const length = String(Buffer.byteLength(body));
  // undici takes any async iterable, which its types leave out.
  const guarded = guardBody(body, isForbidden) as unknown as Readable;
  return { headers: { ...headers, 'content-length': length }, body: guarded };
}

async function* guardBody(body: string | Buffer, isForbidden: () => boolean) {
  if (isForbidden()) throw new Error('the request may not be sent any more');
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
