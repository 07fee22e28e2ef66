/** Messages between entry nodes and model engines: orders (load, unload, role) and status reports. */
import * as Schema from "effect/Schema";

/** An order to load a model (with adapters) at a version; `fencing` is the placement lease epoch. */
export const LoadOrder = Schema.Struct({
  model: Schema.String,
  version: Schema.String,
  sizeMb: Schema.Number,
  adapters: Schema.Array(Schema.Struct({ name: Schema.String, sizeMb: Schema.Number })),
  fencing: Schema.Number,
});
/** A decoded load order. */
export type LoadOrder = typeof LoadOrder.Type;

/** An order to unload a model. */
export const UnloadOrder = Schema.Struct({ model: Schema.String, fencing: Schema.Number });
/** A decoded unload order. */
export type UnloadOrder = typeof UnloadOrder.Type;

/** A model resident on an engine. */
export const Resident = Schema.Struct({
  model: Schema.String,
  version: Schema.String,
  sizeMb: Schema.Number,
  adapters: Schema.Array(Schema.String),
  /** `unloading`: accepts no new streams; its memory is freed once its running streams have ended. */
  state: Schema.Literals(["loading", "ready", "unloading"]),
});
/** A decoded resident model. */
export type Resident = typeof Resident.Type;

/** Status reported by an engine; `load` is the number of requests in flight, possibly stale by the engine's report lag. */
export const EngineStatus = Schema.Struct({
  id: Schema.String,
  zone: Schema.String,
  capacityMb: Schema.Number,
  usedMb: Schema.Number,
  residents: Schema.Array(Resident),
  load: Schema.Number,
  /** Streams the engine runs concurrently; further ones wait in its queue. */
  slots: Schema.Number,
  /** Random id of this engine process; a different id means that the engine restarted. */
  boot: Schema.String,
  /** Incremented with every change of the residents within one boot. */
  revision: Schema.Number,
  fencing: Schema.Number,
  role: Schema.String,
  /** True once the engine was told to drain: it finishes streams in flight and accepts no new ones. */
  draining: Schema.Boolean,
  /** Completions received so far, and how many of them arrived after the drain notice. */
  received: Schema.Number,
  receivedAfterDrain: Schema.Number,
});
/** A decoded engine status. */
export type EngineStatus = typeof EngineStatus.Type;

/** `engine.report` params: the last boot id and revision known to the caller; absent on the first call. */
export const ReportParams = Schema.Struct({
  boot: Schema.optionalKey(Schema.String),
  revision: Schema.optionalKey(Schema.Number),
});

/** `engine.report` result: frequently changing fields, plus the complete status only if the residents changed. */
export const EngineReport = Schema.Struct({
  load: Schema.Number,
  draining: Schema.Boolean,
  status: Schema.optionalKey(EngineStatus),
});
/** A decoded engine report. */
export type EngineReport = typeof EngineReport.Type;
