/** The message by which entry nodes tell the holder of the placement lease what their callers ask for. */
import * as Schema from "effect/Schema";

/** One model's demand at one entry node. */
export const ModelDemand = Schema.Struct({
  model: Schema.String,
  /** Streams wanted at once, over the last seconds (running and waiting). */
  demand: Schema.Number,
  /** Streams wanted at once, over the last minutes. */
  usual: Schema.Number,
  /** Requests waiting for a first copy, now. */
  waiting: Schema.Number,
  /** When it was last asked for, epoch ms. */
  lastUsed: Schema.Number,
});
/** A decoded model demand. */
export type ModelDemand = typeof ModelDemand.Type;

/** `placement.demand` params: the models whose demand changed since the last report, or all if `full`. */
export const DemandReport = Schema.Struct({
  node: Schema.String,
  full: Schema.Boolean,
  models: Schema.Array(ModelDemand),
});
/** A decoded demand report. */
export type DemandReport = typeof DemandReport.Type;

/**
 * `placement.demand` result: whether the receiver lacks the node's full report (it has just taken over),
 * and the models whose first copy is on its way. A model that is asked for and not among them is not
 * going to be loaded now.
 */
export const DemandReceipt = Schema.Struct({
  wantsFull: Schema.Boolean,
  coming: Schema.Array(Schema.String),
});
/** A decoded demand receipt. */
export type DemandReceipt = typeof DemandReceipt.Type;
