import { z } from 'zod';

/**
 * Builds a schema of a list that is read without its invalid entries; a missing list is empty.
 *
 * @param entry - schema of an entry
 * @returns the schema
 */
export function listOf<Entry extends z.ZodType>(entry: Entry) {
  const strict = z.array(entry);
  return strict.catch(({ input }): z.infer<typeof strict> => {
    const items = Array.isArray(input) ? (input as unknown[]) : [];
    return items.flatMap((item) => readEntry(entry, item));
  });
}

/**
 * Builds a schema of entries by name that is read without the invalid ones; a missing record is empty.
 *
 * @param entry - schema of an entry
 * @returns the schema
 */
export function recordOf<Entry extends z.ZodType>(entry: Entry) {
  const strict = z.record(z.string(), entry);
  return strict.catch(({ input }): z.infer<typeof strict> => {
    const items = typeof input === 'object' && input !== null ? Object.entries(input) : [];
    const valid = items.flatMap(([name, item]) =>
      readEntry(entry, item).map((value) => [name, value] as const),
    );
    return Object.fromEntries(valid);
  });
}

function readEntry<Entry extends z.ZodType>(entry: Entry, item: unknown): z.infer<Entry>[] {
  const parsed = entry.safeParse(item);
  return parsed.success ? [parsed.data] : [];
}
