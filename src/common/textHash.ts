/** Non-cryptographic hash for mapping keys to servers: fast and uniform, not resistant to crafted collisions. */

const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;

/** FNV-1a hash of a text; pass the hash of a preceding part as `initial` to continue it. */
export function hashText(text: string, initial = offsetBasis): number {
  let hash = initial;
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), prime);
  return hash;
}

/** Mixes all 32 bits (MurmurHash3 finalizer), so that texts that differ only in the last character get unrelated hashes. */
export function mixHash(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
