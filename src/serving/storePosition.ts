/**
 * Moments in the history of the store. A store that comes back from a copy gives versions out again, so a version says
 * nothing without its era.
 */
import * as Schema from "effect/Schema";

/** A version of the store, and the era in which it was given out. */
export const StorePosition = Schema.Struct({ era: Schema.Number, version: Schema.Number });
/** A decoded position. */
export type StorePosition = typeof StorePosition.Type;

/** Before every position at which something was written. */
export const initialPosition: StorePosition = { era: 0, version: 0 };

/** Is the first position later than the second? */
export function isAfter(later: StorePosition, earlier: StorePosition): boolean {
  if (later.era !== earlier.era) return later.era > earlier.era;
  return later.version > earlier.version;
}

/** The later of two positions. */
export function laterOf(one: StorePosition, other: StorePosition): StorePosition {
  return isAfter(other, one) ? other : one;
}

/** The condition that a row does not exist, for a write that is based on what was read at `position`. */
export function absentAt({ era }: StorePosition): StorePosition {
  return { era, version: 0 };
}

/** For logs and comparisons by equality. */
export function formatPosition({ era, version }: StorePosition): string {
  return `${era}.${version}`;
}
