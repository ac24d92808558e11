import { createWriteStream, type WriteStream } from 'node:fs';

import { defaultTextMapGetter, ROOT_CONTEXT, type Tracer } from '@opentelemetry/api';
import { resourceFromAttributes } from '@opentelemetry/resources';
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';

import type { RequestSpan } from './request-span.js';
import { OtelRequestSpan, propagator } from './otel-request-span.js';
import { JsonSpanExporter } from './json-span-exporter.js';
import { Traces, type SpanName, type SpanAttributes } from './traces.js';

/** File name that selects standard error. */
const STDERR_FILE = '-';

/** Interval at which the collected spans are written, in milliseconds. */
const EXPORT_INTERVAL_MS = 1000;

/** Creates spans with OpenTelemetry and writes them as JSON lines. */
export class OtelTraces extends Traces {
  private readonly tracer: Tracer;

  private constructor(
    private readonly provider: BasicTracerProvider,
    private readonly file: WriteStream | undefined,
  ) {
    super();
    this.tracer = provider.getTracer('cuminspar');
  }

  /**
   * Creates a tracer.
   *
   * @param vm - name of this VM, written on each span
   * @param file - file for spans, `-` for standard error; undefined disables the output
   * @returns a new tracer
   */
  static create(vm: string, file: string | undefined): OtelTraces {
    const stream =
      file && file !== STDERR_FILE ? createWriteStream(file, { flags: 'a' }) : undefined;
    const write = (line: string) => (stream ?? process.stderr).write(line);
    const spanProcessors = file
      ? [
          new BatchSpanProcessor(JsonSpanExporter.create(write), {
            scheduledDelayMillis: EXPORT_INTERVAL_MS,
          }),
        ]
      : [];
    const resource = resourceFromAttributes({ 'service.name': 'cuminspard', vm });
    return new OtelTraces(new BasicTracerProvider({ resource, spanProcessors }), stream);
  }

  override startSpan(
    name: SpanName,
    parent: string | undefined,
    attributes: SpanAttributes = {},
  ): RequestSpan {
    const context = propagator.extract(
      ROOT_CONTEXT,
      parent ? { traceparent: parent } : {},
      defaultTextMapGetter,
    );
    return OtelRequestSpan.create(this.tracer.startSpan(name, { attributes }, context), context);
  }

  override async stop(): Promise<void> {
    await this.provider.shutdown();
    this.file?.end();
  }
}
