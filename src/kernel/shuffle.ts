/**
 * Puts items in random order, so that VMs with the same knowledge do not all choose the same one.
 *
 * @param items - any items
 * @returns a new list
 */
export function shuffle<Item>(items: readonly Item[]): Item[] {
  return items
    .map((item) => ({ item, order: Math.random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);
}
