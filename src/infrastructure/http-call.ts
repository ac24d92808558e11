import type { Socket } from 'node:net';
import { promisify } from 'node:util';
import { gunzip as gunzipWithCallback, type ZlibOptions } from 'node:zlib';

import { Agent, buildConnector, request, type Dispatcher } from 'undici';

import { CallFailure } from '../kernel/call-failure.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import { isFinalStatus } from './answer-status.js';
import { guardEnd } from './connection-end.js';
import { readLimited } from './limited-body.js';

const gunzip = promisify<Buffer, ZlibOptions, Buffer>(gunzipWithCallback);

/** Deadlines of a call, in milliseconds. */
export interface HttpDeadlines {
  /** Shorter than `firstByteMs`, so that a call that never connected fails as `unsent`, not as `unknown`. */
  readonly connectMs: number;
  /** From the start of the call, connecting included, to the status and headers. */
  readonly firstByteMs: number;
  /** From the headers to the end of the body. */
  readonly bodyMs: number;
}

/**
 * Derives the deadlines of an adapter from its settings.
 *
 * @param timeoutMs - timeout for an answer and again for its body, in milliseconds
 * @param connectMs - timeout for connecting, in milliseconds; at most and by default half of `timeoutMs`
 * @returns the deadlines
 */
export function buildDeadlines(timeoutMs: number, connectMs = timeoutMs / 2): HttpDeadlines {
  return {
    connectMs: Math.min(connectMs, timeoutMs / 2),
    firstByteMs: timeoutMs,
    bodyMs: timeoutMs,
  };
}

/** A call to the platform. */
export interface HttpCall {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  /** Sent as JSON, or unchanged when it is a buffer. */
  readonly body?: unknown;
  readonly deadlines: HttpDeadlines;
  /** Largest accepted body of the answer, in bytes; a larger one fails the call as `unknown`. */
  readonly maxBodyBytes: number;
  /** Whether the answer may be compressed; the limit holds before and after it is unpacked. */
  readonly acceptsGzip?: boolean;
  readonly signal?: AbortSignal;
}

/** An answer; `body` is undefined when it was not JSON. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData['headers'];
  readonly body: unknown;
}

/** A call without a complete answer: `unsent`, or `unknown` when it may have reached the server. */
export type HttpCallFailure = CallFailure<'unsent' | 'unknown'>;

/** Largest head of an answer with its interim answers, in bytes. */
const MAX_HEAD_BYTES = 262_144;

/** Bytes that a byte of a body may take on the connection, with the framing of small chunks. */
const FRAMING_FACTOR = 2;

/** Codes of errors that occur before a connection exists, so that nothing has been sent. */
export const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Creates the connection pool of one adapter. Idle connections are closed before common servers close
 * them, because a request on a connection that the server is closing has an unknown effect.
 *
 * @param deadlines - deadlines of the adapter's calls
 * @param maxBodyBytes - largest body that any of its calls accepts, in bytes
 * @returns an agent without open connections
 */
export function createAgent(deadlines: HttpDeadlines, maxBodyBytes: number): Agent {
  const maxAnswerBytes = FRAMING_FACTOR * maxBodyBytes + MAX_HEAD_BYTES;
  return new Agent({
    connect: createConnector(deadlines.connectMs, maxAnswerBytes),
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: 1000,
    pipelining: 1,
  });
}

/**
 * Closes a connection on which more arrives after a request than an answer may have. It covers what is no
 * body: heads, interim answers, chunk extensions, trailers and bytes that nothing asked for.
 */
function limitAnswers(socket: Socket, maxAnswerBytes: number): void {
  let written = socket.bytesWritten;
  let readBefore = socket.bytesRead;
  let answerStart = readBefore;
  socket.on('readable', () => {
    if (socket.bytesWritten !== written) answerStart = readBefore;
    written = socket.bytesWritten;
    readBefore = socket.bytesRead;
    if (readBefore - answerStart <= maxAnswerBytes) return;
    const message = `more than ${maxAnswerBytes} bytes arrived from ${socket.remoteAddress}:${socket.remotePort} in answer to one request`;
    socket.destroy(Object.assign(new Error(message), { code: 'ANSWER_TOO_LARGE' }));
  });
}

/**
 * Creates a connector with its own timer, because undici rounds short timeouts up to about a second.
 *
 * @param connectMs - timeout for connecting, in milliseconds
 * @param maxAnswerBytes - bytes after a request beyond which its connection is closed; unlimited by default
 * @returns a connector for undici
 */
export function createConnector(
  connectMs: number,
  maxAnswerBytes = Infinity,
): buildConnector.connector {
  const connect = buildConnector({ timeout: 0 });
  return (options, callback) => {
    let expired = false;
    const timer = setTimeout(() => {
      expired = true;
      const error = new Error(`no connection within ${connectMs} ms`);
      callback(Object.assign(error, { code: 'UND_ERR_CONNECT_TIMEOUT' }), null);
    }, connectMs);
    connect(options, (...result) => {
      clearTimeout(timer);
      if (result[1]) {
        guardEnd(result[1]);
        limitAnswers(result[1], maxAnswerBytes);
      }
      if (expired) result[1]?.destroy();
      else callback(...result);
    });
  };
}

/**
 * Makes a call once, without retries. When a deadline expires, the connection of the call is closed.
 *
 * @param agent - the connection pool
 * @param call - the call
 * @returns the complete answer, or why there is none
 */
export async function callHttp(
  agent: Agent,
  call: HttpCall,
): Promise<Outcome<HttpAnswer, HttpCallFailure>> {
  return withAnswer(agent, call, async ({ statusCode, headers, body }) => {
    const bytes = await readLimited(body, call.maxBodyBytes);
    const isPacked = call.acceptsGzip && headers['content-encoding'] === 'gzip';
    const text = isPacked ? await gunzip(bytes, { maxOutputLength: call.maxBodyBytes }) : bytes;
    return { status: statusCode, headers, body: parseJson(text.toString('utf8')) };
  });
}

/**
 * Makes a call and reads the answer as bytes.
 *
 * @param agent - the connection pool
 * @param call - the call
 * @returns the answer with a `Buffer` as body, or why there is none
 */
export async function callHttpForBytes(
  agent: Agent,
  call: HttpCall,
): Promise<Outcome<HttpAnswer & { readonly body: Buffer }, HttpCallFailure>> {
  return withAnswer(agent, call, async ({ statusCode, headers, body }) => ({
    status: statusCode,
    headers,
    body: await readLimited(body, call.maxBodyBytes),
  }));
}

/**
 * Makes a call for its status and headers, and closes the connection without reading the body.
 *
 * @param agent - the connection pool
 * @param call - the call
 * @returns the answer without its body, or why there is none
 */
export async function callHttpForHeaders(
  agent: Agent,
  call: HttpCall,
): Promise<Outcome<HttpAnswer, HttpCallFailure>> {
  return withAnswer(agent, call, async ({ statusCode, headers, body }) => {
    body.on('error', () => {});
    body.destroy();
    return { status: statusCode, headers, body: undefined };
  });
}

async function withAnswer<Answer>(
  agent: Agent,
  call: HttpCall,
  read: (response: Dispatcher.ResponseData) => Promise<Answer>,
): Promise<Outcome<Answer, HttpCallFailure>> {
  if (call.signal?.aborted) return fail(CallFailure.create('unsent', 'the call was aborted'));
  const deadline = new AbortController();
  const { firstByteMs, bodyMs } = call.deadlines;
  // undici rounds its own timeouts to about a second, so separate timers enforce the deadlines.
  const startTimer = (phase: string, ms: number) =>
    setTimeout(() => deadline.abort(new Error(`no ${phase} within ${ms} ms`)), ms);
  let timer = startTimer('answer', firstByteMs);
  try {
    const response = await request(call.url, buildOptions(agent, call, deadline.signal));
    clearTimeout(timer);
    if (!isFinalStatus(response.statusCode)) {
      response.body.on('error', () => {}).destroy();
      return fail(CallFailure.create('unknown', `invalid status ${response.statusCode}`));
    }
    timer = startTimer('complete body', bodyMs);
    return succeed(await read(response));
  } catch (error) {
    return fail(toFailure(error));
  } finally {
    clearTimeout(timer);
  }
}

function buildOptions(agent: Agent, call: HttpCall, deadline: AbortSignal) {
  const signal = call.signal ? AbortSignal.any([call.signal, deadline]) : deadline;
  const options = { dispatcher: agent, method: call.method, signal };
  if (call.acceptsGzip) return { ...options, headers: { 'accept-encoding': 'gzip' } };
  if (call.body === undefined) return options;
  if (Buffer.isBuffer(call.body)) return { ...options, body: call.body };
  const headers = { 'content-type': 'application/json' };
  return { ...options, headers, body: JSON.stringify(call.body) };
}

function toFailure(error: unknown): HttpCallFailure {
  const { code, message } = error as { code?: string; message?: string };
  const reason = UNSENT_CODES.has(code ?? '') ? 'unsent' : 'unknown';
  return CallFailure.create(reason, message || (code ?? String(error)), error);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
