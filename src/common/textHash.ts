/** A hash for placing keys on servers: fast and evenly spread, not safe against keys made to collide. */

const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;

/** Hash of a text so far (FNV-1a); `from` goes on after an earlier part. */
export function hashText(text: string, from = offsetBasis): number {
  let hash = from;
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), prime);
  return hash;
}

/** Spreads a hash over all 32 bits, so that texts which differ in their last character are far apart (MurmurHash3). */
export function mixHash(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
