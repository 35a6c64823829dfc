/**
 * Jobs that have ended, and the sweep of their rows. Clients may ask for a job for some time after
 * its end; without the sweep a new holder would read the rows of all jobs that ever were.
 */
import type { JobStatus } from '@valvelatch/core/batch';
import type { RowCheck } from '@valvelatch/core/rows/transaction';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';

/** Rows are kept for this many times the promised time: times of day of entries differ. */
const KEPT_FACTOR = 1.5;
/** Two rows a job and the guard make up less than the 100 entries of a transaction. */
const JOBS_PER_SWEEP = 40;

export type EndedJobsOptions = {
  readonly table: Pick<BatchTable, 'transact'>;
  readonly guard: () => RowCheck;
  readonly log: Log;
  /** For how long clients may ask for a job that has ended. */
  readonly answerableMs: () => number;
  readonly todayMs: () => number;
};

export type EndedJobs = {
  readonly statusOf: (jobId: JobId) => JobStatus | undefined;
  readonly has: (jobId: JobId) => boolean;
  readonly count: () => number;
  /** Notes the end of a job; times are by the time of day. */
  readonly add: (jobId: JobId, status: JobStatus, endedAtMs: number) => void;
  /** Deletes some rows of jobs that nobody may ask for any more. */
  readonly sweep: () => Promise<void>;
};

/**
 * Builds the memory of a term.
 *
 * @param options - The table and the times.
 * @returns The memory.
 */
export const createEndedJobs = ({
  table,
  guard,
  log,
  answerableMs,
  todayMs,
}: EndedJobsOptions): EndedJobs => {
  /** In the order in which their ends were learned of, which is nearly that of their ends. */
  const ended = new Map<JobId, { readonly status: JobStatus; readonly endedAtMs: number }>();

  const findOld = (): readonly JobId[] => {
    const beforeMs = todayMs() - answerableMs() * KEPT_FACTOR;
    const first = Array.from(ended).slice(0, JOBS_PER_SWEEP);
    return first.filter(([, { endedAtMs }]) => endedAtMs <= beforeMs).map(([jobId]) => jobId);
  };

  return {
    statusOf: (jobId) => ended.get(jobId)?.status,
    has: (jobId) => ended.has(jobId),
    count: () => ended.size,
    add: (jobId, status, endedAtMs) => ended.set(jobId, { status, endedAtMs }),
    sweep: async () => {
      const old = findOld();
      if (old.length === 0) return;
      const outcome = await table.transact({
        checks: [guard()],
        writes: old.flatMap((jobId) => [
          { key: batchKey.job(jobId), value: null },
          { key: batchKey.cancel(jobId, ended.get(jobId)?.status.account ?? null), value: null },
        ]),
      });
      const isSwept = outcome.isOk() && outcome.value.kind === 'committed';
      log.info('rows-swept', { jobs: old.length, isSwept });
      if (isSwept) old.forEach((jobId) => ended.delete(jobId));
    },
  };
};
