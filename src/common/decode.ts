/** Decoding untrusted input with a schema, failing with a `Failure` of a chosen kind. */
import * as Schema from "effect/Schema";
import { Failure, type ErrorKind } from "./errors.ts";

/** Decodes `input` with `schema`; on mismatch throws `kind` (default `bad-request`) with the schema's message. */
export function decode<A>(schema: Schema.Codec<A>, input: unknown, kind: ErrorKind = "bad-request"): A {
  const decoded = Schema.decodeUnknownExit(schema)(input);
  if (decoded._tag === "Success") return decoded.value;
  throw new Failure(kind, `input does not fit: ${String(decoded.cause)}`);
}
