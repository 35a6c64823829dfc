/**
 * Keys of the rows of batch work, by kind. Rows of the kinds job, progress and guard are written
 * together, and so are those of lease, fence, wave and entry, never both in one transaction: the
 * renewal of a lease must not wait behind jobs.
 */
export const batchKey = {
  job: (jobId: string) => `job/${jobId}`,
  /** Beside the job's row, so that one feed tells of both. */
  cancel: (jobId: string) => `job/${jobId}.cancel`,
  progress: (jobId: string) => `progress/${jobId}`,
  /** Changed by each new holder; every write of jobs depends on it. */
  guard: 'guard/jobs',
  entry: (entryId: string) => `entry/${entryId}`,
  wave: (waveNumber: number) => `wave/${waveNumber}`,
  /** What holders have learned of demand and run times. */
  learned: 'learned/control',
} as const;

const CANCEL_SUFFIX = '.cancel';

/**
 * Tells what a row of the kind `job` is about.
 *
 * @param key - Its key.
 * @returns The job, and whether the row says that it is to be cancelled.
 */
export const parseJobKey = (
  key: string,
): { readonly jobId: string; readonly isCancel: boolean } => {
  const name = key.slice(key.indexOf('/') + 1);
  const isCancel = name.endsWith(CANCEL_SUFFIX);
  return { jobId: isCancel ? name.slice(0, -CANCEL_SUFFIX.length) : name, isCancel };
};

/** The name of the lease on control; a fleet that is divided will have one a cell. */
export const CONTROL_LEASE = 'control';
/** Rows that control hangs on begin so. */
export const LEASE_PREFIX = 'lease/';
