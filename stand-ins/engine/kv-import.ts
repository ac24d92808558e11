import { request } from 'undici';

import type { Link } from '../shared/link.js';
import { CONTENT_BYTES_HEADER, type KvContent } from './kv-content.js';

/** Result of an import. */
export type KvImport =
  | { readonly kind: 'imported'; readonly content: KvContent; readonly bytes: number }
  | { readonly kind: 'expired' }
  | { readonly kind: 'broken'; readonly message: string };

/**
 * Fetches a KV cache from another engine at the rate of this engine's link.
 *
 * @param source - `host:port` of the other engine
 * @param prefillId - id of the prefill result
 * @param link - link of this engine
 * @param signal - aborts the import
 * @returns what was imported, or why the import failed
 */
export async function importKv(
  source: string,
  prefillId: string,
  link: Link,
  signal: AbortSignal,
): Promise<KvImport> {
  try {
    const url = `http://${source}/v1/export?prefillId=${encodeURIComponent(prefillId)}`;
    const options = { signal, headersTimeout: 0, bodyTimeout: 0 };
    const { statusCode, headers, body } = await request(url, options);
    if (statusCode !== 200) {
      await body.dump();
      if (statusCode === 409) return { kind: 'expired' };
      return { kind: 'broken', message: `the source answered ${statusCode}` };
    }
    return await readExport(body, Number(headers[CONTENT_BYTES_HEADER]), link);
  } catch (error) {
    return { kind: 'broken', message: String(error) };
  }
}

async function readExport(
  body: AsyncIterable<Buffer>,
  contentBytes: number,
  link: Link,
): Promise<KvImport> {
  const descriptionChunks: Buffer[] = [];
  let received = 0;
  for await (const chunk of body) {
    if (received < contentBytes) descriptionChunks.push(chunk);
    received += chunk.length;
    await link.transmit(chunk.length);
  }
  const text = Buffer.concat(descriptionChunks).subarray(0, contentBytes).toString('utf8');
  const content = JSON.parse(text) as KvContent;
  return { kind: 'imported', content, bytes: received - contentBytes };
}
