import { Metrics, type MetricTags } from './metrics.js';

/** Upper bounds of the histogram buckets, in milliseconds. */
const BUCKET_BOUNDS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 400, 700, 1000, 2000, 4000, 8000, 16_000,
] as const;

interface Histogram {
  readonly counts: number[];
  sum: number;
  count: number;
}

/** Collects counters, gauges and latency histograms and renders them in the Prometheus text format. */
export class PrometheusMetrics extends Metrics {
  private readonly counters = new Map<string, number>();

  private readonly gauges = new Map<string, number>();

  private readonly histograms = new Map<string, Histogram>();

  /**
   * Creates an empty set of metrics.
   *
   * @returns a new set
   */
  static create(): PrometheusMetrics {
    return new PrometheusMetrics();
  }

  override increment(name: string, tags: MetricTags = {}, value = 1): void {
    const key = formatSeries(`${name}_total`, tags);
    this.counters.set(key, (this.counters.get(key) ?? 0) + value);
  }

  override gauge(name: string, value: number, tags: MetricTags = {}): void {
    this.gauges.set(formatSeries(name, tags), value);
  }

  override timing(name: string, ms: number, tags: MetricTags = {}): void {
    const key = formatSeries(name, tags);
    const existing = this.histograms.get(key);
    const histogram = existing ?? { counts: BUCKET_BOUNDS_MS.map(() => 0), sum: 0, count: 0 };
    if (!existing) this.histograms.set(key, histogram);
    const index = BUCKET_BOUNDS_MS.findIndex((bound) => ms <= bound);
    if (index >= 0) histogram.counts[index]! += 1;
    histogram.sum += ms;
    histogram.count += 1;
  }

  /**
   * Renders all metrics.
   *
   * @returns text with one line for each value
   */
  render(): string {
    const lines = [...this.counters, ...this.gauges].map(([key, value]) => `${key} ${value}`);
    this.histograms.forEach((histogram, key) => lines.push(...renderHistogram(key, histogram)));
    return `${lines.join('\n')}\n`;
  }
}

function renderHistogram(key: string, { counts, sum, count }: Histogram): string[] {
  let cumulative = 0;
  const buckets = BUCKET_BOUNDS_MS.map((bound, index) => {
    cumulative += counts[index]!;
    return `${addSuffix(key, '_bucket', `le="${bound}"`)} ${cumulative}`;
  });
  return [
    ...buckets,
    `${addSuffix(key, '_bucket', 'le="+Inf"')} ${count}`,
    `${addSuffix(key, '_sum')} ${sum}`,
    `${addSuffix(key, '_count')} ${count}`,
  ];
}

function addSuffix(key: string, ending: string, label?: string): string {
  const [name = '', rest = ''] = key.split('{');
  const labels = [rest.replace('}', ''), label].filter(Boolean).join(',');
  return labels ? `${name}${ending}{${labels}}` : `${name}${ending}`;
}

function formatSeries(name: string, tags: MetricTags): string {
  const metric = `cuminspar_${name.replaceAll('.', '_')}`;
  const labels = Object.entries(tags).map(([tag, value]) => `${tag}="${value}"`);
  return labels.length > 0 ? `${metric}{${labels.join(',')}}` : metric;
}
