/** A backend server as described by its own registration. */
import * as Schema from "effect/Schema";

/** A model in an engine's memory, with the adapters loaded for it. */
export const Resident = Schema.Struct({
  model: Schema.String,
  version: Schema.Number,
  adapters: Schema.Array(Schema.String),
});
/** A decoded resident model. */
export type Resident = typeof Resident.Type;

/** One incarnation of a backend server: a restart gets a new `id`, or keeps the `id` with a later start time. */
export const BackendServer = Schema.Struct({
  id: Schema.String,
  /** Start time of its process, Unix ms; absent for servers that don't report it. */
  startedAtMs: Schema.optionalKey(Schema.Number),
  service: Schema.String,
  /** IP:PORT. */
  address: Schema.String,
  zone: Schema.String,
  /** Version of its software; absent for servers that don't report it. */
  softwareVersion: Schema.optionalKey(Schema.String),
  /** Maximum concurrent requests. */
  slots: Schema.Number,
  /** It is shutting down. */
  leaving: Schema.Boolean,
  /** Time until the server terminates, if it was given notice, ms. */
  goneInMs: Schema.optionalKey(Schema.Number),
  residents: Schema.Array(Resident),
  /**
   * Models whose weights are cached in its host memory or on its disk: they are loaded without the weight
   * store.
   */
  atHand: Schema.Array(Schema.String),
  /** Whether it takes model orders. */
  engine: Schema.Boolean,
});
/** A decoded backend server. */
export type BackendServer = typeof BackendServer.Type;

/** Whether the first one is a later incarnation than the second, for servers with the same id. */
export function startedAfter(
  later: Pick<BackendServer, "startedAtMs">,
  earlier: Pick<BackendServer, "startedAtMs">,
): boolean {
  return (later.startedAtMs ?? 0) > (earlier.startedAtMs ?? 0);
}

/** Results of `incarnationOf`: it is called for every server many times a second. */
const incarnations = new WeakMap<object, string>();

/** Identifies the incarnation: a restarted server with the same id is a different one. */
export function incarnationOf(server: Pick<BackendServer, "id" | "startedAtMs">): string {
  const known = incarnations.get(server);
  if (known !== undefined) return known;
  const { id, startedAtMs } = server;
  const incarnation = startedAtMs === undefined ? id : `${id}@${startedAtMs}`;
  incarnations.set(server, incarnation);
  return incarnation;
}

/** Whether the server holds the model, and the adapter if one is named. */
export function holds(server: BackendServer, model: string, adapter: string | undefined): boolean {
  const resident = server.residents.find((r) => r.model === model);
  if (resident === undefined) return false;
  return adapter === undefined || resident.adapters.includes(adapter);
}
