/**
 * The ended jobs, and the deletion of their rows. Clients may query a job for some time after its end.
 * Without the deletion, a new holder would have to read the rows of every job that ever existed.
 */
import type { JobStatus } from '@valvelatch/core/batch';
import type { RowCheck } from '@valvelatch/core/rows/transaction';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';

/** Rows are kept for this multiple of the promised time, because the wall clocks of entries differ. */
const RETENTION_FACTOR = 1.5;
/** Two rows per job and the guard row stay below the limit of 100 entries per transaction. */
const MAX_JOBS_PER_SWEEP = 40;

export type EndedJobsOptions = {
  readonly table: Pick<BatchTable, 'transact'>;
  readonly guard: () => RowCheck;
  readonly log: Log;
  /** For how long after its end clients may query a job. */
  readonly answerableMs: () => number;
  readonly wallClockMs: () => number;
};

export type EndedJobs = {
  /** The final status of a job; undefined if its end is not recorded. */
  readonly findStatus: (jobId: JobId) => JobStatus | undefined;
  readonly has: (jobId: JobId) => boolean;
  readonly count: () => number;
  /** Records the end of a job; `endedAtMs` is wall clock time. */
  readonly add: (jobId: JobId, status: JobStatus, endedAtMs: number) => void;
  /** Deletes the rows of some jobs that clients can no longer query. */
  readonly deleteExpiredRows: () => Promise<void>;
};

/**
 * Creates the record of ended jobs for one term of a holder.
 *
 * @param options - The table, the guard row and the clocks.
 * @returns An empty record.
 */
export const createEndedJobs = ({
  table,
  guard,
  log,
  answerableMs,
  wallClockMs,
}: EndedJobsOptions): EndedJobs => {
  /** Ordered by when the holder learned of each end, which is almost the order of the ends themselves. */
  const ended = new Map<JobId, { readonly status: JobStatus; readonly endedAtMs: number }>();

  const findExpired = (): readonly JobId[] => {
    const beforeMs = wallClockMs() - answerableMs() * RETENTION_FACTOR;
    const oldest = Array.from(ended).slice(0, MAX_JOBS_PER_SWEEP);
    return oldest.filter(([, { endedAtMs }]) => endedAtMs <= beforeMs).map(([jobId]) => jobId);
  };

  return {
    findStatus: (jobId) => ended.get(jobId)?.status,
    has: (jobId) => ended.has(jobId),
    count: () => ended.size,
    add: (jobId, status, endedAtMs) => ended.set(jobId, { status, endedAtMs }),
    deleteExpiredRows: async () => {
      const expired = findExpired();
      if (expired.length === 0) return;
      const outcome = await table.transact({
        checks: [guard()],
        writes: expired.flatMap((jobId) => [
          { key: batchKey.job(jobId), value: null },
          { key: batchKey.cancel(jobId, ended.get(jobId)?.status.account ?? null), value: null },
        ]),
      });
      const isSwept = outcome.isOk() && outcome.value.kind === 'committed';
      log.info('rows-swept', { jobs: expired.length, isSwept });
      if (isSwept) expired.forEach((jobId) => ended.delete(jobId));
    },
  };
};
