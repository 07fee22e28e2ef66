/** What a gateway process is told about the host it runs on. */
import * as Schema from "effect/Schema";

/** IP and port to bind or to call. */
export const Endpoint = Schema.Struct({ ip: Schema.String, port: Schema.Number });
/** A decoded endpoint. */
export type Endpoint = typeof Endpoint.Type;

/** Settings of one host, checked at start. */
export const HostSettings = Schema.Struct({
  host: Schema.String,
  ip: Schema.String,
  zone: Schema.String,
  /** Processor cores that the process may use. */
  strength: Schema.Number,
  /** Callers' requests. */
  callers: Endpoint,
  /** Readiness checks. */
  readiness: Endpoint,
  /** Callers ask here which addresses to use. */
  directory: Endpoint,
  /** Messages between gateway nodes (UDP and TCP). */
  peers: Endpoint,
  metrics: Endpoint,
  /** Where other gateway nodes may be found when the store is away. */
  seeds: Schema.Array(Endpoint),
  store: Endpoint,
  /** Two holders of the placement lease must not order within this time of one another, ms. */
  leaseMs: Schema.Number,
  /** Time a host is given between SIGTERM and SIGKILL, ms. */
  graceMs: Schema.Number,
  /** A server may be sent requests for this long after it said that it leaves, ms. */
  drainMs: Schema.Number,
  /** Longest time callers keep an answer of the directory, s. */
  maxTtlS: Schema.Number,
  retryRatio: Schema.Number,
  retryBurst: Schema.Number,
  /** The weight store's ceiling: loads that begin within the window, over all engines. */
  ceilingWindowS: Schema.Number,
  ceilingOverage: Schema.Number,
});
/** Decoded host settings. */
export type HostSettings = typeof HostSettings.Type;

/** `IP:PORT` → an endpoint; undefined if the text is not one. */
export function parseEndpoint(text: string): Endpoint | undefined {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  const port = Number(match[2]);
  return port > 0 && port < 65536 ? { ip: match[1] ?? "", port } : undefined;
}

/** The endpoint as `IP:PORT`. */
export function formatEndpoint(endpoint: Endpoint): string {
  return `${endpoint.ip}:${endpoint.port}`;
}
