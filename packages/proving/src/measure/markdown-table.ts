/** Formats rows as a Markdown table; the first row is the header. */
export function markdownTable(rows: readonly (readonly string[])[]): string {
  const [header = [], ...body] = rows;
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
  return [line(header), line(header.map(() => '---')), ...body.map(line)].join(
    '\n',
  );
}
