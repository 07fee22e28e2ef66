/** Fault switches of the platform stand-in, for tests: unavailable, slow, and commits applied with a lost response. */
import * as Schema from "effect/Schema";

/** The fault switches; each field is a fault that is active while set. */
export const Faults = Schema.Struct({
  /** Every call fails as if the platform were unavailable. */
  down: Schema.Boolean,
  /** Every call is delayed by this many ms. */
  slowMs: Schema.Number,
  /** The next N commits take effect but their response is lost. */
  loseAcks: Schema.Number,
});
/** Decoded fault switches. */
export type Faults = typeof Faults.Type;

/** All switches off. */
export const noFaults: Faults = { down: false, slowMs: 0, loseAcks: 0 };
