/** The cancellations that a control holder learns of, from notices of other entries and from rows of the table. */
import {
  cancelJob,
  isFinal,
  type BatchPhase,
  type BatchState,
  type Caller,
} from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { EndedJobs } from './ended-jobs.js';

/** How a holder learned of a cancellation. */
export type CancellationSource = 'notice' | 'feed' | 'recovery';

export type Cancellation = {
  readonly jobId: JobId;
  /** Who cancelled the job. */
  readonly caller: Caller;
  readonly source: CancellationSource;
  /** When its row was written, in wall clock milliseconds; undefined if not known. */
  readonly writtenAtMs?: number | undefined;
};

export type CancellationsOptions = {
  readonly state: BatchState;
  readonly ended: Pick<EndedJobs, 'findStatus'>;
  readonly log: Log;
  /** Wall clock, in milliseconds. */
  readonly wallClockMs: () => number;
};

export type Cancellations = {
  /**
   * Applies a cancellation. Returns the phase of the job afterwards; undefined if the job is unknown or belongs to another
   * account.
   */
  readonly apply: (cancellation: Cancellation) => BatchPhase | undefined;
};

/**
 * Creates the record of cancellations for one term of a holder.
 *
 * @param options - The scheduler state and the ended jobs.
 * @returns The record.
 */
export const createCancellations = ({
  state,
  ended,
  log,
  wallClockMs,
}: CancellationsOptions): Cancellations => {
  const logApplied = (
    { jobId, caller, source, writtenAtMs }: Cancellation,
    phase: BatchPhase | undefined,
  ): void =>
    log.info('job-cancel-applied', {
      job: jobId,
      account: caller ?? undefined,
      source,
      ageMs: writtenAtMs === undefined ? undefined : Math.round(wallClockMs() - writtenAtMs),
      phase: phase ?? 'unknown',
    });

  return {
    apply: (cancellation) => {
      const { jobId, caller } = cancellation;
      const endedPhase = ended.findStatus(jobId)?.phase;
      if (endedPhase) return endedPhase;
      const before = state.jobs.get(jobId)?.phase;
      const phase = cancelJob(state, jobId, caller);
      if (before === undefined || !isFinal(before)) logApplied(cancellation, phase);
      return phase;
    },
  };
};
