import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import { readBody, type ExchangeFailure, type HttpConnections } from './http-connections.js';
import { PlainFailure } from './plain-failure.js';
import { PlainService, type PlainCall, type PlainResponse } from './plain-service.js';
import { ProgressDeadline } from './progress-deadline.js';

/** Callbacks for what a client learns about its plain server from calls. */
export interface PlainObserver {
  /** Called when a response asked for no more work. */
  readonly onDraining: () => void;
  /**
   * Called when a call was refused, lost or timed out, or its response was too large; `refused`
   * is true when no connection could be opened.
   */
  readonly onFailure: (refused: boolean) => void;
}

const FAILURE_REASONS: Readonly<Record<ExchangeFailure, PlainFailure['reason']>> = {
  refused: 'refused',
  broken: 'broken',
  silent: 'timeout',
  cancelled: 'cancelled',
  'too-large': 'broken',
};

/** HTTP client of one plain server. */
export class HttpPlainService extends PlainService {
  private constructor(
    private readonly connections: HttpConnections,
    private readonly observer: PlainObserver,
  ) {
    super();
  }

  /**
   * Creates a client.
   *
   * @param connections - connections to the server
   * @param observer - notified of draining and failures
   * @returns a new client
   */
  static create(connections: HttpConnections, observer: PlainObserver): HttpPlainService {
    return new HttpPlainService(connections, observer);
  }

  override async send(call: PlainCall): Promise<Outcome<PlainResponse, PlainFailure>> {
    const deadline = ProgressDeadline.createTotal(call.timeoutMs, call.signal);
    try {
      return await this.exchange(call, deadline);
    } finally {
      deadline.clear();
    }
  }

  private async exchange(
    call: PlainCall,
    deadline: ProgressDeadline,
  ): Promise<Outcome<PlainResponse, PlainFailure>> {
    const opened = await this.connections.open({
      method: call.method,
      path: call.target,
      headers: selectHeaders(call.headers),
      body: call.body.length > 0 ? call.body : undefined,
      deadline,
    });
    if (opened.kind === 'failed') return fail(this.reportFailure(opened.failure));
    const response = opened.value;
    const body = await readBody(response, deadline);
    if (body.kind === 'failed') return fail(this.reportFailure(body.failure));
    const draining = response.headers['x-draining'] === '1';
    if (draining) this.observer.onDraining();
    const headers = selectHeaders(response.headers);
    return succeed({ status: response.status, headers, body: body.value, draining });
  }

  private reportFailure(failure: ExchangeFailure): PlainFailure {
    if (failure !== 'cancelled') this.observer.onFailure(failure === 'refused');
    return PlainFailure.create(
      FAILURE_REASONS[failure],
      failure !== 'refused',
      `call to plain server: ${failure}`,
    );
  }
}

// Framing headers apply to one connection only, and the key must never reach a backend server.
const DROPPED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
]);

function selectHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
  const kept = Object.entries(headers).filter(([name]) => !DROPPED_HEADERS.has(name.toLowerCase()));
  return Object.fromEntries(kept);
}
