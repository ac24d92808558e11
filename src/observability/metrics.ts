import { Service } from '../kernel/service.js';

/** Tags of a metric; the values must have a low cardinality. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records counters, gauges and timings. */
export abstract class Metrics extends Service {
  /** Increments a counter. */
  abstract increment(name: string, tags?: MetricTags, value?: number): void;

  /** Sets a gauge. */
  abstract gauge(name: string, value: number, tags?: MetricTags): void;

  /** Records a duration in milliseconds. */
  abstract timing(name: string, ms: number, tags?: MetricTags): void;
}

declare module '../kernel/service.js' {
  interface Services {
    metrics: Metrics;
  }
}
