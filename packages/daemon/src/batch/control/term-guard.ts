/** The guard row from the side of one term: acquires it, and makes the writes of the term depend on it. */
import type { RowCheck } from '@valvelatch/core/rows/transaction';

import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';
import { acquireGuard } from './guard.js';

export type TermGuardOptions = {
  readonly table: Pick<BatchTable, 'read' | 'transact'>;
  /** The term's fence. */
  readonly fence: number;
  /** Called at each attempt that finds a row that cannot be read. */
  readonly onUnreadableRow: () => void;
  /** Called if a later holder has changed the row. */
  readonly onSuperseded: () => void;
};

export type TermGuard = {
  /** The key and version of the row as the term wrote it. Before that the check fails, and with it each write. */
  readonly check: () => RowCheck;
  /** Tries once to change the row; resolves to true if the row carries the term's fence, else to undefined. */
  readonly acquire: () => Promise<true | undefined>;
};

/**
 * Creates the guard of a term.
 *
 * @param options - The table, the term's fence and the callbacks.
 * @returns The guard, which is not acquired yet.
 */
export const createTermGuard = ({
  table,
  fence,
  onUnreadableRow,
  onSuperseded,
}: TermGuardOptions): TermGuard => {
  let check: RowCheck = { key: batchKey.guard, version: -1 };
  return {
    check: () => check,
    acquire: async () => {
      const outcome = await acquireGuard(table, fence);
      if (outcome.kind === 'unreadable') onUnreadableRow();
      if (outcome.kind === 'superseded') onSuperseded();
      if (outcome.kind !== 'taken') return undefined;
      check = outcome.check;
      return true;
    },
  };
};
