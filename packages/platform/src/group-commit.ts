/**
 * Group commit: transactions that come within a few milliseconds share one transaction of the
 * table, so that many claims stay far under the table's limit on writes.
 */
import { Err, Ok, type Result } from 'ts-results-es';

import type { PlatformError } from './platform-error.js';
import type { TableClient, TableTransaction, TransactionOutcome } from './table-client.js';

type Outcome = Result<TransactionOutcome, PlatformError>;
type Pending = {
  readonly transaction: TableTransaction;
  readonly leave: () => boolean;
  readonly resolve: (one: Outcome) => void;
};

const WITHDRAWN: PlatformError = { kind: 'unreachable', detail: 'it was withdrawn unsent' };

export type GroupCommitOptions = {
  readonly table: Pick<TableClient, 'transact'>;
  readonly windowMs?: number;
  readonly mostPerGroup?: number;
};

/** A way to the table that groups what comes together. */
export type GroupCommit = {
  /**
   * Puts a transaction in the line.
   *
   * @param transaction - What to write, and under which conditions.
   * @param leave - Called at the moment at which it is sent; false withdraws it instead, so that a
   *   caller who has been answered meanwhile is not contradicted by what still waited.
   * @returns What became of it.
   */
  readonly submit: (transaction: TableTransaction, leave?: () => boolean) => Promise<Outcome>;
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

  const commitNext = async (): Promise<void> => {
    const group = takeGroup(line, mostPerGroup);
    const leaving = group.filter(({ leave }) => leave());
    group.filter((one) => !leaving.includes(one)).forEach(({ resolve }) => resolve(Err(WITHDRAWN)));
    if (leaving.length > 0) await commit(leaving);
  };

  const run = async (): Promise<void> => {
    isBusy = true;
    await new Promise((resolve) => {
      setTimeout(resolve, windowMs);
    });
    while (line.length > 0) await commitNext();
    isBusy = false;
  };

  const submit: GroupCommit['submit'] = (transaction, leave = () => true) =>
    new Promise((resolve) => {
      line.push({ transaction, leave, resolve });
      if (!isBusy) void run();
    });

  return { submit };
};
