/**
 * Identifies the parts of a prompt that a server may crash on. The last part is the request's own, so it is covered by
 * the fingerprint of the whole request.
 */
import * as crypto from "node:crypto";
import type { PromptPart } from "../exchange.ts";

const prefix = "part ";
/** Longer keys are hashed: the ids come from callers, and keys are stored. */
const maxKeyLength = 100;

/** Keys of the parts that requests of the service may share. */
export function partKeysOf(service: string, parts: readonly PromptPart[]): string[] {
  return [...new Set(parts.slice(0, -1).map(({ id }) => partKey(service, id)))];
}

/** Whether the key is that of a part, rather than the fingerprint of a request. */
export function isPartKey(key: string): boolean {
  return key.startsWith(prefix);
}

function partKey(service: string, id: string): string {
  const key = `${prefix}${service} ${id}`;
  return key.length <= maxKeyLength
    ? key
    : prefix + crypto.createHash("sha256").update(key).digest("base64url");
}
