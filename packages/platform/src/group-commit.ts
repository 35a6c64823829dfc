/**
 * Group commit: transactions that come within a few milliseconds share one transaction of the
 * table, so that many claims stay far under the table's limit on writes.
 */
import { Ok, type Result } from 'ts-results-es';

import type { PlatformError } from './platform-error.js';
import type { TableClient, TableTransaction, TransactionOutcome } from './table-client.js';

type Outcome = Result<TransactionOutcome, PlatformError>;
type Pending = { readonly transaction: TableTransaction; readonly resolve: (one: Outcome) => void };

/** Options for the grouping. */
export type GroupCommitOptions = {
  readonly table: Pick<TableClient, 'transact'>;
  readonly windowMs?: number;
  readonly mostPerGroup?: number;
};

/** A way to the table that groups what comes together. */
export type GroupCommit = {
  readonly submit: (transaction: TableTransaction) => Promise<Outcome>;
};

const touches = ({ transaction }: Pending, key: string): boolean =>
  transaction.checks.some((check) => check.key === key);

const keysOf = ({ checks, writes }: TableTransaction): readonly string[] => [
  ...checks.map(({ key }) => key),
  ...writes.map(({ key }) => key),
];

/** Takes the longest start of the line in which no two transactions touch the same row. */
const takeGroup = (line: Pending[], most: number): readonly Pending[] => {
  const seen = new Set<string>();
  let size = 0;
  while (size < most && size < line.length) {
    const keys = keysOf((line[size] as Pending).transaction);
    if (keys.some((key) => seen.has(key))) break;
    keys.forEach((key) => seen.add(key));
    size += 1;
  }
  return line.splice(0, size);
};

const merge = (group: readonly Pending[]): TableTransaction => ({
  checks: group.flatMap(({ transaction }) => transaction.checks),
  writes: group.flatMap(({ transaction }) => transaction.writes),
});

/**
 * Builds a group commit in front of a table.
 *
 * @param options - The table, the window in milliseconds, and the size of a group.
 * @returns The way to submit transactions.
 */
export const createGroupCommit = ({
  table,
  windowMs = 2,
  mostPerGroup = 64,
}: GroupCommitOptions): GroupCommit => {
  const line: Pending[] = [];
  let isBusy = false;

  const commit = async (group: readonly Pending[]): Promise<void> => {
    const outcome = await table.transact(merge(group));
    if (outcome.isErr() || outcome.value.kind === 'committed') {
      group.forEach(({ resolve }) => resolve(outcome));
      return;
    }
    const { key } = outcome.value;
    const inConflict = group.filter((one) => touches(one, key));
    const others = group.filter((one) => !touches(one, key));
    inConflict.forEach(({ resolve }) => resolve(Ok({ kind: 'conflict', key })));
    if (others.length > 0) await commit(others);
  };

  const run = async (): Promise<void> => {
    isBusy = true;
    await new Promise((resolve) => {
      setTimeout(resolve, windowMs);
    });
    while (line.length > 0) await commit(takeGroup(line, mostPerGroup));
    isBusy = false;
  };

  const submit = (transaction: TableTransaction): Promise<Outcome> =>
    new Promise((resolve) => {
      line.push({ transaction, resolve });
      if (!isBusy) void run();
    });

  return { submit };
};
