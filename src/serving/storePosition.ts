/**
 * Positions in the history of the store. A store restored from a backup issues versions again, so a version
 * is meaningful only together with its era.
 */
import * as Schema from "effect/Schema";

/** A version of the store and the era in which it was issued. */
export const StorePosition = Schema.Struct({ era: Schema.Number, version: Schema.Number });
/** A decoded position. */
export type StorePosition = typeof StorePosition.Type;

/** Before any write. */
export const initialPosition: StorePosition = { era: 0, version: 0 };

/** Whether the first position is later than the second. */
export function isAfter(later: StorePosition, earlier: StorePosition): boolean {
  if (later.era !== earlier.era) return later.era > earlier.era;
  return later.version > earlier.version;
}

/** The later of two positions. */
export function laterOf(one: StorePosition, other: StorePosition): StorePosition {
  return isAfter(other, one) ? other : one;
}

/** The condition that a row does not exist, for a write based on a read at `position`. */
export function absentAt({ era }: Pick<StorePosition, "era">): StorePosition {
  return { era, version: 0 };
}

/** Text form for logs and equality checks. */
export function formatPosition({ era, version }: StorePosition): string {
  return `${era}.${version}`;
}
