import { request } from 'undici';

import type { FleetDaemon } from './fleet.js';

/** Body of the answer to `GET /v1/entry-addresses`. */
export interface EntryAddresses {
  readonly addresses: readonly { readonly vm: string; host: string; port: number }[];
  readonly validForMs: number;
}

/**
 * Fetches the addresses that a caller should use from a daemon.
 *
 * @param daemon - the daemon
 * @param key - key of the caller
 * @param signal - aborts the call
 * @returns the answer; rejects when the daemon refuses or cannot be reached
 */
export async function fetchEntryAddresses(
  daemon: Pick<FleetDaemon, 'callers'>,
  key: string,
  signal?: AbortSignal,
): Promise<EntryAddresses> {
  const { host, port } = daemon.callers;
  const answer = await request(`http://${host}:${port}/v1/entry-addresses`, {
    headers: { authorization: `Bearer ${key}` },
    reset: true,
    signal,
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200)
    throw new Error(`entry addresses refused with status ${answer.statusCode}: ${text}`);
  return JSON.parse(text) as EntryAddresses;
}
