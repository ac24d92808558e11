import type { Stream } from 'most';

import type { FinishReason } from '../domain/request.js';
import type { Incarnation } from '../domain/vm.js';
import type { Outcome } from '../kernel/outcome.js';
import type { EngineLoad } from '../routing/routing.js';
import type { EngineFailure } from './engine-failure.js';

/** Identifies the attempt that a call to an engine belongs to. */
export interface AttemptTag {
  readonly requestId: string;
  readonly attemptId: string;
  readonly owner: Incarnation;
  readonly team: string | undefined;
}

/** Attempt, trace context, abort signal and progress deadline of a call. */
export interface EngineCall extends AttemptTag {
  readonly traceparent: string | undefined;
  readonly signal: AbortSignal;
  /** Maximum time without progress, in milliseconds. */
  readonly progressMs: number;
}

/** A reserved decode slot. */
export interface Reservation {
  readonly reservationId: string;
  readonly expiresInMs: number;
}

/** A finished prefill. */
export interface Prefill {
  readonly prefillId: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly kvBytes: number;
  readonly expiresInMs: number;
}

/** An event of a decode stream. Events of other attempts have been dropped. */
export type DecodeEvent =
  | { readonly kind: 'token'; readonly index: number; readonly text: string }
  | {
      readonly kind: 'end';
      readonly reason: FinishReason;
      readonly promptTokens: number;
      readonly completionTokens: number;
    }
  | { readonly kind: 'failed'; readonly failure: EngineFailure };

/** Resources that an engine holds for an attempt. */
export interface Hold extends Omit<AttemptTag, 'team'> {
  readonly kind: 'prefill' | 'transfer' | 'decode';
  readonly blocks: number;
  readonly ageMs: number;
}

/** Holds of one engine and the incarnation that reported them. */
export interface HoldList {
  readonly incarnation: string;
  readonly holds: readonly Hold[];
}

/** Selects the holds that an engine lists; an engine that does not support it lists all. */
export interface HoldFilter {
  /** Lists holds of attempts that have had no open call for this time, in milliseconds. */
  readonly idleMs: number;
  /** Owners that no longer run; their holds are listed regardless of `idleMs`. */
  readonly gone: readonly Incarnation[];
}

/** A change of the prefix cache; sequence numbers can have gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
}

/** A command to an engine, sent by the elected commander with its fencing number. */
export interface Order {
  readonly kind: 'load-model' | 'load-adapter' | 'change-role';
  readonly value: string;
  readonly fencingNumber: number;
  readonly commander: string;
}

/**
 * A model engine; a response that carries its load reports it to routing. See docs/interfaces.md.
 */
export abstract class Engine {
  /**
   * Reserves a decode slot and KV blocks.
   *
   * @param call - attempt, deadline and signal
   * @param model - name of the model
   * @param blocks - number of KV blocks
   * @returns the reservation, or a failure; `busy` when no slot or too few blocks are free
   */
  abstract reserve(
    call: EngineCall,
    model: string,
    blocks: number,
  ): Promise<Outcome<Reservation, EngineFailure>>;

  /**
   * Runs a prefill.
   *
   * @param call - attempt, deadline and signal
   * @param model - name of the model
   * @param prompt - text of the prompt
   * @param priority - 0 is the highest
   * @returns the finished prefill, or a failure
   */
  abstract prefill(
    call: EngineCall,
    model: string,
    prompt: string,
    priority: number,
  ): Promise<Outcome<Prefill, EngineFailure>>;

  /**
   * Transfers the KV cache of a prefill into a reservation of this engine.
   *
   * @param call - attempt, deadline and signal
   * @param reservationId - reservation on this engine
   * @param prefillId - prefill on the source engine
   * @param source - `host:port` of the prefill engine
   * @returns nothing, or a failure; `gone` when the prefill result has expired
   */
  abstract transfer(
    call: EngineCall,
    reservationId: string,
    prefillId: string,
    source: string,
  ): Promise<Outcome<void, EngineFailure>>;

  /**
   * Runs a decode; the stream ends with exactly one `end` or `failed` event.
   *
   * @param call - attempt, deadline and signal
   * @param reservationId - reservation on this engine
   * @param maxTokens - maximum number of output tokens
   * @param fromIndex - index of the first token requested
   * @returns the events
   */
  abstract decode(
    call: EngineCall,
    reservationId: string,
    maxTokens: number,
    fromIndex: number,
  ): Stream<DecodeEvent>;

  /**
   * Releases everything that an attempt holds; idempotent.
   *
   * @param attemptId - the attempt
   * @param owner - incarnation that owns it
   * @returns nothing, or a failure after which the caller should retry
   */
  abstract cancel(attemptId: string, owner: Incarnation): Promise<Outcome<void, EngineFailure>>;

  /**
   * Lists holds.
   *
   * @param filter - holds to list; all when it is missing
   * @returns the holds, or a failure
   */
  abstract holds(filter?: HoldFilter): Promise<Outcome<HoldList, EngineFailure>>;

  /**
   * Reads the load; for use when no recent response has carried it.
   *
   * @returns the load, or a failure
   */
  abstract load(): Promise<Outcome<EngineLoad, EngineFailure>>;

  /**
   * Reads changes of the prefix cache.
   *
   * @param after - sequence number of the last event that is known
   * @returns the events, or a failure
   */
  abstract cacheEvents(after: number): Promise<Outcome<readonly CacheEvent[], EngineFailure>>;

  /**
   * Sends an order of the commander.
   *
   * @param order - the order
   * @param maySend - called when the connection is open, right before the first byte is written
   * @returns nothing, or a failure; `rejected` when the fencing number is outdated, `cancelled`
   * when `maySend` returned false and nothing was sent
   */
  abstract order(order: Order, maySend: () => boolean): Promise<Outcome<void, EngineFailure>>;
}
