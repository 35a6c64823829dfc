/** Handler that clears the doubt row, which lists data centres with unflushed claims. */
import { rowKey } from '@valvelatch/core';
import { z } from 'zod';

import type { OperatorContext } from './operator-context.js';
import {
  ok,
  platformUnavailable,
  withBody,
  type Handler,
  type OperatorResult,
} from './operator-result.js';

/**
 * Deletes the doubt row. The operator thereby confirms that no unflushed claim of a replaced data
 * centre matters any more.
 */
const clearDoubt = async ({ table }: OperatorContext): Promise<OperatorResult> => {
  const rows = await table.read([rowKey.doubt]);
  if (rows.isErr()) return platformUnavailable(rows.error);
  const [row] = rows.value;
  if (!row || row.value === null) return { kind: 'not-found', detail: 'there is no doubt' };
  const outcome = await table.transact({
    checks: [{ key: rowKey.doubt, version: row.version }],
    writes: [{ key: rowKey.doubt, value: null }],
  });
  if (outcome.isErr()) return platformUnavailable(outcome.error);
  return outcome.value.kind === 'committed'
    ? ok(row.value)
    : { kind: 'conflict', detail: 'the doubt has changed; look at it again' };
};

/**
 * Builds the handler for doubt.
 *
 * @param context - The dependencies of the handler.
 * @returns The handler, by method.
 */
export const doubtHandlers = (
  context: OperatorContext,
): Readonly<Record<'doubt-clear', Handler>> => ({
  'doubt-clear': withBody(z.strictObject({}), () => clearDoubt(context)),
});
