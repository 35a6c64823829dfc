/** The output of the benchmarks: JSON lines for scripts and a table for people. */

/** A row of results, by column. */
export type BenchRow = Readonly<Record<string, string | number>>;

/**
 * Rounds a value to three significant digits, because no benchmark is more precise than that.
 *
 * @param value - The value.
 * @returns The rounded value.
 */
export const roundToPrecision = (value: number): number => Number(value.toPrecision(3));

/**
 * Prints rows as JSON lines to the standard output and as a table to the standard error.
 *
 * @param rows - The rows.
 */
export const printRows = (rows: readonly BenchRow[]): void => {
  rows.forEach((row) => process.stdout.write(`${JSON.stringify(row)}\n`));
  const columns = Array.from(new Set(rows.flatMap((row) => Object.keys(row))));
  const lines = [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '')))];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => (line[index] as string).length)),
  );
  lines.forEach((line) => {
    const cells = line.map((cell, index) => cell.padEnd(widths[index] as number));
    process.stderr.write(`${cells.join('  ').trimEnd()}\n`);
  });
};

/**
 * Computes the median; of an even number of values, the higher of the two in the middle.
 *
 * @param values - The values.
 * @returns The median; 0 if there are no values.
 */
export const computeMedian = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};
