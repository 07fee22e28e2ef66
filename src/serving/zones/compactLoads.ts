/**
 * Compact form of the loads that nodes send to nodes of other zones: server ids are replaced by short keys that every
 * node derives from the id, so that nothing has to be agreed first. Two servers with the same key, one case in ten
 * thousand among 400 servers, only share their reported loads.
 */
import { hashText, mixHash } from "../../common/textHash.ts";
import type { PeerLoads } from "../loadTracker.ts";

/** A key is a 30-bit hash in five characters. */
const keyAlphabet = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
const keyLength = 5;
const radix = 36;
/** Maximum number of keys that are kept. */
const maxKeys = 4_096;
const entryPattern = new RegExp(`^([\\w-]{${keyLength}})([0-9a-z]{1,8})(?:,([0-9a-z]{1,8}))?$`);

/** The key of a server. */
export function loadKeyOf(serverId: string): string {
  let rest = mixHash(hashText(serverId));
  let key = "";
  for (let i = 0; i < keyLength; i += 1) {
    key += keyAlphabet.charAt(rest % keyAlphabet.length);
    rest = Math.floor(rest / keyAlphabet.length);
  }
  return key;
}

/** Keys of servers, kept as each is used many times a second. */
export class LoadKeys {
  private readonly keys = new Map<string, string>();

  keyOf(serverId: string): string {
    const known = this.keys.get(serverId);
    if (known !== undefined) return known;
    // Ids of servers that no longer exist would accumulate.
    if (this.keys.size >= maxKeys) this.keys.clear();
    const key = loadKeyOf(serverId);
    this.keys.set(serverId, key);
    return key;
  }
}

/** Encodes loads as `KEY` `REQUESTS`, and `,PENDING` if any, in base 36, separated by spaces. */
export function encodeLoads(loads: PeerLoads, keys: LoadKeys): string {
  return Object.entries(loads)
    .map(([id, [pendingMs, requests]]) => {
      const pending = Math.max(0, Math.round(pendingMs));
      return `${keys.keyOf(id)}${requests.toString(radix)}${pending === 0 ? "" : `,${pending.toString(radix)}`}`;
    })
    .join(" ");
}

/** Decodes loads, by key; entries that can't be decoded are left out. */
export function decodeLoads(text: string): [string, readonly [number, number]][] {
  return text.split(" ").flatMap((entry): [string, readonly [number, number]][] => {
    const [, key, requests = "", pending = "0"] = entryPattern.exec(entry) ?? [];
    return key === undefined ? [] : [[key, [parseInt(pending, radix), parseInt(requests, radix)]]];
  });
}
