/** Whether a refused request was run on a server and may have had an effect. */
export type RunState = 'not run' | 'unknown';

/** HTTP status for each stable refusal code. */
export const REFUSAL_STATUS = {
  request_malformed: 400,
  idempotency_key_missing: 400,
  idempotency_key_invalid: 400,
  idempotency_key_expired: 400,
  prompt_exceeds_burst: 400,
  key_missing: 401,
  key_unknown: 401,
  key_withdrawn: 401,
  route_forbidden: 403,
  route_unknown: 404,
  model_unknown: 404,
  method_not_allowed: 405,
  request_timeout: 408,
  idempotency_key_reused: 409,
  outcome_unknown: 409,
  body_too_large: 413,
  quarantined: 422,
  rate_exceeded: 429,
  headers_too_large: 431,
  server_failed: 502,
  cancelled: 499,
  not_ready: 503,
  isolated: 503,
  overloaded: 503,
  log_unavailable: 503,
  no_server: 503,
  draining: 503,
  maintenance: 503,
  server_timeout: 504,
} as const;

/** Stable code of a refusal. */
export type RefusalCode = keyof typeof REFUSAL_STATUS;

interface RefusalOptions {
  /** Default: `not run`. */
  readonly run?: RunState;
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Why a request was refused or failed; sent to the caller as an error response. */
export class Refusal extends Error {
  override readonly name = 'Refusal';

  private constructor(
    readonly code: RefusalCode,
    message: string,
    readonly run: RunState,
    readonly retryAfterMs: number | undefined,
  ) {
    super(message);
  }

  /**
   * Creates a refusal.
   *
   * @param code - stable code
   * @param message - explanation for the caller
   * @param options - whether the request was run, and when to retry
   * @returns a new refusal
   */
  static create(code: RefusalCode, message: string, options: RefusalOptions = {}): Refusal {
    return new Refusal(code, message, options.run ?? 'not run', options.retryAfterMs);
  }

  /** HTTP status of the refusal. */
  get status(): number {
    return REFUSAL_STATUS[this.code];
  }
}
