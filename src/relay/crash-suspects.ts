import { createHash } from 'node:crypto';

import { fingerprintRequest } from './request-fingerprint.js';
import type { RelayRequest } from './relay-request.js';

const PART_PREFIX = 'part ';

/** Maximum number of parts of a prompt that are suspects. */
const MAX_PARTS = 512;

/** Length of an id from which on its hash is used; callers choose ids, and digests limit names. */
const MAX_ID_LENGTH = 32;

/**
 * Lists what may crash a server that runs a request: the request itself, and each part of its prompt
 * that other requests may have in common, which excludes the last one.
 *
 * @param request - the caller's request
 * @param team - the caller's team; undefined on open routes
 * @returns the fingerprint of the request first, then its parts
 */
export function listCrashSuspects(request: RelayRequest, team: string | undefined): string[] {
  return [fingerprintRequest(request, team), ...listSharedParts(request)];
}

/**
 * Lists the suspects among the parts of a prompt, which needs no fingerprint of the request.
 *
 * @param request - the caller's request
 * @returns its parts but the last one, each once
 */
export function listSharedParts({ promptParts }: RelayRequest): string[] {
  const shared = promptParts.slice(0, -1).slice(0, MAX_PARTS);
  return [...new Set(shared.map(({ id }) => `${PART_PREFIX}${shortenId(id)}`))];
}

function shortenId(id: string): string {
  if (id.length <= MAX_ID_LENGTH) return id;
  return createHash('sha256').update(id).digest('hex').slice(0, MAX_ID_LENGTH);
}

/**
 * Returns whether a suspect is a prompt part, which many requests may contain.
 *
 * @param suspect - element of the list of {@link listCrashSuspects}
 * @returns false for the fingerprint of a request
 */
export function isPromptPart(suspect: string): boolean {
  return suspect.startsWith(PART_PREFIX);
}
