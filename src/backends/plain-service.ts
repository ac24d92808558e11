import type { Outcome } from '../kernel/outcome.js';
import type { PlainFailure } from './plain-failure.js';

/** A request to a plain server. */
export interface PlainCall {
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Maximum time until the response is complete, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Complete response of a plain server. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** True when the response asked for no more work. */
  readonly draining: boolean;
}

/** Client of a plain server. */
export abstract class PlainService {
  /**
   * Sends a request once, without retries.
   *
   * @param call - the request
   * @returns the complete response, or a failure
   */
  abstract send(call: PlainCall): Promise<Outcome<PlainResponse, PlainFailure>>;
}
