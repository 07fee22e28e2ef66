/** Chooses an item with a probability in proportion to its weight; `draw` is a number from 0 to 1, exclusive. */
export function weightedChoice<T>(
  items: readonly T[],
  weightOf: (item: T) => number,
  draw: number,
): T | undefined {
  let point = draw * items.reduce((sum, item) => sum + weightOf(item), 0);
  return items.find((item) => (point -= weightOf(item)) < 0) ?? items.at(-1);
}
