/** Reads of the table that are asked for at the same moment share one request. */
import type { TableRow } from '@valvelatch/core';
import { Err, Ok, type Result } from 'ts-results-es';

import type { PlatformError } from './platform-error.js';
import type { TableClient } from './table-client.js';

type Rows = Result<readonly TableRow[], PlatformError>;
type Waiting = { readonly keys: readonly string[]; readonly resolve: (rows: Rows) => void };

/**
 * Wraps a client of the table so that reads are batched.
 *
 * @param table - The client.
 * @returns A client with the same face.
 */
export const withBatchedReads = (table: TableClient): TableClient => {
  let waiting: Waiting[] = [];

  const flush = async (): Promise<void> => {
    const batch = waiting;
    waiting = [];
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
      waiting.push({ keys, resolve });
      if (waiting.length === 1) queueMicrotask(flush);
    });

  return { ...table, read };
};
