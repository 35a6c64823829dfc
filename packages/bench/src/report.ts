/** What the benchmarks print: one JSON object a line for scripts, a table for people. */

/** One figure or one row of figures. */
export type BenchRow = Readonly<Record<string, string | number>>;

/**
 * Rounds a figure to three significant digits, as no run here is more exact than that.
 *
 * @param value - The figure.
 * @returns The rounded figure.
 */
export const rounded = (value: number): number => Number(value.toPrecision(3));

/**
 * Prints rows: JSON lines on the standard output, a table on the standard error.
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
 * Gives the middle of several figures.
 *
 * @param values - The figures.
 * @returns The median.
 */
export const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};
