/**
 * Headers between gateway nodes on a request that one passes on to another, which serves it in its place. They are removed
 * from callers' requests and never reach callers or servers.
 */
import * as purify from "purify-ts";
import * as Schema from "effect/Schema";
import { decodeEither } from "../../common/decode.ts";
import { ErrorKind, type Failure } from "../../common/errors.ts";
import type { HeaderCodec, HeaderMap, ResponseMetadata } from "../../serving/exchange.ts";

/** Name of the header with a `ForwardedRequest`. */
export const requestHeader = "parsleynotch-forwarded";
const responseHeader = "parsleynotch-relayed";
const nodeHeaders: ReadonlySet<string> = new Set([requestHeader, responseHeader]);

/** What the receiving node has to know of the request. */
export const ForwardedRequest = Schema.Struct({
  /** The node that the caller asked. */
  host: Schema.String,
  /** Time since the request arrived there, ms. */
  ageMs: Schema.Number,
  /** Servers that may have run it already. */
  runs: Schema.Number,
  /** The software version at which the stream goes on, if it has begun. */
  softwareVersion: Schema.optionalKey(Schema.String),
  /** Name of the customer for whom it runs; the API key stays with the first node. */
  customer: Schema.optionalKey(Schema.String),
});
/** A decoded request header. */
export type ForwardedRequest = typeof ForwardedRequest.Type;

/** What the first node has to know of the response. */
export const RelayedResponse = Schema.Struct({
  /** Set if the response is a failure of the relaying node, not a server's. */
  failure: Schema.optionalKey(Schema.Struct({ kind: ErrorKind, requestId: Schema.String })),
  /** The incarnation whose notices the response carries. */
  server: Schema.optionalKey(
    Schema.Struct({
      id: Schema.String,
      startedAtMs: Schema.optionalKey(Schema.Number),
      softwareVersion: Schema.optionalKey(Schema.String),
    }),
  ),
  /** The server's response stated its length. */
  framed: Schema.optionalKey(Schema.Boolean),
});
/** A decoded response header. */
export type RelayedResponse = typeof RelayedResponse.Type;

/** Decodes the header of a forwarded request. */
export function decodeForwardedRequest(headers: HeaderMap): purify.Either<Failure, ForwardedRequest> {
  return decodeEither(ForwardedRequest, parse(headers[requestHeader]));
}

/** The raw headers without those between nodes. */
export function withoutNodeHeaders(raw: readonly string[]): string[] {
  const headers: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2)
    if (!nodeHeaders.has((raw[i] ?? "").toLowerCase())) headers.push(raw[i] ?? "", raw[i + 1] ?? "");
  return headers;
}

/** Raw headers that mark a request as forwarded. */
export function forwardedRequestHeaders(request: ForwardedRequest): string[] {
  return [requestHeader, JSON.stringify(request)];
}

/** Raw headers that describe a relayed response. */
export function relayedResponseHeaders(response: RelayedResponse): string[] {
  return [responseHeader, JSON.stringify(response)];
}

/** Reads responses of a peer: its own refusals count as not run, a server's response as that server's. */
export class RelayedResponseCodec implements Pick<HeaderCodec, "readResponse"> {
  /** The description in the last response; undefined before it, or if it had none. */
  last: RelayedResponse | undefined;

  constructor(private readonly codec: HeaderCodec) {}

  readResponse(status: number, headers: HeaderMap): ResponseMetadata {
    const metadata = this.codec.readResponse(status, headers);
    this.last = decodeEither(RelayedResponse, parse(headers[responseHeader])).toMaybe().extract();
    // A response without the header is no relayed one, as from a node of an older build.
    if (this.last === undefined) return { ...metadata, requestId: undefined };
    const { failure, framed } = this.last;
    if (failure === undefined)
      return { ...metadata, framed: framed ?? metadata.framed, notExecuted: false, wrongServer: false };
    const { requestId } = failure;
    return { ...metadata, requestId, notExecuted: isRefusal(status), wrongServer: false };
  }
}

/** Statuses of failures that guarantee that the request was not run, and of those that depend on the request alone. */
function isRefusal(status: number): boolean {
  return status === 503 || status === 429 || (status >= 400 && status < 500);
}

function parse(value: string | string[] | undefined): unknown {
  if (typeof value !== "string") return undefined;
  return purify.Either.encase(() => JSON.parse(value) as unknown).orDefault(undefined);
}
