/**
 * Identifies requests by their content, whoever sends them, when, and to which node. Request ids don't serve for
 * this, as each retry by the caller has a new one.
 */
import * as crypto from "node:crypto";

/** The part of a request that determines what a server does. */
export interface RequestContent {
  readonly method: string;
  /** Lower case. */
  readonly host: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly body: Buffer | undefined;
}

/**
 * Hash of a request's content, 22 characters. Headers are left out: they describe one attempt (its id, the remaining
 * time, the event after which to resume a stream) or how to run it, and differ between retries.
 */
export function fingerprintOf({ method, host, target, body }: RequestContent): string {
  const hash = crypto.createHash("sha256").update(`${method} ${host} ${target}\n`);
  if (body !== undefined) hash.update(body);
  return hash.digest().subarray(0, 16).toString("base64url");
}
