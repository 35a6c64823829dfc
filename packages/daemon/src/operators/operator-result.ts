/** What operators get back, and the shared steps of their handlers. */
import type { PlatformError, TableClient } from '@valvelatch/platform';
import type { z } from 'zod';

/** What an operator gets back. */
export type OperatorResult =
  | { readonly kind: 'ok'; readonly value: unknown }
  | { readonly kind: 'invalid'; readonly detail: string; readonly faults?: unknown }
  | { readonly kind: 'conflict'; readonly detail: string; readonly value?: unknown }
  | { readonly kind: 'not-found'; readonly detail: string }
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Handles the body of one method. */
export type Handler = (body: unknown) => Promise<OperatorResult>;

/**
 * Wraps a value as a success.
 *
 * @param value - The value.
 * @returns The result.
 */
export const ok = (value: unknown): OperatorResult => ({ kind: 'ok', value });

/**
 * Tells that the platform does not answer.
 *
 * @param error - What its client said.
 * @returns The result.
 */
export const unavailable = ({ detail }: PlatformError): OperatorResult => ({
  kind: 'unavailable',
  detail: `the platform does not answer: ${detail}`,
});

/**
 * Tells where a selector cannot be read.
 *
 * @param error - The fault in the selector.
 * @returns The result.
 */
export const selectorFault = (error: {
  readonly position: number;
  readonly message: string;
  readonly text: string;
}): OperatorResult => ({
  kind: 'invalid',
  detail: `selector '${error.text}', character ${error.position + 1}: ${error.message}`,
});

/**
 * Checks the body of a method before it is handled.
 *
 * @param schema - What the body must look like.
 * @param handle - Handles the checked body.
 * @returns The handler.
 */
export const withBody =
  <Schema extends z.ZodType>(
    schema: Schema,
    handle: (body: z.infer<Schema>) => Promise<OperatorResult>,
  ): Handler =>
  async (raw) => {
    const parsed = schema.safeParse(raw);
    if (parsed.success) return handle(parsed.data);
    const [issue] = parsed.error.issues;
    return { kind: 'invalid', detail: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}` };
  };

/**
 * Reads all rows of a kind.
 *
 * @param table - The table.
 * @param prefix - The prefix of their keys.
 * @returns The rows with their values typed.
 */
export const scanRows = async <Row>(table: TableClient, prefix: string) =>
  (await table.scan(prefix)).map((rows) =>
    rows.map(({ key, value, version }) => ({ key, value: value as Row, version })),
  );

/**
 * Changes one row, if it is still as it was read; a racing operator is told otherwise.
 *
 * @param table - The table.
 * @param key - The row.
 * @param change - Gives the new row, or why it may not be changed.
 * @returns The new row, or what came in between.
 */
export const changeRow = async <Row>(
  table: TableClient,
  key: string,
  change: (row: Row) => Row | string,
): Promise<OperatorResult> => {
  const rows = await table.read([key]);
  if (rows.isErr()) return unavailable(rows.error);
  const [row] = rows.value;
  if (!row || row.value === null) return { kind: 'not-found', detail: `there is no ${key}` };
  const next = change(row.value as Row);
  if (typeof next === 'string') return { kind: 'conflict', detail: next };
  const outcome = await table.transact({
    checks: [{ key, version: row.version }],
    writes: [{ key, value: next }],
  });
  if (outcome.isErr()) return unavailable(outcome.error);
  return outcome.value.kind === 'committed'
    ? ok(next)
    : { kind: 'conflict', detail: `${key} was changed by another at the same moment` };
};
