/** Prints answers, as tables for people or as JSON for scripts, and sets the exit code. */
import type { Answer } from './entry-client.js';

export type OutputFormat = 'table' | 'json';

/** Exit codes of the command line; a stable interface for scripts. */
export const EXIT_CODES = {
  ok: 0,
  fault: 1,
  usage: 2,
  invalid: 3,
  conflict: 4,
  notFound: 5,
  unavailable: 6,
  unauthorized: 7,
} as const;

const codeByKind: Readonly<Record<string, number>> = {
  ok: EXIT_CODES.ok,
  invalid: EXIT_CODES.invalid,
  conflict: EXIT_CODES.conflict,
  'not-found': EXIT_CODES.notFound,
  unavailable: EXIT_CODES.unavailable,
  unauthorized: EXIT_CODES.unauthorized,
};

/**
 * Returns the exit code for an answer; `fault` for an unknown kind.
 *
 * @param answer - The entry's answer.
 * @returns The code.
 */
export const exitCodeOf = (answer: Answer): number => codeByKind[answer.kind] ?? EXIT_CODES.fault;

type Row = Readonly<Record<string, unknown>>;

const formatCell = (value: unknown): string => {
  if (value === null || value === undefined) return '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
};

/**
 * Formats rows as an aligned table with a header line.
 *
 * @param rows - The rows.
 * @param columns - The properties to show, in order.
 * @returns The lines.
 */
export const formatTable = (
  rows: readonly Row[],
  columns: readonly string[],
): readonly string[] => {
  const cells = [
    columns.map((column) => column.toUpperCase()),
    ...rows.map((row) => columns.map((column) => formatCell(row[column]))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((line) => (line[index] as string).length)),
  );
  return cells.map((line) =>
    line
      .map((text, index) => text.padEnd(widths[index] as number))
      .join('  ')
      .trimEnd(),
  );
};

/** Formats the value of an answer as lines for people. */
export type LineFormatter = (value: never) => readonly string[];

const writeError = ({ kind, detail, faults = [] }: Answer): void => {
  process.stderr.write(`valvelatch: ${kind}: ${detail ?? ''}\n`);
  faults.forEach(({ file, path, reason }) =>
    process.stderr.write(`  ${file}: ${path}: ${reason}\n`),
  );
};

/**
 * Prints an answer and sets the exit code of the process.
 *
 * @param answer - The entry's answer.
 * @param form - The output format.
 * @param toLines - Formats the value for the table format.
 */
export const printAnswer = (answer: Answer, form: OutputFormat, toLines: LineFormatter): void => {
  process.exitCode = exitCodeOf(answer);
  if (form === 'json') {
    process.stdout.write(`${JSON.stringify(answer, null, 2)}\n`);
    return;
  }
  if (answer.kind !== 'ok') {
    writeError(answer);
    return;
  }
  process.stdout.write(`${toLines(answer.value as never).join('\n')}\n`);
};
