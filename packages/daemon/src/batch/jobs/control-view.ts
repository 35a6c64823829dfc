/** What taking jobs needs of control, whichever entry holds it. */
import type { BatchJobRow, Caller, JobStatus } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { AcceptOutcome } from './accept-queue.js';

/** The holder of control, wherever it is. */
export type ControlView = {
  readonly statusOf: (jobId: JobId) => Promise<JobStatus | undefined>;
  readonly waitingOf: (queue: string) => Promise<number | undefined>;
  /**
   * For how long the holder has been silent; Infinity where it is this entry, not known, or has said
   * that the table does not answer it.
   */
  readonly holderSilentMs: () => number;
  /** Has the holder write a job and begin it; undefined if it cannot be asked. */
  readonly accept: (row: BatchJobRow) => Promise<AcceptOutcome | undefined>;
  /**
   * Tells the holder of a row that was written here: its own reading of rows may be refused
   * while it is heard, and it would count and start the job only after that.
   */
  readonly tellTaken: (row: BatchJobRow, version: number) => void;
  /** Resolves once the holder has answered, or has not in time. */
  readonly tellCancelled: (jobId: JobId, caller: Caller) => Promise<void>;
};
