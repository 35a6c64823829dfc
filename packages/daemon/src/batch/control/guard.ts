/** The guard row. Every write of job rows checks its version, and a new holder changes it before it reads jobs. */
import type { RowCheck } from '@valvelatch/core/rows/transaction';

import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';

/** The result of an attempt to change the guard row. */
export type AcquireGuardResult =
  /** The row carries this term's fence; `check` makes a write depend on that. */
  | { readonly kind: 'taken'; readonly check: RowCheck }
  /** A later holder has changed the row. */
  | { readonly kind: 'superseded' }
  /** The row cannot be read; it may have been written by a later holder, so it is left as it is. */
  | { readonly kind: 'unreadable' }
  /** The table did not answer, or the row changed in the meantime: to be tried again. */
  | { readonly kind: 'open' };

type GuardValue = { readonly fence: number };

const isGuardValue = (value: unknown): value is GuardValue =>
  typeof value === 'object' &&
  value !== null &&
  Number.isSafeInteger((value as Partial<GuardValue>).fence);

/**
 * Changes the guard row for a term. From then on the writes of earlier holders fail their version check.
 *
 * @param table - The table.
 * @param fence - The term's fence.
 * @returns Whether the row was changed.
 */
export const acquireGuard = async (
  table: Pick<BatchTable, 'read' | 'transact'>,
  fence: number,
): Promise<AcquireGuardResult> => {
  const key = batchKey.guard;
  const rows = await table.read([key]);
  if (rows.isErr()) return { kind: 'open' };
  const [guardRow] = rows.value;
  const value = guardRow?.value ?? { fence: 0 };
  if (!isGuardValue(value)) return { kind: 'unreadable' };
  // An earlier attempt took effect, but its answer was lost.
  if (guardRow && value.fence === fence)
    return { kind: 'taken', check: { key, version: guardRow.version } };
  if (value.fence > fence) return { kind: 'superseded' };
  const outcome = await table.transact({
    checks: [{ key, version: guardRow?.version ?? 0 }],
    writes: [{ key, value: { fence } }],
  });
  if (outcome.isErr() || outcome.value.kind === 'conflict') return { kind: 'open' };
  return { kind: 'taken', check: { key, version: outcome.value.version } };
};
