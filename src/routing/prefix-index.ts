import { createHash } from 'node:crypto';

import type { CacheEvent } from '../backends/engine.js';

// 64 bits of the hash are kept: a collision costs only a choice without a cached prefix.
const HASH_DIGITS = 16;
const MAX_PREFIXES = 64;

/**
 * Hashes the prefixes of a prompt that engines cache.
 *
 * @param prompt - the prompt
 * @param blockBytes - bytes of text in one KV block
 * @returns a shortened hash for each whole block, the shortest prefix first; at most 64
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

/** Entries kept for each server; an engine's memory holds fewer blocks than this. */
const MAX_PREFIXES_PER_SERVER = 1024;

interface ServerPrefixes {
  /** Hashes in the order of their last use, the least recent first. */
  readonly hashes: Set<string>;
  lastSequence: number;
}

/** Prefixes that each server has cached, as far as this VM knows. */
export class PrefixIndex {
  private readonly servers = new Map<string, ServerPrefixes>();

  private constructor(private readonly maxPrefixesPerServer: number) {}

  /**
   * Creates an empty index.
   *
   * @param entriesPerServer - most prefixes kept for one server
   * @returns a new index
   */
  static create(entriesPerServer: number = MAX_PREFIXES_PER_SERVER): PrefixIndex {
    return new PrefixIndex(entriesPerServer);
  }

  /** Prefixes kept for all servers. */
  get size(): number {
    return [...this.servers.values()].reduce((sum, { hashes }) => sum + hashes.size, 0);
  }

  /**
   * Reads the last cache event that was applied.
   *
   * @param server - name of the server
   * @returns its sequence; 0 when there was none
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
    const known = this.servers.get(server);
    if (!known) return 0;
    const missing = prefixes.findIndex((prefix) => !known.hashes.has(prefix));
    return missing < 0 ? prefixes.length : missing;
  }

  /**
   * Notes that a server was chosen to prefill a prompt and will have cached its prefixes.
   *
   * @param server - name of the server
   * @param prefixes - hashes of the prompt's prefixes
   */
  recordPrefill(server: string, prefixes: readonly string[]): void {
    const known = this.getOrCreate(server);
    prefixes.forEach((prefix) => this.insert(known, prefix));
  }

  /**
   * Applies cache events. After a gap, everything known before is forgotten, because an eviction
   * may have been among the missing events.
   *
   * @param server - name of the server
   * @param events - events in any order; those applied before are skipped
   */
  apply(server: string, events: readonly CacheEvent[]): void {
    const known = this.getOrCreate(server);
    const fresh = events.filter(({ sequence }) => sequence > known.lastSequence);
    fresh.sort((a, b) => a.sequence - b.sequence).forEach((event) => this.applyEvent(known, event));
  }

  /**
   * Forgets a server, for example after its restart.
   *
   * @param server - name of the server
   */
  removeServer(server: string): void {
    this.servers.delete(server);
  }

  private applyEvent(known: ServerPrefixes, event: CacheEvent): void {
    if (event.sequence <= known.lastSequence) return;
    if (event.sequence > known.lastSequence + 1) known.hashes.clear();
    Object.assign(known, { lastSequence: event.sequence });
    const prefix = truncateHash(event.prefixHash);
    if (event.kind === 'stored') this.insert(known, prefix);
    else known.hashes.delete(prefix);
  }

  private insert({ hashes }: ServerPrefixes, prefix: string): void {
    hashes.delete(prefix);
    hashes.add(prefix);
    if (hashes.size <= this.maxPrefixesPerServer) return;
    const [oldest] = hashes;
    if (oldest !== undefined) hashes.delete(oldest);
  }

  private getOrCreate(server: string): ServerPrefixes {
    const known = this.servers.get(server);
    if (known) return known;
    const created = { hashes: new Set<string>(), lastSequence: 0 };
    this.servers.set(server, created);
    return created;
  }
}

function truncateHash(hash: string): string {
  return hash.slice(0, HASH_DIGITS);
}
