/** Jobs that have changed since they were last written, and the versions of their rows. */
import {
  isFinal,
  buildJobRow,
  buildProgressRow,
  type BatchState,
  type JobState,
} from '@valvelatch/core/batch';
import type { TableRow } from '@valvelatch/core/rows/transaction';
import { change } from '@valvelatch/core/shared/change';
import type { JobId } from '@valvelatch/core/shared/ids';
import type { TableTransaction } from '@valvelatch/platform';

import { batchKey } from '../keys.js';

/** The versions of a job's rows; 0 for a row that does not exist. */
export type JobRowVersions = { job: number; progress: number };

/** A job in a transaction, as of the time of sending; it may change further while the transaction is in flight. */
export type SentJob = {
  readonly job: JobState;
  readonly wasFinal: boolean;
  /** The crash record revision of the job that the transaction writes. */
  readonly crashRecordRevision: number;
};

export type ChangedJobs = {
  readonly versions: Map<JobId, JobRowVersions>;
  readonly mark: (jobId: JobId) => void;
  readonly isEmpty: () => boolean;
  readonly count: () => number;
  /** The number of marks so far. */
  readonly lastMark: () => number;
  /** Whether all marks up to this number were written, or their jobs no longer exist. */
  readonly isWrittenUpTo: (mark: number) => boolean;
  /**
   * Removes and returns the jobs that the next transaction has space for; ended jobs come first. Rows are built up to the
   * first one that `fits` refuses. A job is left out while another transaction with it is in flight, since the version of
   * its row is not known then.
   */
  readonly takeFitting: (
    fits: (part: TableTransaction) => boolean,
    options?: { readonly onlyEnded: boolean },
  ) => readonly SentJob[];
  /** Restores the marks of jobs whose transaction was not committed. */
  readonly markUnsaved: (sent: readonly SentJob[]) => void;
  /** Records that these jobs were committed with this version. */
  readonly recordCommitted: (sent: readonly SentJob[], version: number) => void;
  /** Records the row versions that the table returned with a conflict. */
  readonly recordVersions: (rows: readonly TableRow[]) => void;
};

export type ChangedJobsOptions = {
  readonly state: BatchState;
  /** Called when the end of a job was committed. */
  readonly onSaved: (job: JobState) => void;
  /** Called when crashes or announced starts were committed, for which tasks wait. */
  readonly onCrashRecordsSaved: () => void;
  readonly wallClockMs: () => number;
};

const buildProgressWrite = (job: JobState, { progress }: JobRowVersions): TableTransaction => {
  const key = batchKey.progress(job.job.jobId);
  return { checks: [{ key, version: progress }], writes: [{ key, value: buildProgressRow(job) }] };
};

/** Builds the write of an ended job, which also deletes its progress row because nothing needs it any more. */
const buildEndWrite = (
  job: JobState,
  versions: JobRowVersions,
  todayMs: number,
): TableTransaction => {
  const { jobId } = job.job;
  const key = batchKey.job(jobId);
  const hasProgress = versions.progress > 0;
  return {
    checks: [{ key, version: versions.job }],
    writes: [
      { key, value: buildJobRow(job, todayMs) },
      ...(hasProgress ? [{ key: batchKey.progress(jobId), value: null }] : []),
    ],
  };
};

/**
 * Creates the list of changed jobs of a holder.
 *
 * @param options - The jobs, and the callback for committed ends.
 * @returns An empty list.
 */
export const createChangedJobs = ({
  state,
  onSaved,
  onCrashRecordsSaved,
  wallClockMs,
}: ChangedJobsOptions): ChangedJobs => {
  const versions = new Map<JobId, JobRowVersions>();
  /** The oldest unwritten mark of each changed job. */
  const changed = new Map<JobId, number>();
  /** The oldest mark of each job that a transaction in flight writes. */
  const inFlight = new Map<JobId, number>();
  let lastMark = 0;

  const mark = (jobId: JobId): void => {
    lastMark += 1;
    if (!changed.has(jobId)) changed.set(jobId, lastMark);
  };

  const oldestMarkOf = (marks: ReadonlyMap<JobId, number>): number => {
    let oldest = Infinity;
    marks.forEach((one, jobId) => {
      if (one < oldest && state.jobs.has(jobId)) oldest = one;
    });
    return oldest;
  };

  /** Removes the marks of jobs that no longer exist, of which nothing is left to write. */
  const removeMarksOfGoneJobs = (): void =>
    changed.forEach((_, jobId) => {
      if (!state.jobs.has(jobId)) changed.delete(jobId);
    });

  const getOrCreateVersions = (jobId: JobId): JobRowVersions => {
    const known = versions.get(jobId);
    if (known) return known;
    const initial = { job: 0, progress: 0 };
    versions.set(jobId, initial);
    return initial;
  };

  const buildWrite = (job: JobState): TableTransaction => {
    const known = getOrCreateVersions(job.job.jobId);
    return isFinal(job.phase)
      ? buildEndWrite(job, known, wallClockMs())
      : buildProgressWrite(job, known);
  };

  const listCandidates = (onlyEnded: boolean): readonly JobState[] => {
    const jobs = Array.from(changed.keys()).flatMap((jobId) =>
      inFlight.has(jobId) ? [] : (state.jobs.get(jobId) ?? []),
    );
    const ended = jobs.filter(({ phase }) => isFinal(phase));
    return onlyEnded ? ended : [...ended, ...jobs.filter(({ phase }) => !isFinal(phase))];
  };

  const moveToInFlight = ({ job: { jobId } }: JobState): void => {
    inFlight.set(jobId, changed.get(jobId) ?? lastMark);
    changed.delete(jobId);
  };

  return {
    versions,
    mark,
    isEmpty: () => changed.size === 0,
    count: () => changed.size,
    lastMark: () => lastMark,
    isWrittenUpTo: (number) => Math.min(oldestMarkOf(changed), oldestMarkOf(inFlight)) > number,
    takeFitting: (fits, { onlyEnded } = { onlyEnded: false }) => {
      removeMarksOfGoneJobs();
      const candidates = listCandidates(onlyEnded);
      const firstLeftOut = candidates.findIndex((job) => !fits(buildWrite(job)));
      const jobs = firstLeftOut < 0 ? candidates : candidates.slice(0, firstLeftOut);
      jobs.forEach(moveToInFlight);
      return jobs.map((job) => ({
        job,
        wasFinal: isFinal(job.phase),
        crashRecordRevision: job.crashRecordRevision,
      }));
    },
    markUnsaved: (sent) =>
      sent.forEach(({ job: { job } }) => {
        const oldest = Math.min(
          inFlight.get(job.jobId) ?? Infinity,
          changed.get(job.jobId) ?? Infinity,
        );
        inFlight.delete(job.jobId);
        changed.set(job.jobId, oldest);
      }),
    recordCommitted: (sent, version) =>
      sent.forEach(({ job, wasFinal, crashRecordRevision }) => {
        const known = getOrCreateVersions(job.job.jobId);
        inFlight.delete(job.job.jobId);
        if (crashRecordRevision > job.writtenCrashRecordRevision) {
          change(job, { writtenCrashRecordRevision: crashRecordRevision });
          onCrashRecordsSaved();
        }
        change(known, wasFinal ? { job: version, progress: 0 } : { progress: version });
        if (wasFinal) onSaved(job);
      }),
    recordVersions: (rows) =>
      rows.forEach(({ key, version }) => {
        const [kind, jobId] = key.split('/') as ['job' | 'progress', JobId];
        getOrCreateVersions(jobId)[kind] = version;
      }),
  };
};
