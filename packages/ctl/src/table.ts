/** Plain tables that read well and split on runs of two spaces. */

/** Lays out rows under a heading; columns are as wide as their widest cell. */
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
