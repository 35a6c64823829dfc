/** Carries out the calls about jobs at the running term, for this entry and for others that call it over the mesh. */
import type { BatchJobRow, Caller } from '@valvelatch/core/batch';
import { brand, type JobId } from '@valvelatch/core/shared/ids';

import type { AcceptOutcome } from '../jobs/job-saver.js';
import type { RefusedJob } from '../jobs/refused-jobs.js';
import { CONTROL_METHOD } from './holder-client.js';
import type { Term } from './term-types.js';
import type { WaitingCounts } from './waiting-counts.js';

/** Answers calls of other entries, by the mesh method; an answer may be a promise. */
export type CallHandlers = Readonly<Record<string, (payload: unknown) => unknown>>;

/** A job whose row an entry has written, with the version of the row. */
export type WrittenJob = { readonly row: BatchJobRow; readonly version: number };

type CancelRequest = { readonly jobId: JobId; readonly caller: Caller };

export type TermCalls = {
  /** Counts the waiting jobs by queue; undefined if this entry cannot answer as the holder. */
  readonly countWaiting: () => WaitingCounts | undefined;
  /** Admits a job whose row an entry has written; false if no term is running here. */
  readonly admitWritten: (job: WrittenJob) => boolean;
  /** Writes and admits a job; resolves to null if this entry cannot act as the holder. */
  readonly accept: (row: BatchJobRow) => Promise<AcceptOutcome | null>;
  /** Records refused jobs; false if no term is running here. */
  readonly recordRefused: (jobs: readonly RefusedJob[]) => boolean;
  /** Answers the same calls, and those about a job, if other entries send them. */
  readonly handlers: CallHandlers;
};

/**
 * Creates the calls of one entry.
 *
 * @param term - Returns the running term; undefined while this entry does not hold control.
 * @returns The calls.
 */
export const createTermCalls = (term: () => Term | undefined): TermCalls => {
  const countWaiting = (): WaitingCounts | undefined => {
    const counts = term()?.countWaitingJobs();
    return counts && Object.fromEntries(counts);
  };

  const admitWritten = ({ row, version }: WrittenJob): boolean => {
    if (row.kind === 'live') term()?.addAcceptedJob(row, version);
    return term() !== undefined;
  };

  const accept = async (row: BatchJobRow): Promise<AcceptOutcome | null> =>
    (row.kind === 'live' ? await term()?.accept(row) : undefined) ?? null;

  const recordRefused = (jobs: readonly RefusedJob[]): boolean => {
    term()?.recordRefusedJobs(jobs);
    return term() !== undefined;
  };

  const handlers: CallHandlers = {
    [CONTROL_METHOD.phase]: (payload) => term()?.statusOf(brand<JobId>(String(payload))) ?? null,
    [CONTROL_METHOD.ready]: () => term()?.isReady() ?? false,
    [CONTROL_METHOD.waiting]: () => countWaiting() ?? null,
    [CONTROL_METHOD.taken]: (payload) => admitWritten(payload as WrittenJob),
    [CONTROL_METHOD.accept]: (payload) => accept(payload as BatchJobRow),
    [CONTROL_METHOD.refused]: (payload) => recordRefused(payload as readonly RefusedJob[]),
    [CONTROL_METHOD.cancelled]: (payload) => {
      const { jobId, caller } = payload as CancelRequest;
      return term()?.cancel(jobId, caller) ?? null;
    },
  };

  return { countWaiting, admitWritten, accept, recordRefused, handlers };
};
