import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import { readBody, type ExchangeFailure, type HttpConnections } from './http-connections.js';
import { PlainFailure } from './plain-failure.js';
import { PlainService, type PlainCall, type PlainResponse } from './plain-service.js';
import { ProgressDeadline } from './progress-deadline.js';

/** What a client of a plain server tells about its answers. */
export interface PlainObserver {
  /** Called when the server asked for no more work. */
  readonly onDraining: () => void;
  /** Called when a call was refused, lost or timed out. */
  readonly onFailure: (died: boolean) => void;
}

const FAILURE_REASONS: Readonly<Record<ExchangeFailure, PlainFailure['reason']>> = {
  refused: 'refused',
  broken: 'broken',
  silent: 'timeout',
  cancelled: 'cancelled',
  'too-large': 'broken',
};

/** Client of one plain server over HTTP. */
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
   * @param observer - told about draining and failures
   * @returns a new client
   */
  static create(connections: HttpConnections, observer: PlainObserver): HttpPlainService {
    return new HttpPlainService(connections, observer);
  }

  override async send(call: PlainCall): Promise<Outcome<PlainResponse, PlainFailure>> {
    const whole = ProgressDeadline.createTotal(call.timeoutMs, call.signal);
    try {
      return await this.exchange(call, whole);
    } finally {
      whole.clear();
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
    const answer = opened.value;
    const body = await readBody(answer, deadline);
    if (body.kind === 'failed') return fail(this.reportFailure(body.failure));
    const draining = answer.headers['x-draining'] === '1';
    if (draining) this.observer.onDraining();
    const headers = selectHeaders(answer.headers);
    return succeed({ status: answer.status, headers, body: body.value, draining });
  }

  private reportFailure(failure: ExchangeFailure): PlainFailure {
    if (failure !== 'cancelled') this.observer.onFailure(failure === 'refused');
    return PlainFailure.create(
      FAILURE_REASONS[failure],
      failure !== 'refused',
      `plain call: ${failure}`,
    );
  }
}

// Framing headers belong to one connection, and the key must never reach a server.
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
