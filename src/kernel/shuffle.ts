/**
 * Returns the items in random order, so that VMs with the same state do not all choose the same item.
 *
 * @param items - any items
 * @returns a new array
 */
export function shuffle<Item>(items: readonly Item[]): Item[] {
  return items
    .map((item) => ({ item, order: Math.random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);
}
