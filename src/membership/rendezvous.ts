/**
 * Weighs a candidate for a key by rendezvous hash: FNV-1a over both names, then the finalizer of
 * MurmurHash3. A member list of 390 needs 150,000 weights, so a cryptographic hash is too slow.
 *
 * @param key - what is to be placed
 * @param candidate - name of the candidate
 * @returns an integer from 0 to 2^32 - 1; the highest wins
 */
export function weigh(key: string, candidate: string): number {
  return mix(addText(addText(0x811c9dc5, key), `\n${candidate}`));
}

/* eslint-disable no-bitwise -- hashing is arithmetic on bits */
function addText(seed: number, text: string): number {
  let hash = seed;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash;
}

function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
