import { StatsD } from 'hot-shots';

import { Metrics, type MetricTags } from './metrics.js';

/** Time for which metrics are batched into one datagram, in milliseconds. */
const FLUSH_INTERVAL_MS = 1000;

/** Maximum size of a datagram, in bytes; fits into one Ethernet frame. */
const MAX_DATAGRAM_BYTES = 1400;

/** Address of the StatsD receiver. */
export interface StatsdTarget {
  readonly host: string;
  readonly port: number;
}

/** Sends metrics as StatsD datagrams, using hot-shots. */
export class StatsdMetrics extends Metrics {
  private constructor(private readonly client: StatsD) {
    super();
  }

  /**
   * Creates a sender. Without a target, metrics are dropped.
   *
   * @param target - the StatsD receiver
   * @param tags - tags added to every metric
   * @returns a new sender
   */
  static create(target: StatsdTarget | undefined, tags: MetricTags): StatsdMetrics {
    return new StatsdMetrics(
      new StatsD({
        prefix: 'cuminspar.',
        globalTags: { ...tags },
        bufferFlushInterval: FLUSH_INTERVAL_MS,
        maxBufferSize: MAX_DATAGRAM_BYTES,
        // An unreachable receiver must not affect requests.
        errorHandler: () => undefined,
        ...(target ? { host: target.host, port: target.port } : { mock: true }),
      }),
    );
  }

  override increment(name: string, tags: MetricTags = {}, value = 1): void {
    this.client.increment(name, value, { ...tags });
  }

  override gauge(name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, { ...tags });
  }

  override timing(name: string, ms: number, tags: MetricTags = {}): void {
    this.client.timing(name, ms, { ...tags });
  }

  override stop(): Promise<void> {
    return new Promise((resolve) => {
      this.client.close(() => resolve());
    });
  }
}
