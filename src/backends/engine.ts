import type { Stream } from 'most';

import type { FinishReason } from '../domain/request.js';
import type { Incarnation } from '../domain/vm.js';
import type { Outcome } from '../kernel/outcome.js';
import type { EngineLoad } from '../routing/routing.js';
import type { EngineFailure } from './engine-failure.js';

/** Identifies the work of an attempt at an engine. */
export interface AttemptTag {
  readonly requestId: string;
  readonly attemptId: string;
  readonly owner: Incarnation;
  readonly team: string | undefined;
}

/** How a call is made. */
export interface EngineCall extends AttemptTag {
  readonly traceparent: string | undefined;
  readonly signal: AbortSignal;
  /** Longest time without progress, in milliseconds. */
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

/** What an engine holds for an attempt. */
export interface Hold extends Omit<AttemptTag, 'team'> {
  readonly kind: 'prefill' | 'transfer' | 'decode';
  readonly blocks: number;
  readonly ageMs: number;
}

/** Holds of one engine. */
export interface HoldList {
  readonly incarnation: string;
  readonly holds: readonly Hold[];
}

/** Which holds an engine lists; an engine that does not know the filter lists all. */
export interface HoldFilter {
  /** Holds of attempts that have had no open call for this time, in milliseconds. */
  readonly idleMs: number;
  /** Owners whose holds are listed in any case. */
  readonly gone: readonly Incarnation[];
}

/** A change of the prefix cache; sequences have gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
}

/** An order to an engine. */
export interface Order {
  readonly kind: 'load-model' | 'load-adapter' | 'change-role';
  readonly value: string;
  readonly fencingNumber: number;
  readonly commander: string;
}

/** A model engine; every answer reports its load to Routing. See docs/interfaces.md. */
export abstract class Engine {
  /**
   * Reserves a decode slot and KV blocks.
   *
   * @param call - attempt and deadlines
   * @param model - name of the model
   * @param blocks - KV blocks
   * @returns the reservation, or a failure; `busy` when there is no room
   */
  abstract reserve(
    call: EngineCall,
    model: string,
    blocks: number,
  ): Promise<Outcome<Reservation, EngineFailure>>;

  /**
   * Runs a prefill.
   *
   * @param call - attempt and deadlines
   * @param model - name of the model
   * @param prompt - the prompt
   * @param priority - 0 is first
   * @returns the finished prefill, or a failure
   */
  abstract prefill(
    call: EngineCall,
    model: string,
    prompt: string,
    priority: number,
  ): Promise<Outcome<Prefill, EngineFailure>>;

  /**
   * Imports a prefill's KV cache into a reservation of this engine.
   *
   * @param call - attempt and deadlines
   * @param reservationId - reservation at this engine
   * @param prefillId - prefill at the source
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
   * Decodes; the stream ends with exactly one `end` or `failed` event.
   *
   * @param call - attempt and deadlines
   * @param reservationId - reservation at this engine
   * @param maxTokens - longest answer
   * @param fromIndex - index of the first token wanted
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
   * @param owner - its owner
   * @returns nothing, or a failure after which it should be tried again
   */
  abstract cancel(attemptId: string, owner: Incarnation): Promise<Outcome<void, EngineFailure>>;

  /**
   * Lists holds.
   *
   * @param filter - which holds are wanted; all when it is missing
   * @returns the holds, or a failure
   */
  abstract holds(filter?: HoldFilter): Promise<Outcome<HoldList, EngineFailure>>;

  /**
   * Reads the load when no answer has carried it lately.
   *
   * @returns the load, or a failure
   */
  abstract load(): Promise<Outcome<EngineLoad, EngineFailure>>;

  /**
   * Reads changes of the prefix cache.
   *
   * @param after - last sequence that is known
   * @returns the events, or a failure
   */
  abstract cacheEvents(after: number): Promise<Outcome<readonly CacheEvent[], EngineFailure>>;

  /**
   * Gives an order.
   *
   * @param order - the order
   * @param maySend - asked when the connection is open, right before the first byte is written
   * @returns nothing, or a failure; `rejected` when the fencing number is old, `cancelled` when
   * `maySend` returned false and nothing was sent
   */
  abstract order(order: Order, maySend: () => boolean): Promise<Outcome<void, EngineFailure>>;
}
