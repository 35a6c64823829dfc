/**
 * Transactions on the platform's table. If every check holds, all writes are applied atomically;
 * otherwise none is.
 */
import type { ChangeId } from '../shared/ids.js';

/** A precondition: the row must be at this version; 0 means that it must not exist. */
export type RowCheck = { readonly key: string; readonly version: number };

/** A write of one row; null deletes it. */
export type RowWrite = { readonly key: string; readonly value: unknown };

/** A transaction, before it is sent. */
export type Transaction = {
  readonly changeId: ChangeId;
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
};

/** A row as read from the table. */
export type TableRow = { readonly key: string; readonly value: unknown; readonly version: number };
