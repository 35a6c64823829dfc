/** What the command line prints, as a table for people or as JSON for scripts. */
import type { Answer } from './client.js';

export type OutputForm = 'table' | 'json';

/** Exit codes that scripts can rely on. */
export const exitCode = {
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
  ok: exitCode.ok,
  invalid: exitCode.invalid,
  conflict: exitCode.conflict,
  'not-found': exitCode.notFound,
  unavailable: exitCode.unavailable,
  unauthorized: exitCode.unauthorized,
};

/**
 * Gives the exit code for an answer.
 *
 * @param answer - The entry's answer.
 * @returns The code.
 */
export const exitCodeOf = (answer: Answer): number => codeByKind[answer.kind] ?? exitCode.fault;

type Row = Readonly<Record<string, unknown>>;

const cell = (value: unknown): string => {
  if (value === null || value === undefined) return '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
};

/**
 * Writes rows as an aligned table.
 *
 * @param rows - The rows.
 * @param columns - The columns, in order.
 * @returns The lines.
 */
export const tableLines = (rows: readonly Row[], columns: readonly string[]): readonly string[] => {
  const cells = [
    columns.map((column) => column.toUpperCase()),
    ...rows.map((row) => columns.map((column) => cell(row[column]))),
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

/** Writes the value of an answer for people. */
export type TableWriter = (value: never) => readonly string[];

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
 * @param form - The form of output.
 * @param toLines - Writes the value for people.
 */
export const printAnswer = (answer: Answer, form: OutputForm, toLines: TableWriter): void => {
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
