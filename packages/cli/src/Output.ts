/** Where commands write; a test passes its own. */
export interface Output {
  /** A line for standard output: results. */
  line(text: string): void;
  /** A line for standard error: what went wrong. */
  error(text: string): void;
}

export const processOutput: Output = {
  line: (text) => void process.stdout.write(`${text}\n`),
  error: (text) => void process.stderr.write(`${text}\n`),
};

/** Rows as columns of equal width; the first row is the head. */
export const formatTable = (rows: readonly (readonly string[])[]): string => {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
};
