import { defaultTextMapSetter, trace, type Context, type Span } from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';

import { HopSpan } from './hop-span.js';
import type { HopAttributes } from './traces.js';

/** Reads and writes the traceparent header. */
export const propagator = new W3CTraceContextPropagator();

/** A span of OpenTelemetry. */
export class OtelHopSpan extends HopSpan {
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
  static create(span: Span, context: Context): OtelHopSpan {
    const carrier: Record<string, string> = {};
    propagator.inject(trace.setSpan(context, span), carrier, defaultTextMapSetter);
    return new OtelHopSpan(span, carrier.traceparent ?? '');
  }

  override end(attributes: HopAttributes = {}): void {
    if (!this.span.isRecording()) return;
    this.span.setAttributes({ ...attributes });
    this.span.end();
  }
}
