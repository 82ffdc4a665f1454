/** Tables for people. */

/** Removes control characters, so that what others registered cannot steer the terminal. */
export function formatCell (value: unknown): string {
  // eslint-disable-next-line no-control-regex
  return String(value ?? '').replace(/[\u0000-\u001f\u007f-\u009f]/g, ' ')
}

/**
 * Renders rows in columns under a heading.
 *
 * @example
 * renderTable(['name', 'target'], [['counter', 'first token within 450ms']])
 */
export function renderTable (heading: string[], rows: unknown[][]): string {
  const cells = [heading.map(name => name.toUpperCase()), ...rows.map(row => row.map(formatCell))]
  const widths = heading.map((_name, column) => Math.max(...cells.map(row => (row[column] ?? '').length)))
  return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n')
}
