/** The transaction that accepts a job. */
import type { TableTransaction } from '@valvelatch/platform';

import { batchKey } from '../keys.js';
import type { LiveRow } from './accept-queue.js';

/**
 * Returns the key of the row with which the owner of a job cancels it.
 *
 * @param row - The row of the job.
 * @returns The key.
 */
export const cancelKeyOf = ({ job }: LiveRow): string =>
  batchKey.cancel(job.jobId, job.owner?.account ?? null);

/**
 * Builds the transaction that accepts a job. It takes effect only if the job has no row yet and its owner has not cancelled
 * it, even if the table carries it out late.
 *
 * @param row - The row of the job.
 * @returns The transaction.
 */
export const buildSubmission = (row: LiveRow): TableTransaction => {
  const key = batchKey.job(row.job.jobId);
  return {
    checks: [
      { key, version: 0 },
      { key: cancelKeyOf(row), version: 0 },
    ],
    writes: [{ key, value: row }],
  };
};
