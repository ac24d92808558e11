import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ConfigurationState, Identity } from '../configuration/configuration.js';
import { Refusal } from '../domain/refusal.js';
import type { ModelRequest } from '../domain/request.js';
import type { Route } from '../domain/route.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import { ConnectionPacer } from '../pacing/connection-pacer.js';
import type { Settings } from '../settings/schema.js';
import { CallerListener } from './caller-listener.js';
import { CallerRequest } from './caller-request.js';
import {
  chooseMaxTokens,
  estimatePromptTokens,
  parseCompletion,
  type CompletionBody,
  type CompletionKind,
} from './completion-body.js';
import { chooseEntryAddresses } from './entry-addresses.js';
import { ClientErrorHandler } from './client-error-handler.js';
import { checkContentLength, readBody } from './request-body.js';
import { OpenResponses } from './open-responses.js';
import { isUnambiguousPath, matchRoute } from './route-match.js';
import { StreamedAnswer } from './streamed-answer.js';
import { BufferedAnswer } from './buffered-answer.js';

const COMPLETION_KINDS: ReadonlyMap<string, CompletionKind> = new Map([
  ['/v1/chat/completions', 'chat'],
  ['/v1/completions', 'text'],
]);

const ENTRY_ADDRESSES_PATH = '/v1/entry-addresses';

/** Time after which an idle caller connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;

/** Maximum wait of a request for the first lease, in milliseconds; a heartbeat round takes 1 s. */
const FIRST_LEASE_TIMEOUT_MS = 2000;

const LEASE_POLL_INTERVAL_MS = 20;

/** Interval at which a daemon that shuts down checks for requests in progress, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 20;

/** Serves callers over HTTP/1.1; see docs/design.md, section 8. */
export class HttpCallerListener extends CallerListener {
  private readonly server: Server;

  private readonly openResponses = OpenResponses.create();

  private readonly clientErrors = ClientErrorHandler.create(this.openResponses);

  private activeRequests = 0;

  private drainStartMs: number | undefined;

  private hasHeldLease = false;

  private constructor(
    private readonly kernel: Kernel,
    private readonly settings: Settings,
    private readonly clock: Clock,
  ) {
    super();
    const { headerBytes, bodyMs, callerConnections } = settings.limits;
    this.server = createServer(
      {
        maxHeaderSize: headerBytes,
        headersTimeout: bodyMs,
        requestTimeout: bodyMs * 2,
        keepAliveTimeout: KEEP_ALIVE_MS,
        connectionsCheckingInterval: 1000,
      },
      (incoming, response) => {
        void this.serve(incoming, response);
      },
    );
    this.server.maxConnections = callerConnections;
    const onPace = (waiting: number, waits: number) => {
      kernel.find('metrics').increment('reads.stopped', {}, waits);
      kernel
        .find('logs')
        .info('connections that take much processor time wait to be read', { waiting, waits });
    };
    ConnectionPacer.create(clock, onPace).attach(this.server);
    this.server.on('clientError', (error, socket) =>
      this.clientErrors.refuse(error, socket as Socket),
    );
  }

  /**
   * Creates the service.
   *
   * @param kernel - locates the other services
   * @param settings - address to listen on and limits
   * @param clock - measures arrivals, drains and waits
   * @returns a new service
   */
  static create(kernel: Kernel, settings: Settings, clock: Clock): HttpCallerListener {
    return new HttpCallerListener(kernel, settings, clock);
  }

  override start(): Promise<void> {
    const { host, port } = this.settings.callers;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  override async stop(): Promise<void> {
    this.drain();
    const deadlineMs = this.clock.monotonicMs() + this.settings.timeouts.shutdownMs;
    // Callers cache the response of /v1/entry-addresses, so they are served until it has expired.
    await this.clock.sleep(this.settings.entryAddresses.validForMs);
    const closed = new Promise((resolve) => {
      this.server.close(resolve);
    });
    while (this.activeRequests > 0 && this.clock.monotonicMs() < deadlineMs) {
      await this.clock.sleep(DRAIN_POLL_INTERVAL_MS);
    }
    this.server.closeAllConnections();
    await closed;
  }

  override drain(): void {
    this.drainStartMs ??= this.clock.monotonicMs();
  }

  override active(): number {
    return this.activeRequests;
  }

  override unreadyReason(): string | undefined {
    if (this.drainStartMs !== undefined) return 'draining';
    if (!this.kernel.find('configuration').current()) return 'no configuration';
    if (!this.kernel.find('membership').leaseLive()) return 'isolated';
    return undefined;
  }

  private async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const span = this.kernel.find('traces').startSpan('entry', readTraceparent(incoming));
    const request = CallerRequest.create(incoming, response, span, this.clock.monotonicMs());
    request.disconnectWhenStalled(this.settings.limits.bodyMs);
    if (this.drainStartMs !== undefined) response.setHeader('connection', 'close');
    if (!this.openResponses.track(incoming, response)) {
      this.kernel.find('metrics').increment('connections.refused', { reason: 'requests' });
      this.kernel.find('logs').debug('closed a connection with too many unanswered requests');
      incoming.socket.destroy();
      return;
    }
    this.activeRequests += 1;
    response.on('close', () => {
      this.activeRequests -= 1;
    });
    if (!(await this.openResponses.takeTurn(incoming, response))) return;
    const refusal = await this.handle(request);
    if (!refusal) return;
    this.recordRefusal(request, refusal);
    request.refuse(refusal);
  }

  private async handle(request: CallerRequest): Promise<Refusal | undefined> {
    if (request.path === '/healthz') return request.sendJson(200, { live: true });
    if (request.path === '/readyz') return this.sendReadiness(request);
    if (!isUnambiguousPath(request.path)) {
      return Refusal.create(
        'request_malformed',
        'the path has dot segments, empty segments or encoded separators',
      );
    }
    const configuration = this.kernel.find('configuration').current();
    if (!configuration) {
      return Refusal.create('not_ready', 'no configuration yet', { retryAfterMs: 1000 });
    }
    const tooLarge = checkContentLength(request.incoming, this.settings.limits);
    if (tooLarge) return tooLarge;
    if (request.path === ENTRY_ADDRESSES_PATH) return this.handleEntryAddresses(request);
    const kind = COMPLETION_KINDS.get(request.path);
    if (kind) return this.handleCompletion(request, kind, configuration);
    const route = matchRoute(configuration.routes, request.path);
    if (route) return this.handleService(request, route);
    return Refusal.create('route_unknown', 'no route for this path');
  }

  private handleEntryAddresses(request: CallerRequest): Refusal | undefined {
    if (request.method !== 'GET') return refuseMethod(['GET']);
    const { authorization } = request.incoming.headers;
    let homes: readonly string[] = [];
    if (authorization !== undefined) {
      const identity = this.kernel.find('configuration').authenticate(authorization);
      if (identity.kind === 'failed') return identity.failure;
      homes = this.kernel.find('admission').homes(identity.value.team);
    }
    const membership = this.kernel.find('membership');
    const addresses = chooseEntryAddresses({
      self: membership.self(),
      selfReady: this.unreadyReason() === undefined,
      others: membership.statuses(),
      unreachable: ({ peers }) => this.kernel.find('peers').unreachable(peers),
      homes,
      count: this.settings.entryAddresses.count,
    });
    const { validForMs } = this.settings.entryAddresses;
    return request.sendJson(200, { addresses, validForMs });
  }

  private async handleCompletion(
    request: CallerRequest,
    kind: CompletionKind,
    configuration: ConfigurationState,
  ): Promise<Refusal | undefined> {
    if (request.method !== 'POST') return refuseMethod(['POST']);
    const identity = await this.identify(request);
    if (identity.kind === 'failed') return identity.failure;
    const body = await readBody(request.incoming, this.settings.limits);
    if (body.kind === 'failed') return body.failure;
    const parsed = parseCompletion(kind, body.value);
    if (parsed.kind === 'failed') return parsed.failure;
    const model = configuration.models.get(parsed.value.model);
    if (!model) return Refusal.create('model_unknown', 'no such model');
    const maxTokens = chooseMaxTokens(parsed.value.maxTokens, model);
    if (maxTokens.kind === 'failed') return maxTokens.failure;
    return this.runCompletion(request, kind, parsed.value, {
      requestId: request.requestId,
      ...identity.value,
      model: model.name,
      prompt: parsed.value.prompt,
      promptTokens: estimatePromptTokens(parsed.value.prompt, model),
      maxTokens: maxTokens.value,
      fingerprint: CallerRequest.fingerprint(identity.value.team, body.value),
      arrivedMs: request.arrivedMs,
      traceparent: request.span.traceparent,
    });
  }

  private async runCompletion(
    request: CallerRequest,
    kind: CompletionKind,
    body: CompletionBody,
    model: ModelRequest,
  ): Promise<Refusal | undefined> {
    const answer = await this.kernel.find('model-execution').run(model, request.signal);
    if (answer.kind === 'failed') return answer.failure;
    const createdS = Math.floor(this.clock.wallMs() / 1000);
    const metadata = { requestId: request.requestId, model: model.model, kind, createdS };
    const writer = body.stream
      ? StreamedAnswer.create(request.response, metadata, this.settings.limits.callerBufferBytes)
      : BufferedAnswer.create(request.response, metadata);
    const result = await writer.write(answer.value);
    this.kernel.find('metrics').increment('answers', { result });
    request.span.end({ outcome: result });
    return undefined;
  }

  private async handleService(request: CallerRequest, route: Route): Promise<Refusal | undefined> {
    if (!route.methods.includes(request.method)) return refuseMethod(route.methods);
    const identity = route.open ? succeed(undefined) : await this.identify(request);
    if (identity.kind === 'failed') return identity.failure;
    const body = await readBody(request.incoming, this.settings.limits);
    if (body.kind === 'failed') return body.failure;
    const { incoming } = request;
    const answer = await this.kernel.find('service-execution').run(
      {
        requestId: request.requestId,
        team: identity.value?.team,
        keyId: identity.value?.keyId,
        route: route.path,
        method: request.method,
        target: incoming.url ?? '/',
        headers: request.forwardedHeaders(),
        body: body.value,
        idempotencyKey: readHeader(incoming, 'idempotency-key'),
        fingerprint: CallerRequest.fingerprint(identity.value?.team, body.value),
        arrivedMs: request.arrivedMs,
        traceparent: request.span.traceparent,
      },
      route,
      request.signal,
    );
    if (answer.kind === 'failed') return answer.failure;
    const { status, headers, body: content, replayed } = answer.value;
    request.response.writeHead(status, {
      ...headers,
      'content-length': `${content.length}`,
      ...(replayed ? { 'x-cuminspar-replayed': 'true' } : {}),
    });
    request.response.end(content);
    request.span.end({ outcome: String(status), replayed });
    return undefined;
  }

  private async identify(request: CallerRequest): Promise<Outcome<Identity, Refusal>> {
    if (!(await this.waitForLease())) {
      return fail(
        Refusal.create(
          'isolated',
          'this VM is in contact with too few of its peers; use another VM',
          {
            retryAfterMs: 1000,
          },
        ),
      );
    }
    return this.kernel
      .find('configuration')
      .authenticate(readHeader(request.incoming, 'authorization'));
  }

  /**
   * Waits for the first lease, because other VMs list a new member as an entry address before its
   * first heartbeats are answered. Does not wait when a lease has expired: team keys may have
   * been withdrawn since.
   */
  private async waitForLease(): Promise<boolean> {
    const membership = this.kernel.find('membership');
    const deadlineMs = this.clock.monotonicMs() + FIRST_LEASE_TIMEOUT_MS;
    while (!this.hasHeldLease && !membership.leaseLive() && this.clock.monotonicMs() < deadlineMs) {
      await this.clock.sleep(LEASE_POLL_INTERVAL_MS);
    }
    const isLive = membership.leaseLive();
    this.hasHeldLease ||= isLive;
    return isLive;
  }

  private sendReadiness(request: CallerRequest): undefined {
    const reason = this.unreadyReason();
    return request.sendJson(
      reason ? 503 : 200,
      reason ? { ready: false, reason } : { ready: true },
    );
  }

  private recordRefusal(request: CallerRequest, refusal: Refusal): void {
    const { code, run } = refusal;
    this.kernel.find('metrics').increment('refusals', { code });
    this.kernel.find('decisions').record({
      requestId: request.requestId,
      step: 'refusal',
      choice: code,
      reason: refusal.message,
      facts: { run },
    });
    this.kernel
      .find('logs')
      .debug('request refused', { requestId: request.requestId, code, run, path: request.path });
  }
}

function readHeader(incoming: IncomingMessage, name: string): string | undefined {
  const value = incoming.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function readTraceparent(incoming: IncomingMessage): string | undefined {
  return readHeader(incoming, 'traceparent');
}

function refuseMethod(allowed: readonly string[]): Refusal {
  return Refusal.create('method_not_allowed', `allowed methods: ${allowed.join(', ')}`);
}
