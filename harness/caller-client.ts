import { request } from 'undici';

import type { Address } from '../src/domain/vm.js';

/** An answer as a caller receives it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  /** Text of a completion or body of a service answer. */
  readonly text: string;
  /** Error code of a refusal, in the body or in an error event that ends a stream. */
  readonly code: string | undefined;
  readonly run: string | undefined;
  readonly requestId: string;
  /** Number of received tokens. */
  readonly tokens: number;
  /** True when the answer was received up to its end. */
  readonly complete: boolean;
  /** Time to the first token, in milliseconds; undefined when there was none. */
  readonly firstTokenMs: number | undefined;
  /** Maximum time between two tokens, in milliseconds. */
  readonly longestGapMs: number;
  readonly elapsedMs: number;
}

/** A request to a plain service. */
export interface ServiceCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly key?: string;
  readonly body?: string;
  readonly idempotencyKey?: string;
  readonly signal?: AbortSignal;
}

/** A completion request. */
export interface CompletionCall {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly key?: string;
  readonly stream?: boolean;
  readonly signal?: AbortSignal;
  /** Called for each token of a stream, with the number of tokens so far. */
  readonly onToken?: (count: number) => void;
}

interface RefusalBody {
  readonly error?: { readonly code?: string; readonly run?: string };
}

interface CompletionChunk extends RefusalBody {
  readonly choices?: readonly { readonly text?: string; readonly finish_reason?: string | null }[];
}

/** Maximum wait for the headers of an answer and between chunks of its body, in milliseconds. */
const TIMEOUT_MS = 30_000;

/**
 * Sends a request to a plain service through a daemon.
 *
 * @param address - the daemon's listener for callers
 * @param call - the request
 * @returns the answer; rejects when the connection breaks
 */
export async function callService(address: Address, call: ServiceCall): Promise<CallerAnswer> {
  const startMs = performance.now();
  const response = await request(`${baseUrl(address)}${call.path}`, {
    method: call.method,
    body: call.body,
    signal: call.signal,
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
    reset: true,
    headers: {
      ...buildAuthorization(call.key),
      ...(call.idempotencyKey ? { 'idempotency-key': call.idempotencyKey } : {}),
    },
  });
  const text = await response.body.text();
  return buildAnswer(response, text, startMs, { complete: true });
}

/**
 * Requests a completion through a daemon.
 *
 * @param address - the daemon's listener for callers
 * @param call - the request
 * @returns the answer; rejects when the connection breaks
 */
export async function callCompletion(
  address: Address,
  call: CompletionCall,
): Promise<CallerAnswer> {
  const startMs = performance.now();
  const response = await request(`${baseUrl(address)}/v1/completions`, {
    method: 'POST',
    signal: call.signal,
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
    reset: true,
    headers: { ...buildAuthorization(call.key), 'content-type': 'application/json' },
    body: JSON.stringify({
      model: call.model,
      prompt: call.prompt,
      max_tokens: call.maxTokens,
      stream: call.stream ?? false,
    }),
  });
  const streamed = String(response.headers['content-type']).startsWith('text/event-stream');
  if (!streamed) {
    const text = await response.body.text();
    const completion = response.statusCode === 200 ? parseCompletionText(text) : text;
    return buildAnswer(response, completion, startMs, { complete: response.statusCode === 200 });
  }
  return readStream(response, startMs, call.onToken);
}

type Response = Awaited<ReturnType<typeof request>>;

/** State of a stream that is being read. */
interface StreamProgress {
  text: string;
  tokens: number;
  complete: boolean;
  firstTokenMs: number | undefined;
  longestGapMs: number;
  lastTokenMs: number;
  refusal: RefusalBody | undefined;
}

async function readStream(
  response: Response,
  startMs: number,
  onToken: ((count: number) => void) | undefined,
): Promise<CallerAnswer> {
  const progress: StreamProgress = {
    ...{
      text: '',
      tokens: 0,
      complete: false,
      firstTokenMs: undefined,
      longestGapMs: 0,
      lastTokenMs: 0,
    },
    refusal: undefined,
  };
  const readLine = (line: string) => {
    const { tokens } = progress;
    applyEvent(progress, line.slice('data: '.length), startMs);
    if (progress.tokens > tokens) onToken?.(progress.tokens);
  };
  let rest = '';
  for await (const piece of response.body.setEncoding('utf8')) {
    const lines = (rest + String(piece)).split('\n');
    rest = lines.pop() ?? '';
    lines.filter((line) => line.startsWith('data: ')).forEach(readLine);
  }
  const { text, tokens, complete, firstTokenMs, longestGapMs, refusal } = progress;
  return {
    ...buildAnswer(response, text, startMs, { complete, refusal }),
    ...{ tokens, firstTokenMs, longestGapMs },
  };
}

/** Applies the data of one server-sent event to the progress. */
function applyEvent(progress: StreamProgress, data: string, startMs: number): void {
  if (data === '[DONE]') {
    Object.assign(progress, { complete: true });
    return;
  }
  const chunk = JSON.parse(data) as CompletionChunk;
  const text = chunk.choices?.[0]?.text ?? '';
  if (chunk.error) Object.assign(progress, { refusal: chunk });
  if (text === '') return;
  const nowMs = performance.now();
  const gapMs = progress.tokens === 0 ? 0 : nowMs - progress.lastTokenMs;
  Object.assign(progress, {
    text: progress.text + text,
    tokens: progress.tokens + 1,
    firstTokenMs: progress.firstTokenMs ?? nowMs - startMs,
    longestGapMs: Math.max(progress.longestGapMs, gapMs),
    lastTokenMs: nowMs,
  });
}

function buildAnswer(
  response: Response,
  text: string,
  startMs: number,
  end: { complete: boolean; refusal?: RefusalBody | undefined },
): CallerAnswer {
  const run = response.headers['x-cuminspar-run'];
  const refusal =
    end.refusal ?? (run === undefined ? undefined : (JSON.parse(text) as RefusalBody));
  return {
    status: response.statusCode,
    headers: response.headers,
    text,
    code: refusal?.error?.code,
    run: refusal?.error?.run,
    requestId: String(response.headers['x-request-id'] ?? ''),
    tokens: 0,
    complete: end.complete,
    firstTokenMs: undefined,
    longestGapMs: 0,
    elapsedMs: performance.now() - startMs,
  };
}

function parseCompletionText(text: string): string {
  return (JSON.parse(text) as CompletionChunk).choices?.[0]?.text ?? '';
}

function buildAuthorization(key: string | undefined): Record<string, string> {
  return key ? { authorization: `Bearer ${key}` } : {};
}

function baseUrl(address: Address): string {
  return `http://${address.host}:${address.port}`;
}
