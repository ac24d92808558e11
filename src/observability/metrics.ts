import { Service } from '../kernel/service.js';

/** Tags of a metric; values come from small sets. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends metrics by StatsD. */
export abstract class Metrics extends Service {
  /** Adds to a counter. */
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
