/** Jobs as their rows tell of them: read whole at recovery, followed after it. */
import {
  cancelJob,
  restoreJob,
  addJob,
  recordOwnerLimits,
  type BatchJob,
  type BatchJobRow,
  type BatchState,
  type ProgressRow,
  type QueueIndex,
  type QueuePolicy,
} from '@valvelatch/core/batch';
import type { TableRow } from '@valvelatch/core/rows/transaction';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { LiveRow } from './accept-queue.js';
import type { EndedJobs } from './ended-jobs.js';
import type { JobSaver } from './job-saver.js';
import { parseJobKey } from '../keys.js';
import type { BatchTable, TableFeed } from '../ports.js';

export type JobRowsOptions = {
  readonly state: BatchState;
  readonly table: Pick<BatchTable, 'feed'>;
  readonly versions: JobSaver['versions'];
  readonly ended: EndedJobs;
  readonly configuration: () => QueueIndex | undefined;
  /** True while no other entry can have become the holder: see `TermOptions`. */
  readonly isSoleHolder: () => boolean;
  readonly isStopped: () => boolean;
  /** Something changed: places may be found. */
  readonly poke: () => void;
  readonly log: Log;
  readonly nowMs: () => number;
  readonly todayMs: () => number;
};

/** Tries until there is a value; undefined once the term has ended. */
export type Until = <Value>(
  attempt: () => Promise<Value | undefined>,
) => Promise<Value | undefined>;

/** All rows of jobs at one reading. */
export type JobReading = {
  readonly jobs: readonly TableRow[];
  readonly progress: readonly TableRow[];
};

export type JobRows = {
  /** Reads all that has changed since the last reading; undefined once the term has ended. */
  readonly read: (until: Until) => Promise<JobReading | undefined>;
  /** Restores what an earlier holder left. */
  readonly restore: (readings: readonly JobReading[]) => void;
  /** Adds an accepted job. */
  readonly takeIn: (row: LiveRow, version: number) => void;
  /** Reads and applies what other entries wrote. */
  readonly follow: () => Promise<void>;
};

const PROGRESS_PREFIX = 'progress/';

/** Of several readings of a row the last one counts; a deleted one is left out. */
const newestRows = (rows: readonly TableRow[]): readonly TableRow[] =>
  Array.from(new Map(rows.map((row) => [row.key, row])).values()).filter(
    ({ value }) => value !== null,
  );

const readFeed = async (feed: TableFeed): Promise<readonly TableRow[] | undefined> =>
  (await feed.next(0)).unwrapOr(undefined);

/**
 * Builds the reader of a term.
 *
 * @param options - The state and the table.
 * @returns The reader.
 */
export const createJobRows = ({
  state,
  table,
  versions,
  ended,
  configuration,
  isSoleHolder,
  isStopped,
  poke,
  log,
  nowMs,
  todayMs,
}: JobRowsOptions): JobRows => {
  const jobFeed = table.feed('job');
  const progressFeed = table.feed('progress');

  const policyOf = (queue: string, fallback: QueuePolicy): QueuePolicy =>
    configuration()?.byName.get(queue as BatchJob['queue'])?.policy ?? fallback;

  const takeIn = ({ job, policy }: LiveRow, version: number): void => {
    if (ended.has(job.jobId) || state.jobs.has(job.jobId)) return;
    versions.set(job.jobId, { job: version, progress: 0 });
    if (job.owner) recordOwnerLimits(state, job.owner);
    addJob(state, {
      job,
      policy: policyOf(job.queue, policy),
      nowMs: nowMs(),
      wallClockMs: todayMs(),
    });
    poke();
  };

  const restoreOne = (row: LiveRow, version: number, progressRow: TableRow | undefined): void => {
    const { jobId, queue } = row.job;
    const progressVersion = progressRow?.value ? progressRow.version : 0;
    versions.set(jobId, { job: version, progress: progressVersion });
    if (row.job.owner) recordOwnerLimits(state, row.job.owner);
    restoreJob(state, {
      job: row.job,
      policy: policyOf(queue, row.policy),
      progress: (progressRow?.value ?? undefined) as ProgressRow | undefined,
      nowMs: nowMs(),
      wallClockMs: todayMs(),
    });
  };

  /** Applies the rows of jobs, with what is to be done for those that are live. */
  const takeRows = (
    rows: readonly TableRow[],
    takeLive: (row: LiveRow, version: number) => void,
  ): void => {
    rows.forEach(({ key, value, version }) => {
      const { jobId, isCancel } = parseJobKey(key);
      if (isCancel || value === null) return;
      const row = value as BatchJobRow;
      if (row.kind === 'ended') ended.add(jobId as JobId, row, row.endedAtMs);
      else if (!ended.has(jobId as JobId)) takeLive(row, version);
    });
    rows.forEach(({ key, value }) => {
      const name = parseJobKey(key);
      if (name.isCancel && value !== null) cancelJob(state, name.jobId as JobId, name.by);
    });
  };

  /** Rows that were read and not applied yet: the feed does not repeat them. */
  let unapplied: readonly TableRow[] = [];

  return {
    read: async (until) => {
      // Each by itself: a feed does not repeat its answer when the other one must be read again.
      const [jobs, progress] = await Promise.all([
        until(() => readFeed(jobFeed)),
        until(() => readFeed(progressFeed)),
      ]);
      return jobs && progress && { jobs, progress };
    },
    restore: (readings) => {
      const progressRows = readings.flatMap(({ progress }) => progress);
      const progressOf = new Map(
        progressRows.map((row) => [row.key.slice(PROGRESS_PREFIX.length), row]),
      );
      const rows = newestRows(readings.flatMap(({ jobs }) => jobs));
      takeRows(rows, (row, version) => restoreOne(row, version, progressOf.get(row.job.jobId)));
    },
    takeIn,
    follow: async () => {
      if (!isSoleHolder()) return;
      const rows = await jobFeed.next(0);
      if (rows.isErr()) {
        log.warn('job-feed-failed', rows.error);
        return;
      }
      if (isStopped()) return;
      unapplied = [...unapplied, ...rows.value];
      // The answer may be late: a job in it may be one that the next holder accepted and has begun.
      if (unapplied.length === 0 || !isSoleHolder()) return;
      takeRows(unapplied, takeIn);
      unapplied = [];
      poke();
    },
  };
};
