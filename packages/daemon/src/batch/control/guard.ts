/** The row that every write of jobs depends on: a new holder changes it before it reads jobs. */
import type { RowCheck } from '@valvelatch/core/rows/transaction';

import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';

/** What became of an attempt to change the guard. */
export type GuardOutcome =
  | { readonly kind: 'taken'; readonly check: RowCheck }
  /** A later holder has changed it. */
  | { readonly kind: 'superseded' }
  /** There was no answer, or the row had changed meanwhile: to be tried again. */
  | { readonly kind: 'open' };

/**
 * Changes the guard for a term. From then on no earlier holder writes jobs.
 *
 * @param table - The table.
 * @param fence - The term's fence.
 * @returns What became of it.
 */
export const takeGuard = async (
  table: Pick<BatchTable, 'read' | 'transact'>,
  fence: number,
): Promise<GuardOutcome> => {
  const key = batchKey.guard;
  const rows = await table.read([key]);
  if (rows.isErr()) return { kind: 'open' };
  const [row] = rows.value;
  const value = (row?.value ?? { fence: 0 }) as { readonly fence: number };
  // An earlier try took effect without an answer.
  if (row && value.fence === fence) return { kind: 'taken', check: { key, version: row.version } };
  if (value.fence > fence) return { kind: 'superseded' };
  const outcome = await table.transact({
    checks: [{ key, version: row?.version ?? 0 }],
    writes: [{ key, value: { fence } }],
  });
  if (outcome.isErr() || outcome.value.kind === 'conflict') return { kind: 'open' };
  return { kind: 'taken', check: { key, version: outcome.value.version } };
};
