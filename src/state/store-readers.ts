import { rankByRendezvous } from '../kernel/rendezvous.js';

/** What decides whether a VM reads the store for the fleet. */
export interface ReaderCandidate {
  readonly vm: string;
  readonly zone: string;
  readonly ready: boolean;
  readonly draining: boolean;
  readonly reachesStore: boolean;
}

/**
 * Ranks a VM among the candidates for store readers. The first ones are in different availability zones, so that the
 * failure of a zone leaves some of them.
 *
 * @param vm - name of the VM
 * @param all - all VMs of the fleet
 * @returns its rank from 0; the number of candidates when it is none
 */
export function rankStoreReader(vm: string, all: readonly ReaderCandidate[]): number {
  const eligible = all.filter(({ draining, ready }) => ready && !draining);
  const connected = eligible.filter(({ reachesStore }) => reachesStore);
  const candidates = connected.length > 0 ? connected : eligible;
  const ranked = rankByRendezvous('servers', candidates, (candidate) => candidate.vm);
  const places = new Map<string, number>();
  const placed = ranked.map((candidate) => {
    const place = places.get(candidate.zone) ?? 0;
    places.set(candidate.zone, place + 1);
    return { vm: candidate.vm, place };
  });
  const rank = placed
    .sort((left, right) => left.place - right.place)
    .findIndex((candidate) => candidate.vm === vm);
  return rank < 0 ? candidates.length : rank;
}
