/** Combines table reads that are requested in the same microtask turn into one request. */
import type { TableRow } from '@valvelatch/core';
import { Err, Ok, type Result } from 'ts-results-es';

import type { PlatformError } from './platform-error.js';
import type { TableClient } from './table-client.js';

type Rows = Result<readonly TableRow[], PlatformError>;
/** A read that has been requested but not sent. */
type PendingRead = { readonly keys: readonly string[]; readonly resolve: (rows: Rows) => void };

/**
 * Wraps a table client so that reads requested in the same microtask turn share one request. Each
 * caller still gets its own rows, in the order of its keys; a failed request fails all of them.
 *
 * @param table - The client to wrap.
 * @returns A client with the same interface.
 */
export const withBatchedReads = (table: TableClient): TableClient => {
  let pending: PendingRead[] = [];

  const flush = async (): Promise<void> => {
    const batch = pending;
    pending = [];
    const keys = Array.from(new Set(batch.flatMap((one) => one.keys)));
    const rows = await table.read(keys);
    if (rows.isErr()) {
      const error = Err(rows.error);
      batch.forEach(({ resolve }) => resolve(error));
      return;
    }
    const byKey = new Map(rows.value.map((row) => [row.key, row]));
    batch.forEach((one) =>
      one.resolve(Ok(one.keys.map((key) => byKey.get(key) ?? { key, value: null, version: 0 }))),
    );
  };

  const read = (keys: readonly string[]): Promise<Rows> =>
    new Promise((resolve) => {
      pending.push({ keys, resolve });
      if (pending.length === 1) queueMicrotask(flush);
    });

  return { ...table, read };
};
