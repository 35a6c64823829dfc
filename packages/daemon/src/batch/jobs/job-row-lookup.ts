/** Looks up whether jobs have rows, with one read of the table for many jobs. */
import type { JobId } from '@valvelatch/core/shared/ids';

import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';

/** Lookups within this time share a read, because hundreds of jobs may be refused per second in a burst. */
const BATCH_WINDOW_MS = 10;
const MAX_JOBS_PER_READ = 100;

type PendingLookup = {
  readonly jobId: JobId;
  readonly resolve: (hasRow: boolean | undefined) => void;
};

/**
 * Creates the lookup.
 *
 * @param table - The table.
 * @returns A function that tells whether a job has a row; it resolves to undefined if the table does not answer.
 */
export const createJobRowLookup = (
  table: Pick<BatchTable, 'read'>,
): ((jobId: JobId) => Promise<boolean | undefined>) => {
  let pending: readonly PendingLookup[] = [];

  const resolveLookups = async (lookups: readonly PendingLookup[]): Promise<void> => {
    const rows = await table.read(lookups.map(({ jobId }) => batchKey.job(jobId)));
    const existingKeys = new Set(
      rows
        .unwrapOr([])
        .filter(({ value }) => value !== null)
        .map(({ key }) => key),
    );
    lookups.forEach(({ jobId, resolve }) =>
      resolve(rows.isOk() ? existingKeys.has(batchKey.job(jobId)) : undefined),
    );
  };

  const resolvePending = (): void => {
    const all = pending;
    pending = [];
    for (let first = 0; first < all.length; first += MAX_JOBS_PER_READ) {
      void resolveLookups(all.slice(first, first + MAX_JOBS_PER_READ));
    }
  };

  return (jobId) =>
    new Promise((resolve) => {
      if (pending.length === 0) setTimeout(resolvePending, BATCH_WINDOW_MS);
      pending = [...pending, { jobId, resolve }];
    });
};
