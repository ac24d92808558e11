const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Scores a name for a key; the ranking of the names by score is independent from key to key.
 *
 * @param key - what is placed
 * @param name - a place
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

// FNV-1a alone leaves names that differ in the last character with near scores; this is the
// finalizer of MurmurHash3.
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
 * @param key - what is placed
 * @param items - places
 * @param nameOf - names an item
 * @returns the items in order
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
