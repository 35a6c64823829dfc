/** An in-memory transactional table with the semantics of the platform's table. */
import type { Versioned } from '../rows/rows.js';
import type { RowCheck, RowWrite, TableRow } from '../rows/transaction.js';

/** The outcome of a transaction; `key` is the row whose version did not match. */
export type TableOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'conflict'; readonly key: string };

export type TableModel = {
  readonly read: (key: string) => TableRow;
  readonly scan: (prefix: string) => readonly TableRow[];
  /**
   * Applies all writes or none, and gives all written rows the same version. Nothing is written if
   * the version of any checked row differs. A null value deletes the row.
   */
  readonly transact: (checks: readonly RowCheck[], writes: readonly RowWrite[]) => TableOutcome;
};

/**
 * Builds an empty table.
 *
 * @returns The table.
 */
export const createTableModel = (): TableModel => {
  const rows = new Map<string, { readonly value: unknown; readonly version: number }>();
  let lastVersion = 0;

  const read = (key: string): TableRow => ({
    key,
    value: rows.get(key)?.value ?? null,
    version: rows.get(key)?.version ?? 0,
  });

  return {
    read,
    scan: (prefix) =>
      Array.from(rows.keys())
        .filter((key) => key.startsWith(prefix))
        .sort()
        .map(read),
    transact: (checks, writes) => {
      const conflict = checks.find(({ key, version }) => read(key).version !== version);
      if (conflict) return { kind: 'conflict', key: conflict.key };
      lastVersion += 1;
      writes.forEach(({ key, value }) => {
        if (value === null) rows.delete(key);
        else rows.set(key, { value, version: lastVersion });
      });
      return { kind: 'committed', version: lastVersion };
    },
  };
};

/**
 * Reads the rows of one kind.
 *
 * @param table - The table.
 * @param prefix - The key prefix of the kind.
 * @returns The rows, keyed by the part of the key after the prefix.
 */
export const readRows = <Id extends string, Row>(
  table: TableModel,
  prefix: string,
): ReadonlyMap<Id, Versioned<Row>> =>
  new Map(
    table
      .scan(prefix)
      .map(({ key, value, version }) => [
        key.slice(prefix.length) as Id,
        { value: value as Row, version },
      ]),
  );
