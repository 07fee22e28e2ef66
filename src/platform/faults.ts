/** Fault switches of the platform stand-in, for tests: down, slow, and writes applied with the answer lost. */
import * as Schema from "effect/Schema";

/** The switch board; each field is a fault in force while set. */
export const Faults = Schema.Struct({
  /** Every call fails as if the service were unreachable. */
  down: Schema.Boolean,
  /** Every call is answered this many ms late. */
  slowMs: Schema.Number,
  /** The next N commits take effect but their answer is lost. */
  loseAcks: Schema.Number,
});
/** A decoded switch board. */
export type Faults = typeof Faults.Type;

/** All switches off. */
export const noFaults: Faults = { down: false, slowMs: 0, loseAcks: 0 };
