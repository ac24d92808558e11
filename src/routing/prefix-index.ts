import { createHash } from 'node:crypto';

import type { CacheEvent } from '../backends/engine.js';

// Hexadecimal digits that are kept of a hash (64 bits). A collision only makes a request go to a
// server that does not have its prefix cached.
const HASH_DIGITS = 16;
/** Maximum number of prefixes that are hashed for one prompt. */
const MAX_PREFIXES = 64;

/**
 * Hashes the block-aligned prefixes of a prompt, which engines cache.
 *
 * @param prompt - the prompt
 * @param blockBytes - bytes of text in one KV block
 * @returns a truncated hash for each whole block, the shortest prefix first; at most 64
 */
export function hashPrefixes(prompt: string, blockBytes: number): readonly string[] {
  const bytes = Buffer.from(prompt, 'utf8');
  const step = Math.max(1, Math.floor(blockBytes));
  const count = Math.min(MAX_PREFIXES, Math.floor(bytes.length / step));
  const hash = createHash('sha256');
  return Array.from({ length: count }, (_, index) => {
    hash.update(bytes.subarray(index * step, (index + 1) * step));
    return truncateHash(hash.copy().digest('hex'));
  });
}

/** Default maximum of prefixes per server; an engine's KV cache holds fewer blocks than this. */
const MAX_PREFIXES_PER_SERVER = 1024;

interface ServerPrefixes {
  /** Hashes in LRU order, the least recently used first. */
  readonly hashes: Set<string>;
  /** Sequence number of the last cache event that was applied. */
  lastSequence: number;
}

/**
 * Prefixes that each server has cached, according to its cache events and this VM's own choices.
 */
export class PrefixIndex {
  private readonly servers = new Map<string, ServerPrefixes>();

  private constructor(private readonly maxPrefixesPerServer: number) {}

  /**
   * Creates an empty index.
   *
   * @param maxPrefixesPerServer - maximum number of prefixes kept for one server
   * @returns a new index
   */
  static create(maxPrefixesPerServer: number = MAX_PREFIXES_PER_SERVER): PrefixIndex {
    return new PrefixIndex(maxPrefixesPerServer);
  }

  /** Number of prefixes kept for all servers. */
  get size(): number {
    return [...this.servers.values()].reduce((sum, { hashes }) => sum + hashes.size, 0);
  }

  /**
   * Returns the sequence number of the last cache event that was applied.
   *
   * @param server - name of the server
   * @returns the sequence number; 0 when there was none
   */
  lastSequence(server: string): number {
    return this.servers.get(server)?.lastSequence ?? 0;
  }

  /**
   * Counts the leading blocks of a prompt that a server has cached.
   *
   * @param server - name of the server
   * @param prefixes - hashes of the prompt's prefixes
   * @returns the number of blocks
   */
  countCached(server: string, prefixes: readonly string[]): number {
    const cached = this.servers.get(server);
    if (!cached) return 0;
    const missing = prefixes.findIndex((prefix) => !cached.hashes.has(prefix));
    return missing < 0 ? prefixes.length : missing;
  }

  /**
   * Records that a server was chosen to prefill a prompt and is therefore expected to cache its
   * prefixes.
   *
   * @param server - name of the server
   * @param prefixes - hashes of the prompt's prefixes
   */
  recordPrefill(server: string, prefixes: readonly string[]): void {
    const cached = this.getOrCreate(server);
    prefixes.forEach((prefix) => this.insert(cached, prefix));
  }

  /**
   * Applies cache events. A gap in the sequence discards all earlier prefixes of the server,
   * because the missing events may include evictions.
   *
   * @param server - name of the server
   * @param events - events in any order; those that were already applied are skipped
   */
  apply(server: string, events: readonly CacheEvent[]): void {
    const cached = this.getOrCreate(server);
    const fresh = events.filter(({ sequence }) => sequence > cached.lastSequence);
    fresh
      .sort((a, b) => a.sequence - b.sequence)
      .forEach((event) => this.applyEvent(cached, event));
  }

  /**
   * Removes all prefixes of a server, for example after its restart.
   *
   * @param server - name of the server
   */
  removeServer(server: string): void {
    this.servers.delete(server);
  }

  private applyEvent(cached: ServerPrefixes, event: CacheEvent): void {
    if (event.sequence <= cached.lastSequence) return;
    if (event.sequence > cached.lastSequence + 1) cached.hashes.clear();
    Object.assign(cached, { lastSequence: event.sequence });
    const prefix = truncateHash(event.prefixHash);
    if (event.kind === 'stored') this.insert(cached, prefix);
    else cached.hashes.delete(prefix);
  }

  private insert({ hashes }: ServerPrefixes, prefix: string): void {
    hashes.delete(prefix);
    hashes.add(prefix);
    if (hashes.size <= this.maxPrefixesPerServer) return;
    const [oldest] = hashes;
    if (oldest !== undefined) hashes.delete(oldest);
  }

  private getOrCreate(server: string): ServerPrefixes {
    const cached = this.servers.get(server);
    if (cached) return cached;
    const created = { hashes: new Set<string>(), lastSequence: 0 };
    this.servers.set(server, created);
    return created;
  }
}

function truncateHash(hash: string): string {
  return hash.slice(0, HASH_DIGITS);
}
