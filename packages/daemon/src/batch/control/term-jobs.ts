/**
 * The jobs of a term: what reads and writes their rows, admits new ones, and keeps the ended and cancelled ones for as
 * long as clients may ask for them.
 */
import {
  CANCELLED_REASON,
  createAdmissionControl,
  createJobMemory,
  type AdmissionControl,
  type BatchPhase,
  type BatchState,
  type Caller,
  type JobMemory,
  type JobState,
  type JobStatus,
  type QueueIndex,
} from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { createCancellations } from '../jobs/cancellations.js';
import { createDeferredJobReader } from '../jobs/deferred-job-reader.js';
import { createEndedJobs } from '../jobs/ended-jobs.js';
import { createJobAdmission } from '../jobs/job-admission.js';
import { createJobRowLookup } from '../jobs/job-row-lookup.js';
import { createJobRowReader, type JobRowReader } from '../jobs/job-row-reader.js';
import {
  createJobSaver,
  type AcceptOutcome,
  type JobSaver,
  type LiveRow,
} from '../jobs/job-saver.js';
import { accountOf, reportedStatus } from '../jobs/reported-status.js';
import type { BatchTable } from '../ports.js';
import type { TermGuard } from './term-guard.js';

export type TermJobsOptions = {
  readonly state: BatchState;
  readonly table: BatchTable;
  /** The guard of the term; each write depends on it. */
  readonly guard: Pick<TermGuard, 'check'>;
  /** How long clients may ask for an ended job, in milliseconds. */
  readonly answerableMs: () => number;
  /** The operator's queues; undefined until they were read once. */
  readonly configuration: () => QueueIndex | undefined;
  /** True once the table has answered nothing for long enough to count as unavailable. */
  readonly isTableUnavailable: () => boolean;
  /** True while no other entry can have become the holder. */
  readonly isSoleHolder: () => boolean;
  /** True while this entry can answer as the holder. */
  readonly isHolder: () => boolean;
  /** True once the term has ended. */
  readonly isStopped: () => boolean;
  /** Called before each round of saves; the returned function is called once the round is stored. */
  readonly beginSaveRound: () => () => void;
  /** Requests a scheduling cycle, because tasks may be placeable now. */
  readonly requestScheduling: () => void;
  /** Ends the term, because another holder has replaced it. */
  readonly endAsLost: (reason: string) => void;
  /** The most memory that jobs may take, in bytes. */
  readonly jobMemoryBytes: number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  readonly wallClockMs: () => number;
};

export type TermJobs = {
  readonly rows: JobRowReader;
  readonly saver: JobSaver;
  readonly admission: AdmissionControl;
  /** The memory that the jobs take. */
  readonly memory: JobMemory;
  /** Adds jobs that waited for memory. */
  readonly addDeferredJobs: () => Promise<void>;
  /** The status of a job; undefined if the job is unknown. */
  readonly findStatus: (jobId: JobId) => JobStatus | undefined;
  /** Writes and admits a job. */
  readonly accept: (row: LiveRow) => Promise<AcceptOutcome | undefined>;
  /** Cancels a job of a caller; returns its phase afterwards, undefined if it is not known or not the caller's. */
  readonly cancel: (jobId: JobId, caller: Caller) => BatchPhase | undefined;
  /** The number of ended jobs for which clients may still ask. */
  readonly countEnded: () => number;
  /** Deletes the rows of ended jobs and of cancellations for which clients no longer ask. */
  readonly deleteExpiredRows: () => Promise<void>;
};

/**
 * Creates the jobs of a term.
 *
 * @param options - The state of the term, the table, and what the term decides about itself.
 * @returns The jobs, of which none is read yet.
 */
export const createTermJobs = ({
  state,
  table,
  guard,
  answerableMs,
  configuration,
  isTableUnavailable,
  isSoleHolder,
  isHolder,
  isStopped,
  beginSaveRound,
  requestScheduling,
  endAsLost,
  jobMemoryBytes,
  log,
  metrics,
  nowMs,
  wallClockMs,
}: TermJobsOptions): TermJobs => {
  const endedJobs = createEndedJobs({
    table,
    guard: guard.check,
    log,
    answerableMs,
    wallClockMs,
  });

  /** Moves a job whose end is stored from the state to the ended jobs. */
  const keepAsEnded = ({ job, phase, reason }: JobState): void => {
    endedJobs.add(job.jobId, { phase, reason, ...accountOf(job) }, wallClockMs());
    state.jobs.delete(job.jobId);
    saver.versions.delete(job.jobId);
  };

  const saver: JobSaver = createJobSaver({
    table,
    state,
    fence: guard.check,
    log,
    metrics,
    wallClockMs,
    isTableUnavailable,
    beginRound: beginSaveRound,
    onSaved: keepAsEnded,
    onCrashRecordsSaved: requestScheduling,
    onAccepted: (row, version) => rows.addAcceptedJob(row, version),
    onFenceLost: () => endAsLost('another holder changed the guard row'),
  });

  const cancellations = createCancellations({
    state,
    ended: endedJobs,
    table,
    guard: guard.check,
    log,
    answerableMs,
    nowMs,
    wallClockMs,
  });

  const memory = createJobMemory({ state, boundBytes: jobMemoryBytes });

  const rows = createJobRowReader({
    state,
    table,
    memory,
    versions: saver.versions,
    ended: endedJobs,
    cancellations,
    configuration,
    isSoleHolder,
    isStopped,
    requestScheduling,
    log,
    metrics,
    nowMs,
    wallClockMs,
  });

  const admission = createAdmissionControl({ state });
  const admitJob = createJobAdmission({
    admission,
    memory,
    write: saver.accept,
    hasRow: createJobRowLookup(table),
    isHolder,
    log,
    metrics,
    nowMs,
  });

  const addDeferredJobs = createDeferredJobReader({
    state,
    table,
    memory,
    addDeferredJob: rows.addDeferredJob,
    isSoleHolder,
    isStopped,
    log,
    nowMs,
  });

  const findDeferredStatus = (jobId: JobId): JobStatus | undefined => {
    const deferred = state.deferredJobs.get(jobId);
    if (!deferred) return undefined;
    const { account, hasStarted } = deferred;
    if (cancellations.isKept(jobId, account ?? null))
      return { phase: 'cancelled', reason: CANCELLED_REASON, account };
    return { phase: hasStarted ? 'running' : 'pending', reason: '', account };
  };

  return {
    rows,
    saver,
    admission,
    memory,
    addDeferredJobs,
    findStatus: (jobId) =>
      endedJobs.findStatus(jobId) ??
      reportedStatus(state.jobs.get(jobId)) ??
      findDeferredStatus(jobId),
    accept: async (row) => {
      const { jobId } = row.job;
      const isKnown = state.jobs.has(jobId) || state.deferredJobs.has(jobId);
      if (isKnown || endedJobs.has(jobId)) return { kind: 'conflict' };
      return admitJob(row);
    },
    cancel: (jobId, caller) => cancellations.apply({ jobId, caller, source: 'notice' }),
    countEnded: endedJobs.count,
    deleteExpiredRows: async () => {
      await endedJobs.deleteExpiredRows();
      await cancellations.deleteExpiredRows();
    },
  };
};
