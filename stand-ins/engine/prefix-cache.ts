import { createHash } from 'node:crypto';

/** A change of the cache as it is sent to clients. */
export interface PrefixEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
}

/** Size of the cache, delay of its events and interval of omitted events. */
export interface PrefixCacheOptions {
  readonly cacheBlocks: number;
  readonly blockTokens: number;
  readonly bytesPerToken: number;
  readonly cacheEventDelayMs: number;
  readonly cacheEventGapEvery: number;
}

/** Maximum number of events kept for readers that lag behind. */
const MAX_EVENTS = 10_000;

/** LRU cache of the hashes of prompt prefixes, one for each KV block. */
export class PrefixCache {
  /** Iterates from the least to the most recently used hash. */
  private readonly hashes = new Set<string>();

  private readonly events: (PrefixEvent & { visibleMs: number })[] = [];

  private sequence = 0;

  private constructor(private readonly options: PrefixCacheOptions) {}

  /**
   * Creates an empty cache.
   *
   * @param options - size, and delay and gaps of the events
   * @returns a new cache
   */
  static create(options: PrefixCacheOptions): PrefixCache {
    return new PrefixCache(options);
  }

  /**
   * Counts the tokens at the start of a prompt that are cached.
   *
   * @param prompt - the prompt
   * @returns a multiple of the block size
   */
  countCachedTokens(prompt: string): number {
    const hashes = this.hashPrefixes(prompt);
    const missing = hashes.findIndex((hash) => !this.hashes.has(hash));
    return (missing < 0 ? hashes.length : missing) * this.options.blockTokens;
  }

  /**
   * Stores the prefixes of a prompt.
   *
   * @param prompt - the prompt
   */
  store(prompt: string): void {
    for (const hash of this.hashPrefixes(prompt)) {
      if (!this.hashes.delete(hash)) this.publish('stored', hash);
      this.hashes.add(hash);
    }
    while (this.hashes.size > this.options.cacheBlocks) {
      const [oldest = ''] = this.hashes;
      this.hashes.delete(oldest);
      this.publish('evicted', oldest);
    }
  }

  /**
   * Lists the events whose delay has passed, without those omitted on purpose.
   *
   * @param after - sequence number of the last event that the reader has
   * @returns the events and the newest visible sequence number
   */
  listEvents(after: number): { events: PrefixEvent[]; last: number } {
    const now = performance.now();
    const visible = this.events.filter((event) => event.visibleMs <= now);
    const events = visible
      .filter((event) => event.sequence > after && !this.isDropped(event))
      .map(({ sequence, kind, prefixHash }) => ({ sequence, kind, prefixHash }));
    return { events, last: visible.at(-1)?.sequence ?? 0 };
  }

  private isDropped(event: PrefixEvent): boolean {
    const interval = this.options.cacheEventGapEvery;
    return interval > 0 && event.sequence % interval === 0;
  }

  private publish(kind: PrefixEvent['kind'], prefixHash: string): void {
    this.sequence += 1;
    const visibleMs = performance.now() + this.options.cacheEventDelayMs;
    this.events.push({ sequence: this.sequence, kind, prefixHash, visibleMs });
    if (this.events.length > MAX_EVENTS) this.events.shift();
  }

  private hashPrefixes(prompt: string): string[] {
    const bytes = Buffer.from(prompt, 'utf8');
    const blockBytes = this.options.blockTokens * this.options.bytesPerToken;
    const running = createHash('sha256');
    const hashes: string[] = [];
    for (let end = blockBytes; end <= bytes.length; end += blockBytes) {
      running.update(bytes.subarray(end - blockBytes, end));
      hashes.push(running.copy().digest('hex'));
    }
    return hashes;
  }
}
