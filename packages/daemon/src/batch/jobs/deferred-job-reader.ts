/** Reads the rows of jobs that waited for memory, once there is memory for them or something depends on them. */
import {
  selectDeferredJobs,
  type BatchState,
  type DeferredJob,
  type JobMemory,
} from '@valvelatch/core/batch';
import type { TableRow } from '@valvelatch/core/rows/transaction';

import type { Log } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';
import type { JobRowReader } from './job-row-reader.js';

/** Each job takes two reads of the table, which are sent together. */
const MAX_JOBS_PER_READ = 20;

export type DeferredJobReaderOptions = {
  readonly state: BatchState;
  readonly table: Pick<BatchTable, 'read'>;
  readonly memory: Pick<JobMemory, 'hasSpaceFor'>;
  readonly addDeferredJob: JobRowReader['addDeferredJob'];
  /** True while no other entry can have become the control holder. */
  readonly isSoleHolder: () => boolean;
  readonly isStopped: () => boolean;
  readonly log: Log;
  readonly nowMs: () => number;
};

/**
 * Creates the reader of deferred jobs for one term of a holder.
 *
 * @param options - The state, the table and the memory that jobs take.
 * @returns A function that adds the next jobs; to be called several times a second.
 */
export const createDeferredJobReader = ({
  state,
  table,
  memory,
  addDeferredJob,
  isSoleHolder,
  isStopped,
  log,
  nowMs,
}: DeferredJobReaderOptions): (() => Promise<void>) => {
  const mayAdd = (deferred: DeferredJob): boolean =>
    state.deferredJobs.get(deferred.jobId) === deferred &&
    (deferred.isRequested || memory.hasSpaceFor(deferred, nowMs()));

  const findRow = (rows: readonly TableRow[], key: string): TableRow =>
    rows.find((row) => row.key === key) ?? { key, value: null, version: 0 };

  const add = (deferred: DeferredJob, rows: readonly TableRow[]): void => {
    if (!mayAdd(deferred)) return;
    const { jobId, isRequested, hasStarted } = deferred;
    addDeferredJob({
      job: findRow(rows, batchKey.job(jobId)),
      progress: findRow(rows, batchKey.progress(jobId)),
    });
    log.info('deferred-job-added', { job: jobId, isRequested, hasStarted });
  };

  return async () => {
    if (state.deferredJobs.size === 0) return;
    const selected = selectDeferredJobs(state, memory, { most: MAX_JOBS_PER_READ, nowMs: nowMs() });
    if (selected.length === 0) return;
    const rows = await table.read(
      selected.flatMap(({ jobId }) => [batchKey.job(jobId), batchKey.progress(jobId)]),
    );
    if (rows.isErr()) {
      log.warn('deferred-jobs-unread', { jobs: selected.length, ...rows.error });
      return;
    }
    // A late answer may contain a job that the next holder has started.
    if (isStopped() || !isSoleHolder()) return;
    selected.forEach((deferred) => add(deferred, rows.value));
  };
};
