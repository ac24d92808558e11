import type { PrefillResult } from './prefill-results.js';

/** What an engine knows about a prompt whose KV cache it has. */
export interface KvContent {
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
}

/** Header of an export: the body starts with this many bytes of JSON that describe the KV cache. */
export const CONTENT_BYTES_HEADER = 'x-kv-content-bytes';

/**
 * Encodes the description that precedes an exported KV cache.
 *
 * @param result - the prefill
 * @returns JSON in UTF-8
 */
export function encodeContent({ model, prompt, promptTokens }: PrefillResult): Buffer {
  return Buffer.from(JSON.stringify({ model, prompt, promptTokens }), 'utf8');
}
