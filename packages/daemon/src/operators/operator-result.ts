/** The results of the operators' API, and helpers that its handlers share. */
import type { PlatformError, TableClient } from '@valvelatch/platform';
import type { z } from 'zod';

/** The result of an operator's request. */
export type OperatorResult =
  | { readonly kind: 'ok'; readonly value: unknown }
  | { readonly kind: 'invalid'; readonly detail: string; readonly faults?: unknown }
  | { readonly kind: 'conflict'; readonly detail: string; readonly value?: unknown }
  | { readonly kind: 'not-found'; readonly detail: string }
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Handles a request to one method; `body` is the unchecked request body. */
export type Handler = (body: unknown) => Promise<OperatorResult>;

/**
 * Wraps a value in a successful result.
 *
 * @param value - The value.
 * @returns The result.
 */
export const ok = (value: unknown): OperatorResult => ({ kind: 'ok', value });

/**
 * Builds the result for a platform that does not answer.
 *
 * @param error - The error of the platform's client.
 * @returns The result.
 */
export const platformUnavailable = ({ detail }: PlatformError): OperatorResult => ({
  kind: 'unavailable',
  detail: `the platform does not answer: ${detail}`,
});

/**
 * Builds the result for an invalid selector, with the position of the error.
 *
 * @param error - The error in the selector.
 * @returns The result.
 */
export const selectorError = (error: {
  readonly position: number;
  readonly message: string;
  readonly text: string;
}): OperatorResult => ({
  kind: 'invalid',
  detail: `selector '${error.text}', character ${error.position + 1}: ${error.message}`,
});

/**
 * Wraps a handler so that the request body is validated first.
 *
 * @param schema - The schema of the body.
 * @param handle - Handles the validated body.
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
 * @returns The rows with typed values, or the platform's error.
 */
export const scanRows = async <Row>(table: TableClient, prefix: string) =>
  (await table.scan(prefix)).map((rows) =>
    rows.map(({ key, value, version }) => ({ key, value: value as Row, version })),
  );

/**
 * Updates one row with optimistic concurrency control: a concurrent change results in a conflict.
 *
 * @param table - The table.
 * @param key - The key of the row.
 * @param change - Returns the new row, or the reason why the row may not be changed.
 * @returns The new row, or why the row was not changed.
 */
export const updateRow = async <Row>(
  table: TableClient,
  key: string,
  change: (row: Row) => Row | string,
): Promise<OperatorResult> => {
  const rows = await table.read([key]);
  if (rows.isErr()) return platformUnavailable(rows.error);
  const [row] = rows.value;
  if (!row || row.value === null) return { kind: 'not-found', detail: `there is no ${key}` };
  const next = change(row.value as Row);
  if (typeof next === 'string') return { kind: 'conflict', detail: next };
  const outcome = await table.transact({
    checks: [{ key, version: row.version }],
    writes: [{ key, value: next }],
  });
  if (outcome.isErr()) return platformUnavailable(outcome.error);
  return outcome.value.kind === 'committed'
    ? ok(next)
    : { kind: 'conflict', detail: `${key} was changed by another at the same moment` };
};
