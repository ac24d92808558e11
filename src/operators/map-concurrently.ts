/**
 * Applies an asynchronous function to each item with a bounded number of calls at a time.
 *
 * @param items - what to process
 * @param limit - most calls in progress
 * @param apply - the function
 * @returns the results in the order of the items
 */
export async function mapConcurrently<Item, Result>(
  items: readonly Item[],
  limit: number,
  apply: (item: Item) => Promise<Result>,
): Promise<Result[]> {
  const results: Result[] = [];
  let next = 0;
  const work = async () => {
    while (next < items.length) {
      const index = next;
      next += 1;
      results[index] = await apply(items[index] as Item);
    }
  };
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, work));
  return results;
}
