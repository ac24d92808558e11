import type { Stream } from 'most';

import type { Refusal } from './refusal.js';

/** A chat or text completion, after authentication and validation. */
export interface ModelRequest {
  readonly requestId: string;
  readonly team: string;
  /** Id of the team key that authenticated the request; undefined on open routes. */
  readonly keyId: string | undefined;
  readonly model: string;
  readonly prompt: string;
  /** Upper estimate of the prompt's length, in tokens. */
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** SHA-256 of team and body, hexadecimal. */
  readonly fingerprint: string;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  /** W3C trace context of the entry span. */
  readonly traceparent: string | undefined;
}

/** Token counts of a finished model request. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Why the model stopped generating. */
export type FinishReason = 'stop' | 'length';

/** Event of a model's streamed response; exactly one `end` or `error` comes last. */
export type AnswerEvent =
  | { readonly kind: 'token'; readonly index: number; readonly text: string }
  | { readonly kind: 'end'; readonly reason: FinishReason; readonly usage: Usage }
  | { readonly kind: 'error'; readonly refusal: Refusal };

/** A model's response in progress. */
export interface ModelAnswer {
  readonly events: Stream<AnswerEvent>;
}

/** A request to a plain service. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly team: string | undefined;
  readonly keyId: string | undefined;
  /** Path prefix of the matched route. */
  readonly route: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Headers for the server; hop-by-hop headers and the team key are removed. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly idempotencyKey: string | undefined;
  readonly fingerprint: string;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  readonly traceparent: string | undefined;
}

/** A plain service's complete response. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** True when this is the stored response of an earlier attempt. */
  readonly replayed: boolean;
}
