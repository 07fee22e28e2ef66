/** The report in which an entry node sends its callers' demand to the holder of the placement lease. */
import * as Schema from "effect/Schema";

/** One model's demand at one entry node. */
export const ModelDemand = Schema.Struct({
  model: Schema.String,
  /** Concurrent streams demanded over the last seconds, running and waiting. */
  demand: Schema.Number,
  /** Concurrent streams demanded over the last minutes (long-term average). */
  usual: Schema.Number,
  /** Requests currently waiting for a first replica. */
  waiting: Schema.Number,
  /** Time of the last request, epoch ms. */
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
 * `placement.demand` result: whether the receiver lacks the node's full report (it has just become lease
 * holder), and the models with a pending load. A requested model that isn't listed won't be loaded now.
 */
export const DemandReceipt = Schema.Struct({
  wantsFull: Schema.Boolean,
  coming: Schema.Array(Schema.String),
});
/** A decoded demand receipt. */
export type DemandReceipt = typeof DemandReceipt.Type;
