/** Writes the changes of a turn, several in one transaction, each on its own conditions. */
import type { ControlChange, PoolName } from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';

export type ChangeWriterOptions = {
  readonly pool: PoolName;
  readonly table: TableClient;
  /** False once the lease is lost: nothing more is written. */
  readonly mayWrite: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Told of each change that was committed. */
  readonly onChange: (change: ControlChange) => void;
};

/** What came of the changes of a turn. */
export type WriteOutcome = {
  readonly committedCount: number;
  /** The lease was lost before all were tried. */
  readonly isStopped: boolean;
};

export type ChangeWriter = (changes: readonly ControlChange[]) => Promise<WriteOutcome>;

/** Changes that share one transaction. */
const MOST_CHANGES_PER_TRANSACTION = 32;

const conflictsWith = (written: ReadonlySet<string>, change: ControlChange): boolean =>
  change.checks.some(({ key }) => written.has(key));

/** Groups changes; one that depends on a row written before it waits for the next turn. */
const toGroups = (changes: readonly ControlChange[]): readonly (readonly ControlChange[])[] => {
  const written = new Set<string>();
  const groups: ControlChange[][] = [];
  changes.forEach((change) => {
    if (conflictsWith(written, change)) return;
    change.writes.forEach(({ key }) => written.add(key));
    const last = groups[groups.length - 1];
    if (last && last.length < MOST_CHANGES_PER_TRANSACTION) last.push(change);
    else groups.push([change]);
  });
  return groups;
};

const mergeChecks = (group: readonly ControlChange[]) => {
  const byKey = new Map(group.flatMap(({ checks }) => checks.map((check) => [check.key, check])));
  return Array.from(byKey.values());
};

/**
 * Builds the writer of a pool's changes.
 *
 * @param options - The table, the lease and whom to tell.
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
  const noteCommitted = (group: readonly ControlChange[]): void => {
    metrics.count('control_changes', group.length);
    group.forEach((change) => {
      const { subject, reason } = change;
      log.info('control-change', { pool, subject, reason });
      onChange(change);
    });
  };

  /** One conflict must not hold up the others. */
  const commitEach = async (group: readonly ControlChange[]): Promise<number> => {
    let committed = 0;
    for (let index = 0; group.length > 1 && index < group.length; index += 1) {
      committed += await commit([group[index] as ControlChange]);
    }
    return committed;
  };

  /** Gives the number of changes that were committed. */
  const commit = async (group: readonly ControlChange[]): Promise<number> => {
    const outcome = await table.transact({
      checks: mergeChecks(group),
      writes: group.flatMap(({ writes }) => writes),
    });
    if (outcome.isErr()) {
      log.warn('control-write-failed', { pool, detail: outcome.error.detail });
      return 0;
    }
    if (outcome.value.kind === 'committed') {
      noteCommitted(group);
      return group.length;
    }
    metrics.count('control_conflicts');
    log.info('control-conflict', { pool, key: outcome.value.key });
    return commitEach(group);
  };

  return async (changes) => {
    const groups = toGroups(changes);
    let committedCount = 0;
    for (let index = 0; index < groups.length; index += 1) {
      if (!mayWrite()) return { committedCount, isStopped: true };
      committedCount += await commit(groups[index] as readonly ControlChange[]);
    }
    return { committedCount, isStopped: false };
  };
};
