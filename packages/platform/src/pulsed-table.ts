/**
 * A pulse beside the rows that control reads: each transaction that changes one of them writes the
 * pulse row too. Who finds the pulse unchanged need not read the rows again.
 */
import { controlPrefixes, rowKey, type TableRow } from '@valvelatch/core';
import { Ok, type Result } from 'ts-results-es';

import type { PlatformError } from './platform-error.js';
import type { TableClient, TableTransaction } from './table-client.js';

const touchesControl = ({ writes }: TableTransaction): boolean =>
  writes.some(({ key }) => controlPrefixes.some((prefix) => key.startsWith(prefix)));

/**
 * Wraps a client of the table so that changes of control rows write the pulse.
 *
 * @param table - The client.
 * @returns A client with the same face.
 */
export const withPulse = (table: TableClient): TableClient => ({
  ...table,
  transact: (transaction) => {
    if (!touchesControl(transaction)) return table.transact(transaction);
    const pulse = { key: rowKey.controlChange, value: 1 };
    return table.transact({ ...transaction, writes: [...transaction.writes, pulse] });
  },
});

/** Rows of several prefixes, read again only where the pulse has changed. */
export type PulsedReader = {
  /** Gives the rows by prefix, in the order in which the prefixes were given. */
  readonly read: () => Promise<Result<readonly (readonly TableRow[])[], PlatformError>>;
};

/**
 * Builds a reader that keeps what it has read.
 *
 * @param table - The client.
 * @param prefixes - What to read; each is read after the one before it.
 * @returns The reader.
 */
export const createPulsedReader = (
  table: TableClient,
  prefixes: readonly string[],
): PulsedReader => {
  let lastPulse = -1;
  let last: Result<readonly (readonly TableRow[])[], PlatformError> | undefined;

  const readAll = async (): Promise<NonNullable<typeof last>> => {
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
      // The pulse is read first: what changes while the rows are read shows in the next pulse.
      const pulse = await table.read([rowKey.controlChange]);
      if (pulse.isErr()) return pulse;
      const version = pulse.value[0]?.version ?? 0;
      if (last?.isOk() && version === lastPulse) return last;
      last = await readAll();
      lastPulse = last.isOk() ? version : -1;
      return last;
    },
  };
};
