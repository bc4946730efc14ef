/** Prints results as a table and as one line of JSON. */

import { formatTable } from "@rackspan/cli";

export type Row = Readonly<Record<string, string | number>>;

const toText = (value: string | number | undefined): string => {
  if (typeof value !== "number") return value ?? "";
  return Number.isInteger(value) ? String(value) : value.toPrecision(4);
};

export const printRows = (title: string, rows: readonly Row[]): void => {
  const head = Object.keys(rows[0] ?? {});
  const body = rows.map((row) => head.map((name) => toText(row[name])));
  process.stdout.write(`${title}\n${formatTable([head, ...body])}\n\n`);
  process.stdout.write(`${JSON.stringify({ title, rows })}\n\n`);
};

/** Least-squares slope of y over x. */
export const slopeOf = (
  points: readonly { readonly x: number; readonly y: number }[],
): number => {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const covariance = points.reduce(
    (sum, { x, y }) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  return variance === 0 ? 0 : covariance / variance;
};

export const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};
