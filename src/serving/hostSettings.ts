/** Settings of a gateway process for the host that it runs on. */
import * as Schema from "effect/Schema";

/** IP and port to listen on or to connect to. */
export const Endpoint = Schema.Struct({ ip: Schema.String, port: Schema.Number });
/** A decoded endpoint. */
export type Endpoint = typeof Endpoint.Type;

/** Settings of one host, checked at startup. */
export const HostSettings = Schema.Struct({
  host: Schema.String,
  ip: Schema.String,
  zone: Schema.String,
  /** CPU cores that the process may use. */
  strength: Schema.Number,
  /** Bandwidth of the host's link, Mbit/s; absent if it isn't known. */
  linkMbps: Schema.optionalKey(Schema.Number),
  /** Receives the requests of callers. */
  callers: Endpoint,
  /** Serves readiness checks. */
  readiness: Endpoint,
  /** Serves the addresses that callers should use. */
  directory: Endpoint,
  /** Messages between gateway nodes (UDP and TCP). */
  peers: Endpoint,
  metrics: Endpoint,
  /** Addresses at which to find other gateway nodes while the store is unavailable. */
  seeds: Schema.Array(Endpoint),
  store: Endpoint,
  /** Minimum time between the orders of two holders of the placement lease, ms. */
  leaseMs: Schema.Number,
  /** Time between SIGTERM and SIGKILL, ms. */
  graceMs: Schema.Number,
  /** A server may be sent requests for this long after it announced its shutdown, ms. */
  drainMs: Schema.Number,
  /** A configuration has to be in force this long after its acknowledgement, ms. */
  configApplyMs: Schema.Number,
  /** API keys are accepted for this long without knowledge of whether they still exist, ms; forever if absent. */
  maxKeyAgeMs: Schema.optionalKey(Schema.Number),
  /** How far customers may exceed their quotas within a window; in the unit of the quota. */
  quotaTolerance: Schema.optionalKey(
    Schema.Struct({ windowS: Schema.Number, overage: Schema.Number, slack: Schema.Number }),
  ),
  /** Longest time for which callers cache a response of the directory, s. */
  maxTtlS: Schema.Number,
  /** Retries earned per request, and how many may accumulate, over all nodes. */
  retryRatio: Schema.Number,
  retryBurst: Schema.Number,
  /**
   * Rate limit of the weight store: loads started within the window, s, over all engines may exceed the configured
   * rate by the overage factor.
   */
  ceilingWindowS: Schema.Number,
  ceilingOverage: Schema.Number,
});
/** Decoded host settings. */
export type HostSettings = typeof HostSettings.Type;

/** Parses `IP:PORT`; undefined if the text is not an endpoint. */
export function parseEndpoint(text: string): Endpoint | undefined {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  const port = Number(match[2]);
  return port > 0 && port < 65536 ? { ip: match[1] ?? "", port } : undefined;
}

/** Formats the endpoint as `IP:PORT`. */
export function formatEndpoint(endpoint: Endpoint): string {
  return `${endpoint.ip}:${endpoint.port}`;
}
