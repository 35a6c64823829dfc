/** Writes the changes of a control turn in batches: several per transaction, each with its own version checks. */
import type { ControlChange, PoolName } from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';

export type ChangeWriterOptions = {
  readonly pool: PoolName;
  readonly table: TableClient;
  /** False once the lease is lost; nothing is written from then on. */
  readonly mayWrite: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called with each change that was committed. */
  readonly onChange: (change: ControlChange) => void;
};

/** Result of writing the changes of a turn. */
export type WriteOutcome = {
  readonly committedCount: number;
  /** True if the lease was lost before all changes were tried. */
  readonly isLeaseLost: boolean;
};

export type ChangeWriter = (changes: readonly ControlChange[]) => Promise<WriteOutcome>;

/** Most changes that share one transaction. */
const MAX_CHANGES_PER_TRANSACTION = 32;

const dependsOn = (writtenKeys: ReadonlySet<string>, change: ControlChange): boolean =>
  change.checks.some(({ key }) => writtenKeys.has(key));

/**
 * Batches changes. A change that depends on a row which an earlier change writes is left out; the next turn
 * plans it again from the new row.
 */
const toBatches = (changes: readonly ControlChange[]): readonly (readonly ControlChange[])[] => {
  const writtenKeys = new Set<string>();
  const batches: ControlChange[][] = [];
  changes.forEach((change) => {
    if (dependsOn(writtenKeys, change)) return;
    change.writes.forEach(({ key }) => writtenKeys.add(key));
    const last = batches[batches.length - 1];
    if (last && last.length < MAX_CHANGES_PER_TRANSACTION) last.push(change);
    else batches.push([change]);
  });
  return batches;
};

const mergeChecks = (batch: readonly ControlChange[]) => {
  const byKey = new Map(batch.flatMap(({ checks }) => checks.map((check) => [check.key, check])));
  return Array.from(byKey.values());
};

/**
 * Creates the writer of a pool's changes.
 *
 * @param options - The table, the check of the lease and the callback for committed changes.
 * @returns The writer.
 */
export const createChangeWriter = ({
  pool,
  table,
  mayWrite,
  log,
  metrics,
  onChange,
}: ChangeWriterOptions): ChangeWriter => {
  const recordCommitted = (batch: readonly ControlChange[]): void => {
    metrics.count('control_changes', batch.length);
    batch.forEach((change) => {
      const { subject, reason } = change;
      log.info('control-change', { pool, subject, reason });
      onChange(change);
    });
  };

  /** Commits the changes of a batch one by one, so that one conflict does not block the others. */
  const commitEach = async (batch: readonly ControlChange[]): Promise<number> => {
    let committed = 0;
    for (let index = 0; batch.length > 1 && index < batch.length; index += 1) {
      committed += await commit([batch[index] as ControlChange]);
    }
    return committed;
  };

  /** Commits a batch in one transaction and returns the number of changes that were committed. */
  const commit = async (batch: readonly ControlChange[]): Promise<number> => {
    const outcome = await table.transact({
      checks: mergeChecks(batch),
      writes: batch.flatMap(({ writes }) => writes),
    });
    if (outcome.isErr()) {
      log.warn('control-write-failed', { pool, detail: outcome.error.detail });
      return 0;
    }
    if (outcome.value.kind === 'committed') {
      recordCommitted(batch);
      return batch.length;
    }
    metrics.count('control_conflicts');
    log.info('control-conflict', { pool, key: outcome.value.key });
    return commitEach(batch);
  };

  return async (changes) => {
    const batches = toBatches(changes);
    let committedCount = 0;
    for (let index = 0; index < batches.length; index += 1) {
      if (!mayWrite()) return { committedCount, isLeaseLost: true };
      committedCount += await commit(batches[index] as readonly ControlChange[]);
    }
    return { committedCount, isLeaseLost: false };
  };
};
