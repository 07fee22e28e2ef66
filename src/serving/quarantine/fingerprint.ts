/**
 * Identifies requests that ask the same, whoever sends them, when, and to which node. Callers' repeats of a request have
 * an id of their own each, so ids don't tell that it is the same one again.
 */
import * as crypto from "node:crypto";

/** What a server works on. */
export interface RequestContent {
  readonly method: string;
  /** Lower case. */
  readonly host: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly body: Buffer | undefined;
}

/**
 * The identity of a request's content, 22 characters. Headers are left out: they tell of one attempt (its id, the time
 * left, the event after which a stream goes on) or how to run it, and differ between repeats.
 */
export function fingerprintOf({ method, host, target, body }: RequestContent): string {
  const hash = crypto.createHash("sha256").update(`${method} ${host} ${target}\n`);
  if (body !== undefined) hash.update(body);
  return hash.digest().subarray(0, 16).toString("base64url");
}
