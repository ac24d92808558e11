import { Service } from '../kernel/service.js';
import type { RequestSpan } from './request-span.js';

/** Names of the spans: the stages of a request. */
export type SpanName = 'entry' | 'admission' | 'prefill' | 'transfer' | 'decode' | 'service';

/** Attributes of a span. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean>>;

/** Creates a trace span for each stage of a request. */
export abstract class Traces extends Service {
  /**
   * Starts a span.
   *
   * @param name - stage of the request
   * @param parent - W3C trace context of the parent; undefined starts a new trace
   * @param attributes - attributes known at the start
   * @returns the span
   */
  abstract startSpan(
    name: SpanName,
    parent: string | undefined,
    attributes?: SpanAttributes,
  ): RequestSpan;
}

declare module '../kernel/service.js' {
  interface Services {
    traces: Traces;
  }
}
