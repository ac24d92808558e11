/** A row of a table by column title. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/**
 * Lays rows out in aligned columns.
 *
 * @param rows - rows that all have the same columns
 * @returns the table, or a line that says that there is nothing
 */
export function formatTable(rows: readonly Row[]): string {
  const [first] = rows;
  if (!first) return '(none)';
  const titles = Object.keys(first);
  const lines = [titles, ...rows.map((row) => titles.map((title) => String(row[title] ?? '')))];
  const widths = titles.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines
    .map((line) => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)))
    .map((line) => line.join('  ').trimEnd())
    .join('\n');
}
