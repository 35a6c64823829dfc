/** Decides whether a job whose row the holder has read is added to the state, or stays in its row for lack of memory. */
import {
  estimateJobBytes,
  type BatchJob,
  type BatchState,
  type DeferredJob,
  type JobMemory,
} from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';

export type JobDeferralOptions = {
  readonly state: BatchState;
  readonly memory: Pick<JobMemory, 'findShortage' | 'addDeferred' | 'addPending' | 'removePending'>;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
};

export type JobDeferral = {
  /**
   * Leaves a job in its row if there is not enough memory for it, and counts its memory otherwise; returns true if it stays
   * there.
   */
  readonly deferWithoutMemory: (job: BatchJob, version: number, hasStarted: boolean) => boolean;
  /** Counts the memory of a job that is added to the state, until it is measured there. */
  readonly countMemory: (job: BatchJob) => void;
};

/**
 * Creates the deferral of jobs for one term of a holder.
 *
 * @param options - The state, and the account of the memory that jobs take.
 * @returns The deferral.
 */
export const createJobDeferral = ({
  state,
  memory,
  log,
  metrics,
  nowMs,
}: JobDeferralOptions): JobDeferral => {
  const countMemory = (job: BatchJob): void => {
    memory.addPending(job);
    memory.removePending(job.jobId);
  };

  const defer = (deferred: DeferredJob): void => {
    state.deferredJobs.set(deferred.jobId, deferred);
    memory.addDeferred(deferred);
    metrics.count('jobs_deferred_for_memory');
  };

  return {
    countMemory,
    deferWithoutMemory: (job, version, hasStarted) => {
      const { jobId, queue, owner } = job;
      const shortage = memory.findShortage(job, nowMs());
      if (!shortage) {
        countMemory(job);
        return false;
      }
      const neededBytes = estimateJobBytes(job);
      const account = owner?.account;
      defer({ jobId, queue, account, neededBytes, version, hasStarted, isRequested: false });
      const { scope, scopeBytes, heldBytes, boundBytes } = shortage;
      const sizes = { neededBytes, scopeBytes, heldBytes, boundBytes };
      log.warn('job-deferred', { job: jobId, queue, scope, ...sizes });
      return true;
    },
  };
};
