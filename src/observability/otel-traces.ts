import { createWriteStream, type WriteStream } from 'node:fs';

import { defaultTextMapGetter, ROOT_CONTEXT, type Tracer } from '@opentelemetry/api';
import { resourceFromAttributes } from '@opentelemetry/resources';
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';

import type { HopSpan } from './hop-span.js';
import { OtelHopSpan, propagator } from './otel-hop-span.js';
import { JsonSpanExporter } from './span-exporter.js';
import { Traces, type Hop, type HopAttributes } from './traces.js';

/** File name that stands for standard error. */
const STANDARD_ERROR = '-';

/** Time for which spans are collected before they are written, in milliseconds. */
const WRITE_EVERY_MS = 1000;

/** Makes spans by OpenTelemetry and writes them as JSON lines. */
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
   * @param file - file for spans, `-` for standard error; undefined writes none
   * @returns a new tracer
   */
  static create(vm: string, file: string | undefined): OtelTraces {
    const stream =
      file && file !== STANDARD_ERROR ? createWriteStream(file, { flags: 'a' }) : undefined;
    const write = (line: string) => (stream ?? process.stderr).write(line);
    const spanProcessors = file
      ? [
          new BatchSpanProcessor(JsonSpanExporter.create(write), {
            scheduledDelayMillis: WRITE_EVERY_MS,
          }),
        ]
      : [];
    const resource = resourceFromAttributes({ 'service.name': 'cuminspard', vm });
    return new OtelTraces(new BasicTracerProvider({ resource, spanProcessors }), stream);
  }

  override begin(hop: Hop, parent: string | undefined, attributes: HopAttributes = {}): HopSpan {
    const context = propagator.extract(
      ROOT_CONTEXT,
      parent ? { traceparent: parent } : {},
      defaultTextMapGetter,
    );
    return OtelHopSpan.create(this.tracer.startSpan(hop, { attributes }, context), context);
  }

  override async stop(): Promise<void> {
    await this.provider.shutdown();
    this.file?.end();
  }
}
