/** A backend server as its own registration describes it. */
import * as Schema from "effect/Schema";

/** A model in an engine's memory, with the adapters loaded beside it. */
export const Resident = Schema.Struct({
  model: Schema.String,
  version: Schema.Number,
  adapters: Schema.Array(Schema.String),
});
/** A decoded resident model. */
export type Resident = typeof Resident.Type;

/** One incarnation of a backend server: a restart makes a new `id`, or keeps the `id` with a later start. */
export const BackendServer = Schema.Struct({
  id: Schema.String,
  /** When its process started, Unix ms; absent where servers don't say. */
  startedAtMs: Schema.optionalKey(Schema.Number),
  service: Schema.String,
  /** IP:PORT. */
  address: Schema.String,
  zone: Schema.String,
  /** Requests it runs at once. */
  slots: Schema.Number,
  leaving: Schema.Boolean,
  /** Time until it is gone, where it was given notice, ms. */
  goneInMs: Schema.optionalKey(Schema.Number),
  residents: Schema.Array(Resident),
  /** Models whose weights lie in its host memory or on its disk: a load of these needs no weight store. */
  atHand: Schema.Array(Schema.String),
  /** Does it take model orders? */
  engine: Schema.Boolean,
});
/** A decoded backend server. */
export type BackendServer = typeof BackendServer.Type;

/** Is the first a later incarnation than the second, of servers with one id? */
export function startedAfter(
  later: Pick<BackendServer, "startedAtMs">,
  earlier: Pick<BackendServer, "startedAtMs">,
): boolean {
  return (later.startedAtMs ?? 0) > (earlier.startedAtMs ?? 0);
}

/** Names the incarnation: a server that starts again under its id is another one. */
export function incarnationOf({ id, startedAtMs }: Pick<BackendServer, "id" | "startedAtMs">): string {
  return startedAtMs === undefined ? id : `${id}@${startedAtMs}`;
}

/** Does the server hold the model, and the adapter if one is named? */
export function holds(server: BackendServer, model: string, adapter: string | undefined): boolean {
  const resident = server.residents.find((r) => r.model === model);
  if (resident === undefined) return false;
  return adapter === undefined || resident.adapters.includes(adapter);
}
