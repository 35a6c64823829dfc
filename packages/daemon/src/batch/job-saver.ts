/**
 * Writes what changed of jobs, many in one transaction, under the holder's fence. An end that an
 * endpoint listed is acknowledged only after the transaction that holds it was committed.
 */
import {
  isFinal,
  jobRowOf,
  progressOf,
  type BatchState,
  type JobState,
} from '@valvelatch/core/batch';
import type { RowCheck, RowWrite } from '@valvelatch/core/rows/transaction';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import { batchKey } from './keys.js';
import type { BatchTable } from './ports.js';

/** Jobs of one transaction: the platform takes 100 entries, a job needs up to six. */
const JOBS_PER_TRANSACTION = 15;
/** Pause between two transactions: ends that come meanwhile share the next one. */
const SAVE_EVERY_MS = 40;
const RETRY_MS = 150;

/** The versions of a job's rows; 0 for a row that is not there. */
export type JobVersions = { job: number; progress: number };

/** A row to write, with what must hold for it. */
type JobWrite = { readonly checks: readonly RowCheck[]; readonly writes: readonly RowWrite[] };

export type JobSaver = {
  readonly versions: Map<JobId, JobVersions>;
  /** Asks for a job to be written. */
  readonly mark: (jobId: JobId, isUrgent: boolean) => void;
  /** Asks for a round even if no job changed, so that ends can be acknowledged. */
  readonly poke: () => void;
  readonly stop: () => void;
};

export type JobSaverOptions = {
  readonly table: Pick<BatchTable, 'transact'>;
  readonly state: BatchState;
  readonly fence: RowCheck;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called before a round; the answer is called after all of it was committed. */
  readonly beginRound: () => () => void;
  readonly onSaved: (job: JobState) => void;
  readonly onFenceLost: () => void;
  readonly todayMs: () => number;
};

const writeOf = (job: JobState, versions: JobVersions, todayMs: number): JobWrite => {
  const { jobId } = job.job;
  const jobKey = batchKey.job(jobId);
  const progressKey = batchKey.progress(jobId);
  const progressCheck = { key: progressKey, version: versions.progress };
  if (!isFinal(job.phase)) {
    return {
      checks: [progressCheck],
      writes: [{ key: progressKey, value: progressOf(job) }],
    };
  }
  return {
    checks: [{ key: jobKey, version: versions.job }, progressCheck],
    writes: [
      { key: jobKey, value: jobRowOf(job, todayMs) },
      ...(versions.progress > 0 ? [{ key: progressKey, value: null }] : []),
    ],
  };
};

/**
 * Starts to save jobs.
 *
 * @param options - The table, the jobs and the fence.
 * @returns The saver.
 */
export const createJobSaver = ({
  table,
  state,
  fence,
  log,
  metrics,
  beginRound,
  onSaved,
  onFenceLost,
  todayMs,
}: JobSaverOptions): JobSaver => {
  const versions = new Map<JobId, JobVersions>();
  const dirty = new Set<JobId>();
  let isWanted = false;
  let isRunning = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const versionsOf = (jobId: JobId): JobVersions => {
    const known = versions.get(jobId);
    if (known) return known;
    const built = { job: 0, progress: 0 };
    versions.set(jobId, built);
    return built;
  };

  const noteCommitted = (job: JobState, wasFinal: boolean, version: number): void => {
    const known = versionsOf(job.job.jobId);
    if (wasFinal) {
      known.job = version;
      known.progress = 0;
      onSaved(job);
    } else known.progress = version;
  };

  /** Takes the versions that the table tells after a conflict; false if the fence is lost. */
  const takeVersions = (
    rows: readonly { readonly key: string; readonly version: number }[],
  ): boolean =>
    rows.every(({ key, version }) => {
      if (key === fence.key) return version === fence.version;
      const [kind, jobId] = key.split('/') as ['job' | 'progress', JobId];
      versionsOf(jobId)[kind] = version;
      return true;
    });

  const saveSome = async (jobIds: readonly JobId[]): Promise<boolean> => {
    const jobs = jobIds.flatMap((jobId) => state.jobs.get(jobId) ?? []);
    const finals = jobs.map(({ phase }) => isFinal(phase));
    const parts = jobs.map((job) => writeOf(job, versionsOf(job.job.jobId), todayMs()));
    const outcome = await table.transact({
      checks: [fence, ...parts.flatMap(({ checks }) => checks)],
      writes: parts.flatMap(({ writes }) => writes),
    });
    metrics.count('job_saves');
    if (outcome.isErr()) {
      log.warn('save-failed', {
        jobs: jobs.length,
        kind: outcome.error.kind,
        detail: outcome.error.detail,
      });
      return false;
    }
    if (outcome.value.kind === 'conflict') {
      log.info('save-conflict', { jobs: jobs.length, key: outcome.value.key });
      if (!takeVersions(outcome.value.rows ?? [])) {
        isStopped = true;
        onFenceLost();
      }
      return false;
    }
    const { version } = outcome.value;
    jobs.forEach((job, index) => noteCommitted(job, finals[index] ?? false, version));
    return true;
  };

  const saveRound = async (): Promise<boolean> => {
    const finishRound = beginRound();
    const due = Array.from(dirty);
    dirty.clear();
    let isWhole = true;
    for (let start = 0; start < due.length; start += JOBS_PER_TRANSACTION) {
      const some = due.slice(start, start + JOBS_PER_TRANSACTION);
      const isSaved = !isStopped && (await saveSome(some));
      if (!isSaved) some.forEach((jobId) => dirty.add(jobId));
      isWhole &&= isSaved;
    }
    if (isWhole) finishRound();
    return isWhole;
  };

  const run = async (): Promise<void> => {
    if (isRunning || isStopped) return;
    isRunning = true;
    isWanted = false;
    const isWhole = await saveRound();
    isRunning = false;
    if (isStopped) return;
    if (!isWhole) plan(RETRY_MS);
    else if (dirty.size > 0 || isWanted) plan(SAVE_EVERY_MS);
  };

  const plan = (afterMs: number): void => {
    isWanted = true;
    if (timer || isRunning || isStopped) return;
    timer = setTimeout(() => {
      timer = undefined;
      void run();
    }, afterMs);
  };

  return {
    versions,
    mark: (jobId, isUrgent) => {
      dirty.add(jobId);
      plan(isUrgent ? 1 : SAVE_EVERY_MS / 2);
    },
    poke: () => plan(SAVE_EVERY_MS / 2),
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
};
