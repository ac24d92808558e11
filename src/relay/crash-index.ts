/**
 * Lists entries by their suspects.
 *
 * @param entries - crashes or broken connections
 * @param listSuspects - returns the suspects of an entry
 * @returns the entries of each suspect, in their order
 */
export function indexBySuspect<Entry>(
  entries: Iterable<Entry>,
  listSuspects: (entry: Entry) => readonly string[],
): Map<string, Entry[]> {
  const index = new Map<string, Entry[]>();
  for (const entry of entries) {
    listSuspects(entry).forEach((suspect) => {
      const known = index.get(suspect);
      if (known) known.push(entry);
      else index.set(suspect, [entry]);
    });
  }
  return index;
}

/**
 * Gives suspects that have the same crashes the same list, so that it needs to be assessed only once.
 *
 * @param index - crashes by suspect
 * @returns the same crashes by suspect
 */
export function shareEqualLists<Entry extends { readonly id: string }>(
  index: ReadonlyMap<string, readonly Entry[]>,
): ReadonlyMap<string, readonly Entry[]> {
  const lists = new Map<string, readonly Entry[]>();
  const shared = [...index].map(([suspect, entries]) => {
    const key = JSON.stringify(entries.map(({ id }) => id));
    const list = lists.get(key) ?? entries;
    lists.set(key, list);
    return [suspect, list] as const;
  });
  return new Map(shared);
}
