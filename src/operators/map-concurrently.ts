/**
 * Applies an asynchronous function to each item with a limited number of concurrent calls.
 *
 * @param items - items to process
 * @param limit - maximum concurrent calls
 * @param apply - function to apply
 * @returns the results in the order of the items
 */
export async function mapConcurrently<Item, Result>(
  items: readonly Item[],
  limit: number,
  apply: (item: Item) => Promise<Result>,
): Promise<Result[]> {
  const results: Result[] = [];
  let next = 0;
  const runWorker = async () => {
    while (next < items.length) {
      const index = next;
      next += 1;
      results[index] = await apply(items[index] as Item);
    }
  };
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, runWorker));
  return results;
}
