import type { z } from 'zod';

/** A message without the entries that could not be read. */
export interface Remainder {
  readonly rest: object;
  /** Where the removed entries stood, for example `loads.3`. */
  readonly removed: readonly string[];
}

/** Longest path that is told; its parts come from the network. */
const MAX_PATH_CHARS = 100;

/**
 * Removes from a message the entries that a schema has refused, so that they do not take the rest with them.
 *
 * @param message - what the schema has refused
 * @param issues - its faults
 * @param sections - fields whose entries may be removed; one that holds no entries is removed itself
 * @returns the rest of the message, or undefined when it has other faults
 */
export function removeFaultyEntries(
  message: object,
  issues: readonly z.core.$ZodIssue[],
  sections: ReadonlySet<string>,
): Remainder | undefined {
  const faults = new Map<string, Set<string>>();
  for (const { path } of issues) {
    const [section = '', entry] = path.map(String);
    if (!sections.has(section)) return undefined;
    const entries = faults.get(section) ?? new Set();
    faults.set(section, entry === undefined ? entries : entries.add(entry));
  }
  const rest = Object.entries(message).flatMap(([name, value]): [string, unknown][] => {
    const entries = faults.get(name);
    if (!entries) return [[name, value]];
    return entries.size > 0 ? [[name, withoutEntries(value, entries)]] : [];
  });
  const removed = [...faults].flatMap(([name, entries]) =>
    entries.size > 0 ? [...entries].map((entry) => `${name}.${entry}`) : [name],
  );
  return {
    rest: Object.fromEntries(rest),
    removed: removed.map((path) => path.slice(0, MAX_PATH_CHARS)),
  };
}

function withoutEntries(section: unknown, entries: ReadonlySet<string>): unknown {
  if (Array.isArray(section)) return section.filter((_, index) => !entries.has(String(index)));
  const kept = Object.entries(section as object).filter(([name]) => !entries.has(name));
  return Object.fromEntries(kept);
}
