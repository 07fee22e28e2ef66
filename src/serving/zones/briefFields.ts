/** Fields of short heartbeats. */
import * as Schema from "effect/Schema";

/** Fields whose values are in every heartbeat. */
export const changingFields = {
  busy: Schema.Number,
  steadyBusy: Schema.optionalKey(Schema.Number),
  configurationAgeMs: Schema.optionalKey(Schema.Number),
  readAgeMs: Schema.optionalKey(Schema.Number),
  fleetRevision: Schema.Number,
};

const carriedFields = {
  ...changingFields,
  boot: Schema.Number,
  /** The `base` of the full heartbeat that has the other fields. */
  base: Schema.Number,
  /** Prefill factors that changed since those that were sent before; absent if none did. */
  paces: Schema.optionalKey(Schema.Record(Schema.String, Schema.Tuple([Schema.Number, Schema.Number]))),
};

/** A short heartbeat in a message that has the node's address. */
export const CarriedPulse = Schema.Struct(carriedFields);
/** A decoded carried heartbeat. */
export type CarriedPulse = typeof CarriedPulse.Type;

/** A short heartbeat. */
export const BriefPulse = Schema.Struct({ ...carriedFields, ip: Schema.String });
/** A decoded short heartbeat. */
export type BriefPulse = typeof BriefPulse.Type;
