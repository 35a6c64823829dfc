/**
 * Group commit: transactions that are submitted within a few milliseconds of each other share one
 * table transaction, so that many claims stay far below the table's limit on writes.
 */
import { Err, Ok, type Result } from 'ts-results-es';

import type { PlatformError } from './platform-error.js';
import type { TableClient, TableTransaction, TransactionOutcome } from './table-client.js';

type Outcome = Result<TransactionOutcome, PlatformError>;
/** A transaction in the queue. */
type QueuedTransaction = {
  readonly transaction: TableTransaction;
  /** Whether the transaction may still be sent; called just before it is sent. */
  readonly shouldSend: () => boolean;
  readonly resolve: (outcome: Outcome) => void;
};

const WITHDRAWN: PlatformError = { kind: 'unreachable', detail: 'it was withdrawn unsent' };

export type GroupCommitOptions = {
  readonly table: Pick<TableClient, 'transact'>;
  /** How long an idle group commit waits for further transactions before it sends the first. */
  readonly windowMs?: number;
  /** Largest number of submitted transactions in one table transaction. */
  readonly maxGroupSize?: number;
};

/** Submits transactions to the table in groups. */
export type GroupCommit = {
  /**
   * Adds a transaction to the queue.
   *
   * @param transaction - The rows to write and the row versions that the writes depend on.
   * @param shouldSend - Called just before the transaction is sent; false withdraws it. A request that
   *   was answered while its transaction waited withdraws it this way, because a later write would
   *   contradict that answer.
   * @returns The outcome; `unreachable` for a withdrawn transaction, because it had no effect.
   */
  readonly submit: (transaction: TableTransaction, shouldSend?: () => boolean) => Promise<Outcome>;
};

const hasCheckOn = ({ transaction }: QueuedTransaction, key: string): boolean =>
  transaction.checks.some((check) => check.key === key);

const keysOf = ({ checks, writes }: TableTransaction): readonly string[] => [
  ...checks.map(({ key }) => key),
  ...writes.map(({ key }) => key),
];

/**
 * Removes the next group from the queue: the longest run from its front in which no two transactions
 * check or write the same row, up to `maxSize` transactions.
 */
const dequeueGroup = (
  queue: QueuedTransaction[],
  maxSize: number,
): readonly QueuedTransaction[] => {
  const usedKeys = new Set<string>();
  let size = 0;
  while (size < maxSize && size < queue.length) {
    const keys = keysOf((queue[size] as QueuedTransaction).transaction);
    if (keys.some((key) => usedKeys.has(key))) break;
    keys.forEach((key) => usedKeys.add(key));
    size += 1;
  }
  return queue.splice(0, size);
};

const merge = (group: readonly QueuedTransaction[]): TableTransaction => ({
  checks: group.flatMap(({ transaction }) => transaction.checks),
  writes: group.flatMap(({ transaction }) => transaction.writes),
});

/**
 * Creates a group commit in front of a table.
 *
 * @param options - The table, the collection window in milliseconds and the maximum group size.
 * @returns The group commit.
 */
export const createGroupCommit = ({
  table,
  windowMs = 2,
  maxGroupSize = 64,
}: GroupCommitOptions): GroupCommit => {
  const queue: QueuedTransaction[] = [];
  let isDraining = false;

  const commit = async (group: readonly QueuedTransaction[]): Promise<void> => {
    const outcome = await table.transact(merge(group));
    if (outcome.isErr() || outcome.value.kind === 'committed') {
      group.forEach(({ resolve }) => resolve(outcome));
      return;
    }
    const { key } = outcome.value;
    const conflicting = group.filter((one) => hasCheckOn(one, key));
    const others = group.filter((one) => !hasCheckOn(one, key));
    conflicting.forEach(({ resolve }) => resolve(Ok({ kind: 'conflict', key })));
    if (others.length > 0) await commit(others);
  };

  const commitNext = async (): Promise<void> => {
    const group = dequeueGroup(queue, maxGroupSize);
    const toSend = group.filter(({ shouldSend }) => shouldSend());
    group.filter((one) => !toSend.includes(one)).forEach(({ resolve }) => resolve(Err(WITHDRAWN)));
    if (toSend.length > 0) await commit(toSend);
  };

  const drainQueue = async (): Promise<void> => {
    isDraining = true;
    await new Promise((resolve) => {
      setTimeout(resolve, windowMs);
    });
    while (queue.length > 0) await commitNext();
    isDraining = false;
  };

  const submit: GroupCommit['submit'] = (transaction, shouldSend = () => true) =>
    new Promise((resolve) => {
      queue.push({ transaction, shouldSend, resolve });
      if (!isDraining) void drainQueue();
    });

  return { submit };
};
