/** Tells which jobs have a row, many of them in one reading of the table. */
import type { JobId } from '@valvelatch/core/shared/ids';

import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';

/** Questions that come within this time share a reading: in a burst hundreds of jobs are refused each second. */
const GATHER_MS = 10;
const MOST_PER_READING = 100;

type Question = {
  readonly jobId: JobId;
  readonly resolve: (isThere: boolean | undefined) => void;
};

/**
 * Builds the lookup.
 *
 * @param table - The table.
 * @returns A function that tells whether a job has a row; undefined where the table does not say.
 */
export const createRowLookup = (
  table: Pick<BatchTable, 'read'>,
): ((jobId: JobId) => Promise<boolean | undefined>) => {
  let questions: readonly Question[] = [];

  const answer = async (some: readonly Question[]): Promise<void> => {
    const rows = await table.read(some.map(({ jobId }) => batchKey.job(jobId)));
    const there = new Set(
      rows
        .unwrapOr([])
        .filter(({ value }) => value !== null)
        .map(({ key }) => key),
    );
    some.forEach(({ jobId, resolve }) =>
      resolve(rows.isOk() ? there.has(batchKey.job(jobId)) : undefined),
    );
  };

  const answerAll = (): void => {
    const all = questions;
    questions = [];
    for (let first = 0; first < all.length; first += MOST_PER_READING) {
      void answer(all.slice(first, first + MOST_PER_READING));
    }
  };

  return (jobId) =>
    new Promise((resolve) => {
      if (questions.length === 0) setTimeout(answerAll, GATHER_MS);
      questions = [...questions, { jobId, resolve }];
    });
};
