/** Jobs that have changed since they were written last, and the versions of their rows. */
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

/** The versions of a job's rows; 0 for a row that is not there. */
export type JobVersions = { job: number; progress: number };

/** A job in a transaction; it may go on changing while that is under way. */
export type SentJob = {
  readonly job: JobState;
  readonly wasFinal: boolean;
  /** The ends of endpoints that the rows in the transaction tell of. */
  readonly crashes: number;
};

export type ChangedJobs = {
  readonly versions: Map<JobId, JobVersions>;
  readonly mark: (jobId: JobId) => void;
  readonly isEmpty: () => boolean;
  readonly clear: () => void;
  /** Takes the jobs that `fits` lets into the next transaction: those that have ended go first. */
  readonly takeFitting: (fits: (part: TableTransaction) => boolean) => readonly SentJob[];
  /** They were not written. */
  readonly putBack: (sent: readonly SentJob[]) => void;
  readonly settleCommitted: (sent: readonly SentJob[], version: number) => void;
  /** Notes the versions that the table tells after a conflict. */
  readonly takeVersions: (rows: readonly TableRow[]) => void;
};

export type ChangedJobsOptions = {
  readonly state: BatchState;
  /** The end of a job was written. */
  readonly onSaved: (job: JobState) => void;
  readonly todayMs: () => number;
};

const progressWriteOf = (job: JobState, { progress }: JobVersions): TableTransaction => {
  const key = batchKey.progress(job.job.jobId);
  return { checks: [{ key, version: progress }], writes: [{ key, value: buildProgressRow(job) }] };
};

/** An ended job needs no progress any more. */
const endWriteOf = (job: JobState, versions: JobVersions, todayMs: number): TableTransaction => {
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
 * Builds the list of changed jobs of a holder.
 *
 * @param options - The jobs, and whom to tell of written ends.
 * @returns The list, empty.
 */
export const createChangedJobs = ({ state, onSaved, todayMs }: ChangedJobsOptions): ChangedJobs => {
  const versions = new Map<JobId, JobVersions>();
  const changed = new Set<JobId>();

  const versionsOf = (jobId: JobId): JobVersions => {
    const known = versions.get(jobId);
    if (known) return known;
    const built = { job: 0, progress: 0 };
    versions.set(jobId, built);
    return built;
  };

  const writeOf = (job: JobState): TableTransaction => {
    const known = versionsOf(job.job.jobId);
    return isFinal(job.phase) ? endWriteOf(job, known, todayMs()) : progressWriteOf(job, known);
  };

  const endsFirst = (): readonly JobState[] => {
    const jobs = Array.from(changed).flatMap((jobId) => state.jobs.get(jobId) ?? []);
    return [
      ...jobs.filter(({ phase }) => isFinal(phase)),
      ...jobs.filter(({ phase }) => !isFinal(phase)),
    ];
  };

  return {
    versions,
    mark: (jobId) => {
      changed.add(jobId);
    },
    isEmpty: () => changed.size === 0,
    clear: () => changed.clear(),
    takeFitting: (fits) => {
      const jobs = endsFirst().filter((job) => fits(writeOf(job)));
      jobs.forEach(({ job }) => changed.delete(job.jobId));
      return jobs.map((job) => ({
        job,
        wasFinal: isFinal(job.phase),
        crashes: job.crashRecordRevision,
      }));
    },
    putBack: (sent) => sent.forEach(({ job }) => changed.add(job.job.jobId)),
    settleCommitted: (sent, version) =>
      sent.forEach(({ job, wasFinal, crashes }) => {
        const known = versionsOf(job.job.jobId);
        change(job, {
          writtenCrashRecordRevision: Math.max(job.writtenCrashRecordRevision, crashes),
        });
        change(known, wasFinal ? { job: version, progress: 0 } : { progress: version });
        if (wasFinal) onSaved(job);
      }),
    takeVersions: (rows) =>
      rows.forEach(({ key, version }) => {
        const [kind, jobId] = key.split('/') as ['job' | 'progress', JobId];
        versionsOf(jobId)[kind] = version;
      }),
  };
};
