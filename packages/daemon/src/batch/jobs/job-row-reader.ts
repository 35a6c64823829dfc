/** Reads the rows of jobs: completely at recovery, and their changes afterwards. */
import {
  hasStartedTasks,
  isProgressRow,
  restoreJob,
  addJob,
  endJob,
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
import type { Metrics } from '../../observe/metrics.js';
import type { LiveRow } from './accept-queue.js';
import type { Cancellations, CancellationSource } from './cancellations.js';
import type { EndedJobs } from './ended-jobs.js';
import { createJobDeferral, type JobDeferralOptions } from './job-deferral.js';
import type { JobSaver } from './job-saver.js';
import { parseJobKey } from '../keys.js';
import type { BatchTable, TableFeed } from '../ports.js';

export type JobRowReaderOptions = {
  readonly state: BatchState;
  readonly table: Pick<BatchTable, 'feed'>;
  readonly versions: JobSaver['versions'];
  readonly ended: EndedJobs;
  readonly cancellations: Pick<Cancellations, 'apply' | 'applyEarlier'>;
  /** Bounds the memory that jobs take; a job that does not fit stays in its row. */
  readonly memory: JobDeferralOptions['memory'];
  /** The queues of the configuration in force; undefined before one is known. */
  readonly configuration: () => QueueIndex | undefined;
  /** True while no other entry can have become the control holder: see `TermOptions`. */
  readonly isSoleHolder: () => boolean;
  readonly isStopped: () => boolean;
  /** Requests a scheduling cycle because new work may be placed. */
  readonly requestScheduling: () => void;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** Wall clock, in milliseconds. */
  readonly wallClockMs: () => number;
};

/** Repeats an attempt until it returns a value; resolves to undefined once the term has ended. */
export type RetryUntilTermEnds = <Value>(
  attempt: () => Promise<Value | undefined>,
) => Promise<Value | undefined>;

/** The rows of jobs and of their progress that one read returned. */
export type JobRowChanges = {
  readonly jobs: readonly TableRow[];
  readonly progress: readonly TableRow[];
};

export type JobRowReader = {
  /** Reads the rows that changed since the last read; the first read returns all. Undefined once the term has ended. */
  readonly read: (until: RetryUntilTermEnds) => Promise<JobRowChanges | undefined>;
  /** Restores the jobs that an earlier holder left. */
  readonly restore: (readings: readonly JobRowChanges[]) => void;
  /** Adds an accepted job to the state, unless it is known already. */
  readonly addAcceptedJob: (row: LiveRow, version: number) => void;
  /** Adds a job that waited for memory, as its rows are now. */
  readonly addDeferredJob: (rows: JobAndProgressRows) => void;
  /** Reads and applies the rows that other entries have written. */
  readonly applyChanges: () => Promise<void>;
};

/** The current rows of one job; a value of null means that there is no such row. */
export type JobAndProgressRows = {
  readonly job: TableRow;
  readonly progress: TableRow;
};

const PROGRESS_PREFIX = 'progress/';
/** Unreadable rows of further jobs are counted, but not logged. */
const MAX_LOGGED_KEYS = 50;

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isLiveJob = (job: unknown, jobId: string): boolean =>
  isObject(job) && job.jobId === jobId && Array.isArray(job.steps) && job.steps.every(isObject);

/** True for the value of the row of a job. */
const isJobValue = (value: unknown, jobId: string): value is BatchJobRow => {
  if (!isObject(value)) return false;
  if (value.kind === 'ended')
    return typeof value.phase === 'string' && Number.isFinite(value.endedAtMs);
  return value.kind === 'live' && isObject(value.policy) && isLiveJob(value.job, jobId);
};

/** When a cancellation row was written, in wall clock milliseconds; undefined if it does not say so. */
const findWriteTime = (value: unknown): number | undefined =>
  isObject(value) && typeof value.atMs === 'number' ? value.atMs : undefined;

/** Of several readings of a row keeps the newest version, since a later reading may be older; deleted rows are left out. */
const findLatestRows = (rows: readonly TableRow[]): readonly TableRow[] => {
  const latest = new Map<string, TableRow>();
  rows.forEach((row) => {
    if (row.version >= (latest.get(row.key)?.version ?? 0)) latest.set(row.key, row);
  });
  return Array.from(latest.values()).filter(({ value }) => value !== null);
};

const readFeed = async (feed: TableFeed): Promise<readonly TableRow[] | undefined> =>
  (await feed.next(0)).unwrapOr(undefined);

/**
 * Creates the reader of job rows for one term of a holder.
 *
 * @param options - The scheduler state, the table, and what the reader uses of the holder's term.
 * @returns The reader.
 */
export const createJobRowReader = ({
  state,
  table,
  versions,
  ended,
  cancellations,
  memory,
  configuration,
  isSoleHolder,
  isStopped,
  requestScheduling,
  log,
  metrics,
  nowMs,
  wallClockMs,
}: JobRowReaderOptions): JobRowReader => {
  const jobFeed = table.feed('job');
  const progressFeed = table.feed('progress');

  /** The policy that the configuration declares for a queue, else the one stored with the job. */
  const findPolicy = (queue: string, fallback: QueuePolicy): QueuePolicy =>
    configuration()?.byName.get(queue as BatchJob['queue'])?.policy ?? fallback;

  const { deferWithoutMemory, countMemory } = createJobDeferral({
    state,
    memory,
    log,
    metrics,
    nowMs,
  });

  const isKnown = (jobId: JobId): boolean => state.jobs.has(jobId) || state.deferredJobs.has(jobId);

  const addAcceptedJob = ({ job, policy }: LiveRow, version: number): void => {
    if (ended.has(job.jobId) || isKnown(job.jobId)) return;
    if (deferWithoutMemory(job, version, false)) return;
    versions.set(job.jobId, { job: version, progress: 0 });
    if (job.owner) recordOwnerLimits(state, job.owner);
    addJob(state, {
      job,
      policy: findPolicy(job.queue, policy),
      nowMs: nowMs(),
      wallClockMs: wallClockMs(),
    });
    cancellations.applyEarlier(job.jobId);
    requestScheduling();
  };

  const unreadableKeys = new Set<string>();

  /** Alarms about a row that cannot be read. Its job is neither run nor deleted until the row has been repaired. */
  const raiseAlarm = (key: string): void => {
    metrics.count('own_rows_unreadable');
    if (unreadableKeys.has(key) || unreadableKeys.size >= MAX_LOGGED_KEYS) return;
    unreadableKeys.add(key);
    log.error('own-row-unreadable', { key });
  };

  /** Applies a row; one that cannot be applied costs no other row. */
  const applySafely = (key: string, jobId: JobId, apply: () => void): void => {
    try {
      apply();
    } catch {
      state.jobs.delete(jobId);
      raiseAlarm(key);
    }
  };

  const restoreRow = (row: LiveRow, version: number, progressRow: TableRow | undefined): void => {
    if (!isProgressRow(progressRow?.value ?? {})) {
      // Without its progress the job would run again what is done.
      raiseAlarm(progressRow?.key ?? '');
      return;
    }
    const { jobId, queue } = row.job;
    const progressVersion = progressRow?.value ? progressRow.version : 0;
    versions.set(jobId, { job: version, progress: progressVersion });
    if (row.job.owner) recordOwnerLimits(state, row.job.owner);
    restoreJob(state, {
      job: row.job,
      policy: findPolicy(queue, row.policy),
      progress: (progressRow?.value ?? undefined) as ProgressRow | undefined,
      nowMs: nowMs(),
      wallClockMs: wallClockMs(),
    });
  };

  /** Restores a job from its rows, or leaves it there if there is not enough memory for it. */
  const restoreOrDefer = (
    row: LiveRow,
    version: number,
    progressRow: TableRow | undefined,
  ): void => {
    if (isKnown(row.job.jobId)) return;
    const progress = progressRow?.value ?? {};
    const hasStarted = isProgressRow(progress) && hasStartedTasks(progress);
    if (!deferWithoutMemory(row.job, version, hasStarted)) restoreRow(row, version, progressRow);
  };

  /** Records the end of a job; one that was restored from an older reading ends too. */
  const recordEnd = (jobId: JobId, row: Extract<BatchJobRow, { kind: 'ended' }>): void => {
    ended.add(jobId, row, row.endedAtMs);
    state.deferredJobs.delete(jobId);
    const job = state.jobs.get(jobId);
    if (job) endJob(state, job, row.phase, row.reason);
  };

  /** Records ended jobs, passes live ones to `applyLiveRow`, and applies cancellations after both. */
  const applyRows = (
    rows: readonly TableRow[],
    source: CancellationSource,
    applyLiveRow: (row: LiveRow, version: number) => void,
  ): void => {
    rows.forEach(({ key, value, version }) => {
      const { jobId, isCancel } = parseJobKey(key);
      if (isCancel || value === null) return;
      if (!isJobValue(value, jobId)) {
        raiseAlarm(key);
        return;
      }
      if (value.kind === 'ended') recordEnd(jobId as JobId, value);
      else if (!ended.has(jobId as JobId))
        applySafely(key, jobId as JobId, () => applyLiveRow(value, version));
    });
    rows.forEach(({ key, value }) => {
      const parsed = parseJobKey(key);
      if (!parsed.isCancel || value === null) return;
      const jobId = parsed.jobId as JobId;
      const writtenAtMs = findWriteTime(value);
      cancellations.apply({ jobId, caller: parsed.cancelledBy, source, writtenAtMs });
    });
  };

  /** Rows that were read but not applied yet; they are kept because the feed does not return them again. */
  let unapplied: readonly TableRow[] = [];

  return {
    read: async (until) => {
      // Each feed is retried separately, because a feed that was read does not return the same rows again.
      const [jobs, progress] = await Promise.all([
        until(() => readFeed(jobFeed)),
        until(() => readFeed(progressFeed)),
      ]);
      return jobs && progress && { jobs, progress };
    },
    restore: (readings) => {
      const progressRows = findLatestRows(readings.flatMap(({ progress }) => progress));
      const progressByJob = new Map(
        progressRows.map((row) => [row.key.slice(PROGRESS_PREFIX.length), row]),
      );
      const rows = findLatestRows(readings.flatMap(({ jobs }) => jobs));
      const hasProgress = ({ key }: TableRow): boolean => progressByJob.has(parseJobKey(key).jobId);
      // If there is not enough memory for all jobs, those that were begun come first, then those accepted first.
      const inOrder = rows.toSorted(
        (left, right) =>
          Number(hasProgress(right)) - Number(hasProgress(left)) || left.version - right.version,
      );
      applyRows(inOrder, 'recovery', (row, version) =>
        restoreOrDefer(row, version, progressByJob.get(row.job.jobId)),
      );
    },
    addAcceptedJob,
    addDeferredJob: ({ job, progress }) => {
      const { jobId } = parseJobKey(job.key);
      state.deferredJobs.delete(jobId as JobId);
      applyRows([job], 'recovery', (row, version) => {
        countMemory(row.job);
        restoreRow(row, version, progress.value === null ? undefined : progress);
        cancellations.applyEarlier(row.job.jobId);
      });
      requestScheduling();
    },
    applyChanges: async () => {
      if (!isSoleHolder()) return;
      const rows = await jobFeed.next(0);
      if (rows.isErr()) {
        log.warn('job-feed-failed', rows.error);
        return;
      }
      if (isStopped()) return;
      unapplied = [...unapplied, ...rows.value];
      // A late answer may contain a job that the next holder has accepted and started.
      if (unapplied.length === 0 || !isSoleHolder()) return;
      applyRows(unapplied, 'feed', addAcceptedJob);
      unapplied = [];
      requestScheduling();
    },
  };
};
