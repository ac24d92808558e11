import type { SpanAttributes } from './traces.js';

/** A span in progress. */
export abstract class RequestSpan {
  /** W3C trace context to pass on. */
  abstract readonly traceparent: string;

  /**
   * Ends the span; further calls have no effect.
   *
   * @param attributes - attributes known at the end
   */
  abstract end(attributes?: SpanAttributes): void;
}
