import type { Caller } from '@valvelatch/core/batch';
import { brand, type AccountName } from '@valvelatch/core/shared/ids';

const CANCEL_SUFFIX = '.cancel';

/**
 * The keys of the rows of batch work; the part before the first '/' is the row's kind. Rows of the kinds
 * job, progress and guard may share a transaction, and so may rows of the kinds lease, fence, wave and
 * entry. A transaction must not mix the two groups, because the renewal of a lease must not wait behind
 * writes of jobs.
 */
export const batchKey = {
  job: (jobId: string) => `job/${jobId}`,
  /**
   * The cancellation row of a job. It has the kind of the job's row, so that one feed delivers both, and
   * one key per account, so that no account replaces the cancellation of another.
   */
  cancel: (jobId: string, caller: Caller) =>
    `job/${jobId}${CANCEL_SUFFIX}${caller === null ? '' : `.${caller}`}`,
  progress: (jobId: string) => `progress/${jobId}`,
  /** The guard row: each new control holder changes it, and every write of jobs checks its version. */
  guard: 'guard/jobs',
  entry: (entryId: string) => `entry/${entryId}`,
  wave: (waveNumber: number) => `wave/${waveNumber}`,
  /** The demand history: what holders store of demand and run times. */
  demandHistory: 'learned/control',
} as const;

/** A parsed key of the kind `job`: either of the job's own row, or of a cancellation and the caller who wrote it. */
export type ParsedJobKey =
  | { readonly jobId: string; readonly isCancel: false }
  | { readonly jobId: string; readonly isCancel: true; readonly cancelledBy: Caller };

/**
 * Parses the key of a row of the kind `job`.
 *
 * @param key - The key.
 * @returns The job, and whether the row is a cancellation; if so, also the caller, which is null without an account.
 */
export const parseJobKey = (key: string): ParsedJobKey => {
  const rowName = key.slice(key.indexOf('/') + 1);
  const suffixStart = rowName.indexOf(CANCEL_SUFFIX);
  if (suffixStart < 0) return { jobId: rowName, isCancel: false };
  const account = rowName.slice(suffixStart + CANCEL_SUFFIX.length + 1);
  const cancelledBy = account === '' ? null : brand<AccountName>(account);
  return { jobId: rowName.slice(0, suffixStart), isCancel: true, cancelledBy };
};

/**
 * Tells whether a key is that of a cancellation.
 *
 * @param key - The key of a row of any kind.
 * @returns True if it is.
 */
export const isCancelKey = (key: string): boolean =>
  key.startsWith('job/') && parseJobKey(key).isCancel;

/** The name of the control lease. A fleet that is divided into cells would have one per cell. */
export const CONTROL_LEASE = 'control';
/** Key prefix of the lease rows, on which holding control depends. */
export const LEASE_PREFIX = 'lease/';
