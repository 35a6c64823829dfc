import type { Caller } from '@valvelatch/core/batch';
import { brand, type AccountName } from '@valvelatch/core/shared/ids';

const CANCEL_SUFFIX = '.cancel';

/**
 * Keys of the rows of batch work, by kind. Rows of the kinds job, progress and guard are written
 * together, and so are those of lease, fence, wave and entry, never both in one transaction: the
 * renewal of a lease must not wait behind jobs.
 */
export const batchKey = {
  job: (jobId: string) => `job/${jobId}`,
  /** Beside the job's row, so that one feed tells of both; of each account its own, so that none replaces another's. */
  cancel: (jobId: string, caller: Caller) =>
    `job/${jobId}${CANCEL_SUFFIX}${caller === null ? '' : `.${caller}`}`,
  progress: (jobId: string) => `progress/${jobId}`,
  /** Changed by each new holder; every write of jobs depends on it. */
  guard: 'guard/jobs',
  entry: (entryId: string) => `entry/${entryId}`,
  wave: (waveNumber: number) => `wave/${waveNumber}`,
  /** What holders have learned of demand and run times. */
  learned: 'learned/control',
} as const;

/** What a row of the kind `job` is about: the job itself, or who wants it cancelled. */
export type JobKey =
  | { readonly jobId: string; readonly isCancel: false }
  | { readonly jobId: string; readonly isCancel: true; readonly by: Caller };

/**
 * Tells what a row of the kind `job` is about.
 *
 * @param key - Its key.
 * @returns The job, and whether the row says that it is to be cancelled.
 */
export const parseJobKey = (key: string): JobKey => {
  const name = key.slice(key.indexOf('/') + 1);
  const end = name.indexOf(CANCEL_SUFFIX);
  if (end < 0) return { jobId: name, isCancel: false };
  const account = name.slice(end + CANCEL_SUFFIX.length + 1);
  const by = account === '' ? null : brand<AccountName>(account);
  return { jobId: name.slice(0, end), isCancel: true, by };
};

/** The name of the lease on control; a fleet that is divided will have one a cell. */
export const CONTROL_LEASE = 'control';
/** Rows that control hangs on begin so. */
export const LEASE_PREFIX = 'lease/';
