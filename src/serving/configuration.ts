/**
 * The configuration in force, as the decisions see it: routes, services with their models, and the limits
 * on what a caller may send. Types are inferred from the schemas; the adapter decodes into them.
 */
import * as Schema from "effect/Schema";

/**
 * What may be repeated. `idempotent` requests may run more than once, `non-idempotent` at most once;
 * a `stream` counts as non-idempotent unless its route is resumable.
 */
export const RequestKind = Schema.Literals(["idempotent", "non-idempotent", "stream"]);
/** A member of `RequestKind`. */
export type RequestKind = typeof RequestKind.Type;

/** One of several services a route divides its requests over. */
export const Share = Schema.Struct({ service: Schema.String, weight: Schema.Number });
/** A decoded share. */
export type Share = typeof Share.Type;

/** Where requests of one host and path prefix go, and what their callers expect. */
export const Route = Schema.Struct({
  name: Schema.String,
  host: Schema.String,
  pathPrefix: Schema.String,
  kind: RequestKind,
  /** Longest time a caller is kept waiting, ms. */
  timeoutMs: Schema.Number,
  /** Time within which an answer (of a stream: the first event) earns its full worth, ms. */
  targetMs: Schema.Number,
  /** Longest pause between two events of a stream that is still on time, ms; 0 on other kinds. */
  pauseMs: Schema.Number,
  /** 0 is the most urgent. */
  priority: Schema.Number,
  /** Backend servers that one caller's attempt may be sent to. */
  maxAttempts: Schema.Number,
  resumable: Schema.Boolean,
  /** One entry for a plain route, several where the route is split. */
  shares: Schema.Array(Share),
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
  /** Time of a load from the weight store, s. */
  loadS: Schema.Number,
});
/** A decoded model. */
export type Model = typeof Model.Type;

/** What the engines of a service hold, and how fast they may be given weights. */
export const EngineLimits = Schema.Struct({
  models: Schema.Array(Model),
  /** Memory for weights and adapters of one engine, MB. */
  memoryMb: Schema.Number,
  /** Places for adapters of one engine, all models together. */
  adapterSlots: Schema.Number,
  /** Loads from the weight store per second, over all engines. */
  loadsPerS: Schema.Number,
  /** Requests an engine runs at once. */
  slots: Schema.Number,
  /** Tokens that one event of a stream holds. */
  tokensPerEvent: Schema.Number,
});
/** Decoded engine limits. */
export type EngineLimits = typeof EngineLimits.Type;

/** A group of backend servers that answer the same requests; `engine` is set where they serve models. */
export const Service = Schema.Struct({
  name: Schema.String,
  maxConnections: Schema.Number,
  engine: Schema.optionalKey(EngineLimits),
});
/** A decoded service. */
export type Service = typeof Service.Type;

/** Bounds on what callers may send and how long they may stay idle. */
export const CallerLimits = Schema.Struct({
  maxHeaderBytes: Schema.Number,
  maxBodyBytes: Schema.Number,
  headerTimeoutMs: Schema.Number,
  idleTimeoutMs: Schema.Number,
});
/** Decoded caller limits. */
export type CallerLimits = typeof CallerLimits.Type;

/** Everything operators configure, as of one version. */
export const Configuration = Schema.Struct({
  version: Schema.Number,
  routes: Schema.Array(Route),
  services: Schema.Array(Service),
  limits: CallerLimits,
});
/** A decoded configuration. */
export type Configuration = typeof Configuration.Type;

/** May this route's requests run more than once? */
export function isRepeatable(route: Route): boolean {
  if (route.kind === "stream") return route.resumable;
  return route.kind === "idempotent";
}
