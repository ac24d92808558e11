import type { PrefillResult } from './prefill-results.js';

/** Describes a prompt whose KV cache is on an engine. */
export interface KvContent {
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
}

/** Response header of an export: length of the JSON description at the start of the body. */
export const CONTENT_BYTES_HEADER = 'x-kv-content-bytes';

/**
 * Encodes the description that precedes an exported KV cache.
 *
 * @param result - the result of the prefill
 * @returns JSON in UTF-8
 */
export function encodeContent({ model, prompt, promptTokens }: PrefillResult): Buffer {
  return Buffer.from(JSON.stringify({ model, prompt, promptTokens }), 'utf8');
}
