import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { AnswerHead, RelayRequest } from './relay-request.js';
import type { CatalogServer } from './server-catalog.js';

/**
 * Why a call to a server brought no answer of its own: `unsent`, nothing left this VM; `not-run`, the
 * server says that it did not run the request; `gone`, another server has the address; `broken`, the
 * connection or the answer is damaged and the request may have run; `silent`, no progress in time;
 * `cancelled`, this VM gave up.
 */
export type UpstreamFailure = 'unsent' | 'not-run' | 'gone' | 'broken' | 'silent' | 'cancelled';

/**
 * Tells whether a failed call proves that the server did not run the request.
 *
 * @param failure - why there is no answer
 * @returns true when the request may be sent to another server
 */
export function provesNotRun(failure: UpstreamFailure): boolean {
  return failure === 'unsent' || failure === 'not-run' || failure === 'gone';
}

/** What a request to a server carries beside the caller's own content. */
export interface SendOptions {
  /** Time that is left, in milliseconds. */
  readonly deadlineMs: number;
  readonly team: string | undefined;
  readonly signal: AbortSignal;
  /** Only connections opened later are used, monotonic milliseconds; older ones may have been lost. */
  readonly connectedAfterMs?: number;
  /** Id of the last event that the caller has, when a stream is continued. */
  readonly resumeAfter?: string;
  /** Reserved place. */
  readonly reservation?: string;
  /** Where the KV cache of the prompt is fetched from. */
  readonly prefill?: PrefillResult;
}

/** KV cache of a prompt, ready to be fetched once. */
export interface PrefillResult {
  readonly server: CatalogServer;
  readonly handle: string;
  readonly tokens: number;
}

/** An answer whose head has arrived and belongs to the request. */
export interface OpenAnswer {
  readonly head: AnswerHead;
  /** Pieces of the body; throws when the answer breaks off. */
  readonly body: AsyncIterable<Buffer>;
}

/** Calls to servers. */
export abstract class Upstream extends Service {
  /**
   * Sends a request to be run.
   *
   * @param server - where to
   * @param request - the caller's request
   * @param options - what goes with it
   * @returns the answer, or why there is none
   */
  abstract send(
    server: CatalogServer,
    request: RelayRequest,
    options: SendOptions,
  ): Promise<Outcome<OpenAnswer, UpstreamFailure>>;

  /**
   * Has the prompt of a request read.
   *
   * @param server - a prefill engine
   * @param request - the caller's request
   * @param options - what goes with it
   * @returns the result, or why there is none
   */
  abstract prefill(
    server: CatalogServer,
    request: RelayRequest,
    options: SendOptions,
  ): Promise<Outcome<PrefillResult, UpstreamFailure>>;

  /**
   * Reserves a decode slot and memory.
   *
   * @param server - a decode engine
   * @param tokens - KV cache tokens
   * @param lifeMs - longest time until the reservation is used, in milliseconds
   * @returns id of the reservation, or why there is none
   */
  abstract reserve(
    server: CatalogServer,
    tokens: number,
    lifeMs: number,
  ): Promise<Outcome<string, UpstreamFailure>>;

  /**
   * Gives a reservation back that is not going to be used.
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
   * Orders a change of role.
   *
   * @param server - the engine
   * @param stage - its new role
   * @param fence - fencing number of the commander
   * @returns nothing, or why the order was not taken
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
