import { hrTimeToMilliseconds, ExportResultCode, type ExportResult } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';

/** Writes each finished span as one JSON line. */
export class JsonSpanExporter implements SpanExporter {
  private constructor(private readonly write: (line: string) => void) {}

  /**
   * Creates an exporter.
   *
   * @param write - receives each line, including the line terminator
   * @returns a new exporter
   */
  static create(write: (line: string) => void): JsonSpanExporter {
    return new JsonSpanExporter(write);
  }

  export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    spans.forEach((span) => this.write(`${JSON.stringify(describeSpan(span))}\n`));
    done({ code: ExportResultCode.SUCCESS });
  }

  async shutdown(): Promise<void> {
    await Promise.resolve();
  }
}

function describeSpan(span: ReadableSpan): object {
  return {
    traceId: span.spanContext().traceId,
    spanId: span.spanContext().spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    startMs: hrTimeToMilliseconds(span.startTime),
    durationMs: hrTimeToMilliseconds(span.duration),
    attributes: span.attributes,
    resource: span.resource.attributes,
  };
}
