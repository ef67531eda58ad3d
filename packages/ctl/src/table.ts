/** Formats plain-text tables; scripts can split cells on two or more spaces. */

/**
 * Formats a heading and rows as aligned columns. Missing and empty cells are
 * printed as `-`, so that every row splits into the same number of cells.
 */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const lines = [heading, ...rows].map((row) => row.map(cellText));
  const widths = heading.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0))
  );
  return lines.map((line) => formatLine(line, widths)).join("");
}

function formatLine(
  cells: readonly string[],
  widths: readonly number[],
): string {
  const padded = cells.map((cell, column) => cell.padEnd(widths[column] ?? 0));
  return `${padded.join("  ").trimEnd()}\n`;
}

function cellText(value: unknown): string {
  if (value === undefined || value === null || value === "") return "-";
  return String(value);
}
