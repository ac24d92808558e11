import { Service } from '../kernel/service.js';
import type { RequestSpan } from './request-span.js';

/** The parts of a request's path that have a span. */
export type SpanName = 'entry' | 'admission' | 'prefill' | 'transfer' | 'decode' | 'service';

/** Attributes of a span. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean>>;

/** Makes a span for each hop. */
export abstract class Traces extends Service {
  /**
   * Begins a span.
   *
   * @param name - the part of the path
   * @param parent - W3C trace context of the parent; undefined begins a trace
   * @param attributes - facts about the hop
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
