import type { EngineLoad } from '../routing/routing.js';

const COUNT_PATTERN = /^\d{1,12}$/;

/**
 * Parses the header `x-engine-load`.
 *
 * @param value - `slotsFree,blocksFree,queuedPrefillTokens,level,draining,incarnation`
 * @returns the load, or undefined when the header is missing or malformed
 */
export function parseLoadHeader(value: string | undefined): EngineLoad | undefined {
  const parts = value?.split(',');
  if (parts?.length !== 6) return undefined;
  const [slots, blocks, queued, level, draining, incarnation] = parts as [
    string,
    string,
    string,
    string,
    string,
    string,
  ];
  if (![slots, blocks, queued, level].every((part) => COUNT_PATTERN.test(part)) || !incarnation) {
    return undefined;
  }
  return {
    slotsFree: Number(slots),
    blocksFree: Number(blocks),
    queuedPrefillTokens: Number(queued),
    level: Math.min(4, Number(level)),
    draining: draining === '1',
    incarnation,
  };
}
