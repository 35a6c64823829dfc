/**
 * A change marker for the rows that the control holder reads: each transaction that writes such a row
 * also writes the marker row. While the version of the marker is unchanged, the rows need not be read
 * again.
 */
import { controlPrefixes, rowKey, type TableRow } from '@valvelatch/core';
import { Ok, type Result } from 'ts-results-es';

import type { PlatformError } from './platform-error.js';
import type { TableClient, TableTransaction } from './table-client.js';

const writesControlRow = ({ writes }: TableTransaction): boolean =>
  writes.some(({ key }) => controlPrefixes.some((prefix) => key.startsWith(prefix)));

/**
 * Wraps a table client so that each transaction that writes a control row also writes the change
 * marker.
 *
 * @param table - The client to wrap.
 * @returns A client with the same interface.
 */
export const withControlChangeMarker = (table: TableClient): TableClient => ({
  ...table,
  transact: (transaction) => {
    if (!writesControlRow(transaction)) return table.transact(transaction);
    const marker = { key: rowKey.controlChange, value: 1 };
    return table.transact({ ...transaction, writes: [...transaction.writes, marker] });
  },
});

/** Reads the rows of several key prefixes, and reads them again only after the marker has changed. */
export type CachedRowsReader = {
  /** Returns the rows of each prefix, in the order of the given prefixes. */
  readonly read: () => Promise<Result<readonly (readonly TableRow[])[], PlatformError>>;
};

/**
 * Creates a reader that caches the rows until the change marker changes.
 *
 * @param table - The table client.
 * @param prefixes - The key prefixes to read, which are scanned one after the other in this order.
 * @returns The reader.
 */
export const createCachedRowsReader = (
  table: TableClient,
  prefixes: readonly string[],
): CachedRowsReader => {
  let cachedVersion = -1;
  let cached: Result<readonly (readonly TableRow[])[], PlatformError> | undefined;

  const readAll = async (): Promise<NonNullable<typeof cached>> => {
    const all: (readonly TableRow[])[] = [];
    for (let index = 0; index < prefixes.length; index += 1) {
      const rows = await table.scan(prefixes[index] as string);
      if (rows.isErr()) return rows;
      all.push(rows.value);
    }
    return Ok(all);
  };

  return {
    read: async () => {
      // The marker is read before the rows, so that a change made while they are read gives the marker a
      // version above the cached one and the next call reads the rows again.
      const marker = await table.read([rowKey.controlChange]);
      if (marker.isErr()) return marker;
      const version = marker.value[0]?.version ?? 0;
      if (cached?.isOk() && version === cachedVersion) return cached;
      cached = await readAll();
      cachedVersion = cached.isOk() ? version : -1;
      return cached;
    },
  };
};
