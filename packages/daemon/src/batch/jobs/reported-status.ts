/** The status of a job that has no stored end, as it is reported to clients. */
import type { BatchJob, JobState, JobStatus } from '@valvelatch/core/batch';

/**
 * Returns the account of a job as its status names it.
 *
 * @param job - The job.
 * @returns The account; empty if the job has no owner.
 */
export const accountOf = ({ owner }: BatchJob): Pick<JobStatus, 'account'> =>
  owner ? { account: owner.account } : {};

/**
 * Returns the status of a job whose row is not yet saved as ended. A completed or failed job is reported as running until
 * its end is written, so that any entry can find a reported end in the row.
 *
 * @param job - The job; undefined if it is not known.
 * @returns The status; undefined if the job is not known.
 */
export const reportedStatus = (job: JobState | undefined): JobStatus | undefined => {
  if (!job) return undefined;
  const isReportable = job.phase !== 'completed' && job.phase !== 'failed';
  return { phase: isReportable ? job.phase : 'running', reason: '', ...accountOf(job.job) };
};
