/** The calls to the control holder that job intake needs, whether this entry or another one is the holder. */
import type { BatchJobRow, Caller, JobStatus } from '@valvelatch/core/batch';
import type { EntryId, JobId } from '@valvelatch/core/shared/ids';

import type { AcceptOutcome } from './accept-queue.js';

/** A client of the control holder, which may be this entry or another one. */
export type ControlClient = {
  /** The control holder as this entry knows it; null if there is none. */
  readonly holder: () => EntryId | null;
  /** Returns the status of a job; undefined if the holder cannot be asked. */
  readonly findStatus: (jobId: JobId) => Promise<JobStatus | undefined>;
  /** Counts the jobs of a queue of which no task has started yet; undefined if the holder cannot be asked. */
  readonly countWaiting: (queue: string) => Promise<number | undefined>;
  /**
   * For how long the holder has been silent, in milliseconds. Infinity if the holder is this entry or
   * unknown, or has reported that the table does not answer it.
   */
  readonly holderSilentMs: () => number;
  /** Asks the holder to write a job and start it; undefined if the holder cannot be asked. */
  readonly accept: (row: BatchJobRow) => Promise<AcceptOutcome | undefined>;
  /**
   * Notifies the holder of a job row that this entry has written. The table may refuse the holder's own
   * reads while other entries still reach it; without the notice it would count and start the job only
   * after its next successful read.
   */
  readonly notifyAccepted: (row: BatchJobRow, version: number) => void;
  /**
   * Notifies the holder of a cancellation; resolves to true if the holder has applied it, or keeps it for a job that it does
   * not know yet.
   */
  readonly notifyCancelled: (jobId: JobId, caller: Caller) => Promise<boolean>;
};
