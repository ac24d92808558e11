/** Row of a table: values by column title. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/**
 * Formats rows as aligned columns.
 *
 * @param rows - rows that all have the same columns
 * @returns the table, or `(none)` when there are no rows
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
