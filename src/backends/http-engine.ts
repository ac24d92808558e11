import type { Stream } from 'most';
import { z } from 'zod';

import { type Incarnation, formatIncarnation } from '../domain/vm.js';
import { CallFailure } from '../kernel/call-failure.js';
import { Channel } from '../kernel/channel.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { EngineLoad } from '../routing/routing.js';
import { DecodeReader } from './decode-reader.js';
import {
  Engine,
  type CacheEvent,
  type DecodeEvent,
  type EngineCall,
  type HoldFilter,
  type HoldList,
  type Order,
  type Prefill,
  type Reservation,
} from './engine.js';
import type { EngineFailure, EngineFailureReason } from './engine-failure.js';
import {
  classifyError,
  readBody,
  type ExchangeFailure,
  type HttpConnections,
  type OpenResponse,
} from './http-connections.js';
import { parseLoadHeader } from './load-header.js';
import { ProgressDeadline } from './progress-deadline.js';

const count = z.int().min(0);
const reservationSchema = z.object({ reservationId: z.string().min(1), expiresInMs: z.number() });
const prefillSchema = z.object({
  attemptId: z.string(),
  prefillId: z.string().min(1),
  promptTokens: count,
  cachedTokens: count,
  kvBytes: z.number(),
  expiresInMs: z.number(),
});
const transferSchema = z.object({ attemptId: z.string(), reservationId: z.string() });
const anySchema = z.unknown();
const holdsSchema = z.object({
  incarnation: z.string(),
  holds: z.array(
    z.object({
      requestId: z.string(),
      attemptId: z.string(),
      owner: z.object({ vm: z.string(), incarnation: z.string() }),
      kind: z.enum(['prefill', 'transfer', 'decode']),
      blocks: z.number(),
      ageMs: z.number(),
    }),
  ),
});
const loadSchema = z.object({
  slotsFree: count,
  blocksFree: count,
  queuedPrefillTokens: count,
  level: z.int().min(0).max(4),
  draining: z.union([z.boolean(), z.literal(0), z.literal(1)]).transform(Boolean),
  incarnation: z.string(),
});
const cacheEventsSchema = z.object({
  events: z.array(
    z.object({ sequence: count, kind: z.enum(['stored', 'evicted']), prefixHash: z.string() }),
  ),
});

/** Callbacks for what a client learns about its engine from calls. */
export interface EngineObserver {
  /** Called with the load that a response carried. */
  readonly onLoad: (load: EngineLoad) => void;
  /**
   * Called when a call was refused, lost or made no progress, or its response was too large;
   * `refused` is true when no connection could be opened.
   */
  readonly onFailure: (refused: boolean) => void;
  /** Called when a response or event was dropped. */
  readonly onDropped: (kind: 'foreign' | 'duplicate') => void;
}

interface EngineRequest<Value> {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly schema: z.ZodType<Value>;
  readonly progressMs: number;
  readonly signal?: AbortSignal;
  readonly traceparent?: string | undefined;
  readonly reasonByStatus?: Readonly<Record<number, EngineFailureReason>>;
  readonly maySend?: () => boolean;
}

const CAPACITY_REASONS: EngineRequest<unknown>['reasonByStatus'] = { 429: 'busy' };
const RESERVATION_REASONS: EngineRequest<unknown>['reasonByStatus'] = {
  404: 'gone',
  409: 'gone',
  429: 'busy',
};

/** HTTP client of one model engine; see docs/interfaces.md. */
export class HttpEngine extends Engine {
  private constructor(
    private readonly connections: HttpConnections,
    private readonly engineMs: number,
    private readonly observer: EngineObserver,
  ) {
    super();
  }

  /**
   * Creates a client.
   *
   * @param connections - connections to the engine
   * @param engineMs - progress deadline of calls that do not belong to a request, in milliseconds
   * @param observer - notified of loads, failures and dropped responses and events
   * @returns a new client
   */
  static create(
    connections: HttpConnections,
    engineMs: number,
    observer: EngineObserver,
  ): HttpEngine {
    return new HttpEngine(connections, engineMs, observer);
  }

  override reserve(
    call: EngineCall,
    model: string,
    blocks: number,
  ): Promise<Outcome<Reservation, EngineFailure>> {
    const body = { ...attemptFields(call), model, blocks };
    return this.post(call, '/v1/reservations', body, reservationSchema, CAPACITY_REASONS);
  }

  override async prefill(
    call: EngineCall,
    model: string,
    prompt: string,
    priority: number,
  ): Promise<Outcome<Prefill, EngineFailure>> {
    const body = { ...attemptFields(call), model, prompt, priority };
    const outcome = await this.post(call, '/v1/prefill', body, prefillSchema, CAPACITY_REASONS);
    return this.checkAttempt(call, outcome);
  }

  override async transfer(
    call: EngineCall,
    reservationId: string,
    prefillId: string,
    source: string,
  ): Promise<Outcome<void, EngineFailure>> {
    const body = { ...attemptFields(call), reservationId, prefillId, source };
    const outcome = await this.post(
      call,
      '/v1/transfers',
      body,
      transferSchema,
      RESERVATION_REASONS,
    );
    return discardValue(this.checkAttempt(call, outcome));
  }

  override decode(
    call: EngineCall,
    reservationId: string,
    maxTokens: number,
    fromIndex: number,
  ): Stream<DecodeEvent> {
    const channel = Channel.create<DecodeEvent>();
    const body = { ...attemptFields(call), reservationId, maxTokens, fromIndex };
    void this.readDecode(call, body, channel);
    return channel.stream();
  }

  override async cancel(
    attemptId: string,
    owner: Incarnation,
  ): Promise<Outcome<void, EngineFailure>> {
    const path = `/v1/attempts/${encodeURIComponent(attemptId)}/cancel`;
    const body = { owner: { vm: owner.vm, incarnation: owner.incarnation } };
    const send = { method: 'POST', path, body, schema: anySchema } as const;
    return discardValue(await this.send({ ...send, progressMs: this.engineMs }));
  }

  override async holds(filter?: HoldFilter): Promise<Outcome<HoldList, EngineFailure>> {
    if (!filter) return this.get('/v1/holds', holdsSchema);
    const outcome = await this.get(`/v1/holds?${formatFilter(filter)}`, holdsSchema);
    const refused = outcome.kind === 'failed' && outcome.failure.reason === 'rejected';
    // An engine that does not support the filter may reject the query instead of ignoring it.
    return refused ? this.holds() : outcome;
  }

  override async load(): Promise<Outcome<EngineLoad, EngineFailure>> {
    return this.get('/v1/load', loadSchema);
  }

  override async cacheEvents(
    after: number,
  ): Promise<Outcome<readonly CacheEvent[], EngineFailure>> {
    const outcome = await this.get(`/v1/cache-events?after=${after}`, cacheEventsSchema);
    return outcome.kind === 'ok' ? succeed(outcome.value.events) : outcome;
  }

  override async order(
    order: Order,
    maySend: () => boolean,
  ): Promise<Outcome<void, EngineFailure>> {
    const send = { method: 'POST', path: '/v1/orders', body: order, schema: anySchema } as const;
    return discardValue(await this.send({ ...send, maySend, progressMs: this.engineMs }));
  }

  private get<Value>(
    path: string,
    schema: z.ZodType<Value>,
  ): Promise<Outcome<Value, EngineFailure>> {
    return this.send({ method: 'GET', path, schema, progressMs: this.engineMs });
  }

  private post<Value>(
    call: EngineCall,
    path: string,
    body: unknown,
    schema: z.ZodType<Value>,
    reasonByStatus: EngineRequest<unknown>['reasonByStatus'],
  ): Promise<Outcome<Value, EngineFailure>> {
    const { signal, traceparent, progressMs } = call;
    const options = { schema, reasonByStatus, signal, traceparent, progressMs };
    return this.send({ method: 'POST', path, body, ...options });
  }

  private async send<Value>(request: EngineRequest<Value>): Promise<Outcome<Value, EngineFailure>> {
    const deadline = ProgressDeadline.create(request.progressMs, request.signal);
    try {
      return await this.exchange(request, deadline);
    } finally {
      deadline.clear();
    }
  }

  private async exchange<Value>(
    request: EngineRequest<Value>,
    deadline: ProgressDeadline,
  ): Promise<Outcome<Value, EngineFailure>> {
    const opened = await this.openResponse(request, deadline);
    if (opened.kind === 'failed') return opened;
    const body = await readBody(opened.value, deadline);
    if (body.kind === 'failed') return fail(this.reportFailure(request.path, body.failure));
    const { status } = opened.value;
    if (status !== 200) return fail(createStatusFailure(request, status));
    return parseResponse(request, body.value);
  }

  private async openResponse(
    request: Omit<EngineRequest<unknown>, 'schema'>,
    deadline: ProgressDeadline,
  ): Promise<Outcome<OpenResponse, EngineFailure>> {
    const { method, path, body, traceparent, maySend } = request;
    const headers: Record<string, string> = traceparent ? { traceparent } : {};
    if (body !== undefined) headers['content-type'] = 'application/json';
    const text = body === undefined ? undefined : JSON.stringify(body);
    const exchange = { method, path, headers, body: text, deadline, maySend };
    const opened = await this.connections.open(exchange);
    if (opened.kind === 'failed') return fail(this.reportFailure(path, opened.failure));
    const load = parseLoadHeader(opened.value.headers['x-engine-load']);
    if (load) this.observer.onLoad(load);
    return opened;
  }

  private async readDecode(
    call: EngineCall,
    body: unknown,
    channel: Channel<DecodeEvent>,
  ): Promise<void> {
    const deadline = ProgressDeadline.create(call.progressMs, call.signal);
    const request = {
      method: 'POST',
      path: '/v1/decode',
      body,
      reasonByStatus: RESERVATION_REASONS,
    } as const;
    try {
      const { traceparent, progressMs } = call;
      const opened = await this.openResponse({ ...request, traceparent, progressMs }, deadline);
      const failure = await this.findFailure(request, opened, deadline);
      if (failure) channel.push({ kind: 'failed', failure });
      else if (opened.kind === 'ok')
        await this.readStream(call, body, opened.value, deadline, channel);
    } finally {
      deadline.clear();
      channel.end();
    }
  }

  private async findFailure(
    request: Pick<EngineRequest<unknown>, 'path' | 'reasonByStatus'>,
    opened: Outcome<OpenResponse, EngineFailure>,
    deadline: ProgressDeadline,
  ): Promise<EngineFailure | undefined> {
    if (opened.kind === 'failed') return opened.failure;
    if (opened.value.status === 200) return undefined;
    await readBody(opened.value, deadline);
    return createStatusFailure(request, opened.value.status);
  }

  private async readStream(
    call: EngineCall,
    body: unknown,
    response: OpenResponse,
    deadline: ProgressDeadline,
    channel: Channel<DecodeEvent>,
  ): Promise<void> {
    const { fromIndex } = body as { fromIndex: number };
    const reader = DecodeReader.create(call.attemptId, fromIndex, this.observer.onDropped);
    const decoder = new TextDecoder();
    try {
      for await (const chunk of response.body) {
        const events = reader.read(decoder.decode(chunk, { stream: true }));
        // Dropped events, such as those of other attempts, do not extend the deadline.
        if (events.length > 0) deadline.extend();
        events.forEach((event) => channel.push(event));
        if (events.at(-1)?.kind === 'failed') break;
      }
      reader.close().forEach((event) => channel.push(event));
    } catch (error) {
      if (reader.ended) return;
      const failure = this.reportFailure('/v1/decode', classifyError(error, deadline));
      channel.push({ kind: 'failed', failure });
    }
  }

  private checkAttempt<Value extends { readonly attemptId: string }>(
    call: EngineCall,
    outcome: Outcome<Value, EngineFailure>,
  ): Outcome<Value, EngineFailure> {
    if (outcome.kind === 'failed' || outcome.value.attemptId === call.attemptId) return outcome;
    this.observer.onDropped('foreign');
    return fail(CallFailure.create('broken', 'response belongs to another attempt'));
  }

  private reportFailure(path: string, failure: ExchangeFailure): EngineFailure {
    const reason = failure === 'too-large' ? 'broken' : failure;
    if (reason !== 'cancelled') this.observer.onFailure(reason === 'refused');
    return CallFailure.create(reason, `${path}: ${failure}`);
  }
}

function attemptFields(call: EngineCall): Record<string, unknown> {
  const { requestId, attemptId, owner, team } = call;
  const { vm, incarnation } = owner;
  return { requestId, attemptId, owner: { vm, incarnation }, team };
}

function formatFilter({ idleMs, gone }: HoldFilter): string {
  const query = new URLSearchParams({ idleMs: String(idleMs) });
  gone.forEach((owner) => query.append('gone', formatIncarnation(owner)));
  return query.toString();
}

function createStatusFailure(
  request: Pick<EngineRequest<unknown>, 'path' | 'reasonByStatus'>,
  status: number,
): EngineFailure {
  const reason = request.reasonByStatus?.[status] ?? 'rejected';
  return CallFailure.create(reason, `${request.path}: status ${status}`);
}

function parseResponse<Value>(
  request: EngineRequest<Value>,
  body: Buffer,
): Outcome<Value, EngineFailure> {
  try {
    return succeed(request.schema.parse(JSON.parse(body.toString('utf8'))));
  } catch {
    return fail(CallFailure.create('broken', `${request.path}: malformed response`));
  }
}

function discardValue<Failure>(outcome: Outcome<unknown, Failure>): Outcome<void, Failure> {
  return outcome.kind === 'ok' ? succeed(undefined) : outcome;
}
