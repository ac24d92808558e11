import { fingerprintRequest } from './request-fingerprint.js';
import type { RelayRequest } from './relay-request.js';

const PART_PREFIX = 'part ';

/**
 * Lists what may crash a server that runs a request: the request itself, and each part of its prompt
 * that other requests may have in common, which excludes the last one.
 *
 * @param request - the caller's request
 * @param team - the caller's team; undefined on open routes
 * @returns the fingerprint of the request first, then its parts
 */
export function listCrashSuspects(request: RelayRequest, team: string | undefined): string[] {
  const shared = request.promptParts.slice(0, -1).map(({ id }) => `${PART_PREFIX}${id}`);
  return [fingerprintRequest(request, team), ...new Set(shared)];
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
