/**
 * The configuration in force, as used for decisions: routes, services with their models, and limits for callers.
 * Types are inferred from the schemas; the adapter decodes into them.
 */
import * as Schema from "effect/Schema";
import { Customer } from "./customers/customer.ts";

/**
 * Whether requests may be retried. `idempotent` requests may run more than once, `non-idempotent` ones at most once;
 * a `stream` counts as non-idempotent unless its route is resumable.
 */
export const RequestKind = Schema.Literals(["idempotent", "non-idempotent", "stream"]);
/** A member of `RequestKind`. */
export type RequestKind = typeof RequestKind.Type;

/** One of several services between which a route divides its requests. */
export const TrafficShare = Schema.Struct({ service: Schema.String, weight: Schema.Number });
/** A decoded share. */
export type TrafficShare = typeof TrafficShare.Type;

/** Where requests of one host and path prefix go, and what their callers expect. */
export const Route = Schema.Struct({
  name: Schema.String,
  host: Schema.String,
  pathPrefix: Schema.String,
  kind: RequestKind,
  /** Maximum time until the response is complete, ms. */
  timeoutMs: Schema.Number,
  /** Time within which a response (of a stream: its first event) counts in full, ms. */
  targetMs: Schema.Number,
  /** Longest gap between two events of a stream that is still on time, ms; 0 for other kinds. */
  pauseMs: Schema.Number,
  /** 0 is the most urgent. */
  priority: Schema.Number,
  /** Maximum number of backend servers to which one request of a caller may be sent. */
  maxAttempts: Schema.Number,
  resumable: Schema.Boolean,
  /** Requests need no API key. */
  open: Schema.optionalKey(Schema.Boolean),
  /** One entry for a plain route, several for a split route. */
  shares: Schema.Array(TrafficShare),
});
/** A decoded route. */
export type Route = typeof Route.Type;

/** A model that an engine service offers. */
export const Model = Schema.Struct({
  name: Schema.String,
  sizeMb: Schema.Number,
  /** Number of adapters, named a1, a2 and so on. */
  adapters: Schema.Number,
  adapterMb: Schema.Number,
  /** Time to load it from the weight store, s. */
  loadS: Schema.Number,
});
/** A decoded model. */
export type Model = typeof Model.Type;

/** How engines copy cached prompt parts from each other. */
export const CacheTransfer = Schema.Struct({
  bytesPerToken: Schema.Number,
  /** Bandwidth of an engine's link, Mbit/s. */
  linkMbps: Schema.Number,
});
/** A decoded cache transfer. */
export type CacheTransfer = typeof CacheTransfer.Type;

/** How engines let another engine continue one of their runs. */
export const RunCopies = Schema.Struct({
  /** An engine sends the state of a run to a second engine while the run goes on. */
  backups: Schema.Boolean,
  /** A run can be copied to another engine and stopped, on request. */
  moves: Schema.Boolean,
  /** A copy that isn't used is dropped after this time, ms. */
  lifetimeMs: Schema.Number,
});
/** A decoded description of run copies. */
export type RunCopies = typeof RunCopies.Type;

/** What the engines of a service can hold, and how fast they may load weights. */
export const EngineLimits = Schema.Struct({
  models: Schema.Array(Model),
  /** Memory for weights and adapters of one engine, MB. */
  memoryMb: Schema.Number,
  /** Adapter slots of one engine, over all models. */
  adapterSlots: Schema.Number,
  /** Loads from the weight store per second, over all engines. */
  loadsPerS: Schema.Number,
  /** Requests that an engine runs at the same time. */
  slots: Schema.Number,
  /** Tokens in one event of a stream. */
  tokensPerEvent: Schema.Number,
  /** Engines can fetch cached prompt parts from each other at this rate; absent if they can't. */
  cacheTransfer: Schema.optionalKey(CacheTransfer),
  /** Readers of its cache events that one engine bears; absent if engines don't report them. */
  maxCacheReaders: Schema.optionalKey(Schema.Number),
  /** Tokens of prompts and outputs that fit into the memory of one engine; absent if not stated. */
  capacityTokens: Schema.optionalKey(Schema.Number),
  /** Absent if a run can be continued by no other engine. */
  runCopies: Schema.optionalKey(RunCopies),
});
/** Decoded engine limits. */
export type EngineLimits = typeof EngineLimits.Type;

/** A group of backend servers that serve the same requests; `engine` is set if they serve models. */
export const Service = Schema.Struct({
  name: Schema.String,
  maxConnections: Schema.Number,
  engine: Schema.optionalKey(EngineLimits),
});
/** A decoded service. */
export type Service = typeof Service.Type;

/** Limits on what callers may send and how long they may stay idle. */
export const CallerLimits = Schema.Struct({
  maxHeaderBytes: Schema.Number,
  maxBodyBytes: Schema.Number,
  headerTimeoutMs: Schema.Number,
  idleTimeoutMs: Schema.Number,
});
/** Decoded caller limits. */
export type CallerLimits = typeof CallerLimits.Type;

/** Everything that operators configure, as of one version. */
export const Configuration = Schema.Struct({
  version: Schema.Number,
  routes: Schema.Array(Route),
  services: Schema.Array(Service),
  limits: CallerLimits,
  /** If present, requests need an API key of one of the customers, except on open routes. */
  customers: Schema.optionalKey(Schema.Array(Customer)),
});
/** A decoded configuration. */
export type Configuration = typeof Configuration.Type;

/** Whether requests of this route may run more than once. */
export function isRepeatable(route: Route): boolean {
  if (route.kind === "stream") return route.resumable;
  return route.kind === "idempotent";
}
