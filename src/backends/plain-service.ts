import type { Outcome } from '../kernel/outcome.js';
import type { PlainFailure } from './plain-failure.js';

/** A request as it is sent to a plain server. */
export interface PlainCall {
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Longest time for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** A plain server's answer. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** True when the server asked for no more work. */
  readonly draining: boolean;
}

/** A plain server. */
export abstract class PlainService {
  /**
   * Sends a request once, without retries.
   *
   * @param call - the request
   * @returns the whole answer, or a failure
   */
  abstract send(call: PlainCall): Promise<Outcome<PlainResponse, PlainFailure>>;
}
