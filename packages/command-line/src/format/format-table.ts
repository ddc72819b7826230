/** Formats rows as a table with aligned columns. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const columns = Math.max(0, ...rows.map(row => row.length));
  const widths = Array.from({ length: columns }, (_, column) =>
    Math.max(...rows.map(row => (row[column] ?? '').length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
