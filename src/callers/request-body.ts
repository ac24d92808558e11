import type { IncomingMessage } from 'node:http';

import { Refusal } from '../domain/refusal.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';

/** Limits of a request body. */
export interface BodyLimits {
  readonly bodyBytes: number;
  /** Maximum time until the body is complete, in milliseconds. */
  readonly bodyMs: number;
}

/**
 * Reads a request body within limits.
 *
 * @param request - the request
 * @param limits - maximum size and time
 * @returns the body, or a refusal after which the connection must be closed
 */
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Outcome<Buffer, Refusal>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let timer: NodeJS.Timeout | undefined;
    const finish = (outcome: Outcome<Buffer, Refusal>) => {
      clearTimeout(timer);
      request.removeAllListeners('data');
      resolve(outcome);
    };
    timer = setTimeout(() => {
      request.pause();
      finish(fail(refuseSlowBody(limits)));
    }, limits.bodyMs);
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes <= limits.bodyBytes) return;
      request.pause();
      finish(fail(refuseLargeBody(limits)));
    });
    request.on('end', () => finish(succeed(Buffer.concat(chunks))));
    request.on('error', () => finish(fail(refuseBrokenBody())));
    request.on('close', () => finish(fail(refuseBrokenBody())));
  });
}

/**
 * Checks the header `content-length` before the body is read.
 *
 * @param request - the request
 * @param limits - maximum size
 * @returns a refusal, or undefined when the size is within the limit or the header is missing
 */
export function checkContentLength(
  request: IncomingMessage,
  limits: BodyLimits,
): Refusal | undefined {
  const contentLength = Number(request.headers['content-length'] ?? 0);
  return contentLength > limits.bodyBytes ? refuseLargeBody(limits) : undefined;
}

function refuseLargeBody(limits: BodyLimits): Refusal {
  return Refusal.create('body_too_large', `the body is larger than ${limits.bodyBytes} bytes`);
}

function refuseSlowBody(limits: BodyLimits): Refusal {
  return Refusal.create('request_timeout', `the body was not complete within ${limits.bodyMs} ms`);
}

function refuseBrokenBody(): Refusal {
  return Refusal.create(
    'request_malformed',
    'the connection was lost before the body was complete',
  );
}
