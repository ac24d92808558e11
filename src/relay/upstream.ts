import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { AnswerHead, RelayRequest } from './relay-request.js';
import type { CatalogServer } from './server-catalog.js';

/**
 * Why a call to a server got no answer to the request: `unsent`, nothing was sent by this VM; `not-run`,
 * the server states that it did not run the request; `gone`, another server has the address; `broken`, the
 * connection or the answer is damaged and the request may have run; `silent`, no progress in time;
 * `cancelled`, this VM aborted the call.
 */
export type UpstreamFailure = 'unsent' | 'not-run' | 'gone' | 'broken' | 'silent' | 'cancelled';

/**
 * Returns whether a failed call proves that the server did not run the request.
 *
 * @param failure - why there is no answer
 * @returns true when the request may be sent to another server
 */
export function provesNotRun(failure: UpstreamFailure): boolean {
  return failure === 'unsent' || failure === 'not-run' || failure === 'gone';
}

/** What is sent to a server in addition to the caller's content, and constraints on the call. */
export interface SendOptions {
  /** Remaining time, in milliseconds. */
  readonly deadlineMs: number;
  readonly team: string | undefined;
  /** Priority, 0 is the highest; undefined for the server's default. */
  readonly priority?: number;
  readonly signal: AbortSignal;
  /** Only connections opened after this monotonic time, in milliseconds, are used; older ones may be lost. */
  readonly connectedAfterMs?: number;
  /** Id of the last event that the caller received, when a stream is resumed. */
  readonly resumeAfter?: string;
  /** Id of the decode reservation. */
  readonly reservation?: string;
  /** Prefill result from which the KV cache of the prompt is fetched. */
  readonly prefill?: PrefillResult;
}

/** KV cache of a prompt, which can be fetched once. */
export interface PrefillResult {
  readonly server: CatalogServer;
  readonly handle: string;
  readonly tokens: number;
}

/** An answer whose head has arrived and was verified to belong to the request. */
export interface OpenAnswer {
  readonly head: AnswerHead;
  /** Chunks of the body; throws when the answer is truncated. */
  readonly body: AsyncIterable<Buffer>;
}

/** What a server says of itself in an answer. */
export interface ServerNotice {
  /** True when it gets no new requests until it is started again. */
  readonly leaving: boolean;
  /** Requests per second that it takes from all VMs together; undefined when it names no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Time for which it wants no more requests of this VM, in milliseconds; undefined when it did not say. */
  readonly quietMs?: number | undefined;
}

/** Client for model engines and plain servers. */
export abstract class Upstream extends Service {
  /**
   * Sends a request to be run.
   *
   * @param server - the server to send to
   * @param request - the caller's request
   * @param options - additional values to send and constraints on the call
   * @returns the answer, or why there is none
   */
  abstract send(
    server: CatalogServer,
    request: RelayRequest,
    options: SendOptions,
  ): Promise<Outcome<OpenAnswer, UpstreamFailure>>;

  /**
   * Prefills the prompt of a request.
   *
   * @param server - a prefill engine
   * @param request - the caller's request
   * @param options - additional values to send and constraints on the call
   * @returns the result, or why there is none
   */
  abstract prefill(
    server: CatalogServer,
    request: RelayRequest,
    options: SendOptions,
  ): Promise<Outcome<PrefillResult, UpstreamFailure>>;

  /**
   * Reserves a decode slot and KV memory.
   *
   * @param server - a decode engine
   * @param tokens - KV cache tokens
   * @param lifeMs - time until an unused reservation expires, in milliseconds
   * @returns id of the reservation, or why there is none
   */
  abstract reserve(
    server: CatalogServer,
    tokens: number,
    lifeMs: number,
  ): Promise<Outcome<string, UpstreamFailure>>;

  /**
   * Releases a reservation that is not going to be used.
   *
   * @param server - the decode engine
   * @param reservation - id of the reservation
   */
  abstract release(server: CatalogServer, reservation: string): void;

  /**
   * Frees a prefill result that is not going to be fetched.
   *
   * @param prefill - the result
   */
  abstract discard(prefill: PrefillResult): void;

  /**
   * Orders an engine to change its role.
   *
   * @param server - the engine
   * @param stage - its new role
   * @param fence - fencing number of the commander
   * @returns nothing, or why the order was not accepted
   */
  abstract orderStage(
    server: CatalogServer,
    stage: 'prefill' | 'decode',
    fence: number,
  ): Promise<Outcome<void, UpstreamFailure>>;
}

declare module '../kernel/service.js' {
  interface Services {
    upstream: Upstream;
  }
}
