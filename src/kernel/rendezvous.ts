const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes the score of a node for a key in rendezvous (highest random weight) hashing. The ranking of
 * the nodes by score is independent from key to key.
 *
 * @param key - key to assign
 * @param name - name of the node
 * @returns an unsigned 32-bit number
 */
export function scoreRendezvous(key: string, name: string): number {
  const text = `${key}\n${name}`;
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return finalizeHash(hash);
}

// FNV-1a alone gives names that differ only in the last character similar scores, so the finalizer of
// MurmurHash3 is applied.
/* eslint-disable no-bitwise */
function finalizeHash(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */

/**
 * Orders items by their score for a key, the highest first.
 *
 * @param key - key to assign
 * @param items - nodes
 * @param nameOf - returns the name of a node
 * @returns the items by descending score
 */
export function rankByRendezvous<Item>(
  key: string,
  items: readonly Item[],
  nameOf: (item: Item) => string,
): Item[] {
  return items
    .map((item) => ({ item, name: nameOf(item), score: scoreRendezvous(key, nameOf(item)) }))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({ item }) => item);
}
