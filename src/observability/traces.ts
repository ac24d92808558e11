import { Service } from '../kernel/service.js';
import type { HopSpan } from './hop-span.js';

/** The parts of a request's path that have a span. */
export type Hop = 'entry' | 'admission' | 'prefill' | 'transfer' | 'decode' | 'service';

/** Attributes of a span. */
export type HopAttributes = Readonly<Record<string, string | number | boolean>>;

/** Makes a span for each hop. */
export abstract class Traces extends Service {
  /**
   * Begins a span.
   *
   * @param hop - the part of the path
   * @param parent - W3C trace context of the parent; undefined begins a trace
   * @param attributes - facts about the hop
   * @returns the span
   */
  abstract begin(hop: Hop, parent: string | undefined, attributes?: HopAttributes): HopSpan;
}

declare module '../kernel/service.js' {
  interface Services {
    traces: Traces;
  }
}
