import type { Agent } from 'undici';
import { z } from 'zod';

import { CallFailure } from '../kernel/call-failure.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import {
  buildDeadlines,
  callHttp,
  createAgent,
  type HttpAnswer,
  type HttpCallFailure,
  type HttpDeadlines,
} from './http-call.js';
import { BodyTooLarge } from './limited-body.js';
import type { LogFailure } from './log-failure.js';
import { LogService, type LogPage, type LogQuery } from './log-service.js';
import { UrlRotation } from './url-rotation.js';

/** Largest accepted page of records, in bytes; several streams are read at once on a VM of 200 MB. */
const MAX_PAGE_BYTES = 8_388_608;

/** Largest accepted answer to an append, in bytes. */
const MAX_APPEND_ANSWER_BYTES = 65_536;

/** Factor by which the number of records of a page falls after one that was too large. */
const PAGE_SHRINK_FACTOR = 4;

const appendSchema = z.object({ firstOffset: z.int().positive() });
const pageSchema = z.object({
  records: z.array(
    z.object({ offset: z.int().positive(), timestampMs: z.number(), data: z.string() }),
  ),
  endOffset: z.int().nonnegative(),
  earliestOffset: z.int().nonnegative(),
});

/** Locations of the log service and timeouts of calls. */
export interface HttpLogServiceOptions {
  /** Equivalent URLs of the log service, at least one. */
  readonly urls: readonly string[];
  /** Timeout for an answer and again for its body, in milliseconds. */
  readonly timeoutMs: number;
  /** Timeout for connecting, in milliseconds; half of `timeoutMs` when absent. */
  readonly connectMs?: number;
}

/** Log service over HTTP. Calls are not retried; that is left to the caller. */
export class HttpLogService extends LogService {
  private readonly readUrls: UrlRotation;

  private readonly appendUrls: UrlRotation;

  private agent: Agent;

  private readonly stopping = new AbortController();

  /** Maximum number of records of a page; lower after a page that was too large. */
  private maxRecords = Infinity;

  private constructor(
    urls: readonly string[],
    private readonly deadlines: HttpDeadlines,
  ) {
    super();
    this.readUrls = UrlRotation.create(urls);
    this.appendUrls = UrlRotation.create(urls);
    this.agent = createAgent(deadlines, MAX_PAGE_BYTES);
  }

  /**
   * Creates an adapter without open connections.
   *
   * @param options - URLs and timeouts
   * @returns a new adapter
   */
  static create(options: HttpLogServiceOptions): HttpLogService {
    const { urls, timeoutMs, connectMs } = options;
    return new HttpLogService(urls, buildDeadlines(timeoutMs, connectMs));
  }

  override async append(
    stream: string,
    records: readonly string[],
  ): Promise<Outcome<number, LogFailure>> {
    const base = this.appendUrls.current();
    const answer = await callHttp(this.agent, {
      method: 'POST',
      maxBodyBytes: MAX_APPEND_ANSWER_BYTES,
      url: buildUrl(base, stream),
      body: { records },
      deadlines: this.deadlines,
      signal: this.stopping.signal,
    });
    if (answer.kind === 'failed') this.replaceConnections(answer.failure);
    const outcome =
      answer.kind === 'ok' ? parseAppendAnswer(answer.value) : toAppendFailure(answer.failure);
    const isDown = outcome.kind === 'failed' && outcome.failure.reason === 'unavailable';
    if (isDown) this.appendUrls.markFailed(base);
    return outcome;
  }

  override async read(query: LogQuery): Promise<Outcome<LogPage, LogFailure>> {
    const base = this.readUrls.current();
    const { stream, from, limit, waitMs, signal } = query;
    const { firstByteMs } = this.deadlines;
    const records = Math.min(limit, this.maxRecords);
    const stop = this.stopping.signal;
    const answer = await callHttp(this.agent, {
      method: 'GET',
      url: `${buildUrl(base, stream)}?from=${from}&limit=${records}&waitMs=${waitMs}`,
      maxBodyBytes: MAX_PAGE_BYTES,
      deadlines: { ...this.deadlines, firstByteMs: firstByteMs + waitMs },
      signal: signal ? AbortSignal.any([signal, stop]) : stop,
    });
    if (answer.kind === 'failed' && !signal?.aborted) this.replaceConnections(answer.failure);
    this.adaptPageSize(records, answer);
    const outcome = parseReadAnswer(answer);
    if (outcome.kind === 'failed' && !signal?.aborted) this.readUrls.markFailed(base);
    return outcome;
  }

  /** Asks for fewer records after a page that was too large, and for more again after a good one. */
  private adaptPageSize(records: number, answer: Outcome<HttpAnswer, HttpCallFailure>): void {
    if (answer.kind === 'ok') this.maxRecords *= 2;
    else if (answer.failure.cause instanceof BodyTooLarge)
      this.maxRecords = Math.max(1, Math.floor(records / PAGE_SHRINK_FACTOR));
  }

  /**
   * Replaces the connections after a call that failed on an open one: the fault probably affects the
   * others too, so the idle ones are not reused. Calls in progress on them end normally or at their
   * deadlines.
   */
  private replaceConnections(failure: HttpCallFailure): void {
    if (failure.reason === 'unsent' || this.stopping.signal.aborted) return;
    const replaced = this.agent;
    this.agent = createAgent(this.deadlines, MAX_PAGE_BYTES);
    replaced.close().catch(() => undefined);
  }

  override async stop(): Promise<void> {
    this.stopping.abort(new Error('the log service adapter was stopped'));
    await this.agent.destroy();
  }
}

function buildUrl(base: string, stream: string): string {
  return `${base}/v1/streams/${encodeURIComponent(stream)}/records`;
}

function parseAppendAnswer({ status, body }: HttpAnswer): Outcome<number, LogFailure> {
  const parsed = appendSchema.safeParse(body);
  if (status === 200 && parsed.success) return succeed(parsed.data.firstOffset);
  if (status === 429)
    return fail(
      CallFailure.create(
        'throttled',
        'the log service refused an append with status 429: append rate exceeded',
      ),
    );
  const hadNoEffect = status === 503 || (status >= 400 && status < 500);
  const reason = hadNoEffect ? 'unavailable' : 'unknown';
  return fail(
    CallFailure.create(reason, `the log service answered an append with status ${status}`),
  );
}

function toAppendFailure(failure: HttpCallFailure): Outcome<number, LogFailure> {
  const reason = failure.reason === 'unsent' ? 'unavailable' : 'unknown';
  return fail(CallFailure.create(reason, failure.message));
}

function parseReadAnswer(
  answer: Outcome<HttpAnswer, HttpCallFailure>,
): Outcome<LogPage, LogFailure> {
  if (answer.kind === 'failed') {
    return fail(CallFailure.create('unavailable', answer.failure.message));
  }
  const { status, body } = answer.value;
  const page = pageSchema.safeParse(body);
  if (status === 200 && page.success) return succeed(page.data);
  const reason = status === 429 ? 'throttled' : 'unavailable';
  return fail(CallFailure.create(reason, `the log service answered a read with status ${status}`));
}
