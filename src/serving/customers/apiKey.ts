/** API keys are kept as digests only, so that they can't reach a log, a metric or another node by accident. */
import * as crypto from "node:crypto";

/** Digest of an API key. Keys are long and random, so that a plain hash can't be reversed. */
export function hashApiKey(key: string): string {
  return crypto.createHash("sha256").update(key).digest("base64url");
}
