import { defaultTextMapSetter, trace, type Context, type Span } from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';

import { RequestSpan } from './request-span.js';
import type { SpanAttributes } from './traces.js';

/** Reads and writes the traceparent header. */
export const propagator = new W3CTraceContextPropagator();

/** A span based on OpenTelemetry. */
export class OtelRequestSpan extends RequestSpan {
  private constructor(
    private readonly span: Span,
    override readonly traceparent: string,
  ) {
    super();
  }

  /**
   * Wraps a span.
   *
   * @param span - the started span
   * @param context - context of its parent
   * @returns a new span
   */
  static create(span: Span, context: Context): OtelRequestSpan {
    const carrier: Record<string, string> = {};
    propagator.inject(trace.setSpan(context, span), carrier, defaultTextMapSetter);
    return new OtelRequestSpan(span, carrier.traceparent ?? '');
  }

  override end(attributes: SpanAttributes = {}): void {
    if (!this.span.isRecording()) return;
    this.span.setAttributes({ ...attributes });
    this.span.end();
  }
}
