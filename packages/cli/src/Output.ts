/** Output streams of commands; tests pass their own implementation. */
export interface Output {
  /** Writes a line of results to standard output. */
  line(text: string): void;
  /** Writes a line about a failure to standard error. */
  error(text: string): void;
}

export const processOutput: Output = {
  line: (text) => void process.stdout.write(`${text}\n`),
  error: (text) => void process.stderr.write(`${text}\n`),
};

/** Formats rows as aligned columns; the first row is the header. */
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
