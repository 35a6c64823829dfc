/**
 * Writes accepted jobs and changes of jobs, many in one transaction, under the holder's fence. Only one
 * transaction is in flight at a time: the table executes the transactions of one group of row kinds (see
 * `batchKey`) one after the other, so a slow table achieves more with few large ones. A run's end that an
 * endpoint listed is acknowledged only after the transaction that contains it was committed.
 */
import type { BatchState, JobState } from '@valvelatch/core/batch';
import type { RowCheck, TableRow } from '@valvelatch/core/rows/transaction';
import type { JobId } from '@valvelatch/core/shared/ids';
import type { PlatformError, TableTransaction, TransactionOutcome } from '@valvelatch/platform';
import type { Result } from 'ts-results-es';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import {
  createAcceptQueue,
  type AcceptOutcome,
  type LiveRow,
  type QueuedSubmission,
} from './accept-queue.js';
import { createChangedJobs, type JobRowVersions, type SentJob } from './changed-jobs.js';
import type { BatchTable } from '../ports.js';

export type { AcceptOutcome, LiveRow } from './accept-queue.js';

/** The platform accepts at most 100 entries per transaction, of which one is the fence. */
const MAX_ENTRIES_PER_TRANSACTION = 98;
/** Submissions that arrive within this time share a transaction. */
const ACCEPT_WINDOW_MS = 3;
/** Pause between two transactions, so that ends reported meanwhile share the next one. */
const SAVE_INTERVAL_MS = 40;
/** Pause before a retry after a failed transaction or a conflict. */
const RETRY_MS = 150;

/** What waits at the saver, for the log. */
export type SaverLoad = {
  /** Jobs that have changed since they were last written. */
  readonly changedJobs: number;
  /** Submissions that are not written yet. */
  readonly waitingSubmissions: number;
  /** For how long the save round has run, in milliseconds; 0 between rounds. */
  readonly roundAgeMs: number;
};

export type JobSaver = {
  /** The versions of the rows of all known jobs. */
  readonly versions: Map<JobId, JobRowVersions>;
  /** Writes a submitted job; resolves once it is committed or refused, or its outcome cannot be determined. */
  readonly accept: (row: LiveRow) => Promise<AcceptOutcome>;
  /** Requests that a changed job is written. For an urgent one, a round is scheduled in 1 ms unless one is running. */
  readonly requestSave: (jobId: JobId, isUrgent: boolean) => void;
  /** Requests a save round even if no job has changed, so that ends can be acknowledged. */
  readonly requestRound: () => void;
  /** Refuses waiting submissions if the table is unavailable; must be called several times a second. */
  readonly refuseIfTableUnavailable: () => void;
  readonly load: () => SaverLoad;
  readonly stop: () => void;
};

export type JobSaverOptions = {
  readonly table: Pick<BatchTable, 'transact'>;
  readonly state: BatchState;
  /** The guard row with the version that this holder wrote. */
  readonly fence: () => RowCheck;
  readonly log: Log;
  readonly metrics: Metrics;
  /**
   * Called before a save round, to request the saves that are still due; the function that it returns is called after
   * all that was changed by then was committed.
   */
  readonly beginRound: () => () => void;
  /** Called when the end of a job was committed. */
  readonly onSaved: (job: JobState) => void;
  /** Called when crashes or announced starts were committed, for which tasks wait. */
  readonly onCrashRecordsSaved?: () => void;
  /** Called when the row of a submitted job was committed. */
  readonly onAccepted: (row: LiveRow, version: number) => void;
  /** Called when another holder has changed the guard row. */
  readonly onFenceLost: () => void;
  /** True if the table has been silent for so long that it counts as unavailable. */
  readonly isTableUnavailable?: () => boolean;
  /** Wall clock, in milliseconds. */
  readonly wallClockMs: () => number;
};

/** The content of one transaction. */
type Batch = {
  readonly parts: readonly TableTransaction[];
  readonly submissions: readonly QueuedSubmission[];
  readonly jobs: readonly SentJob[];
};

/** Collects parts up to the size limit of a transaction. */
const createTransactionBuilder = () => {
  const parts: TableTransaction[] = [];
  let entries = 0;
  return {
    parts,
    /** Adds a part if it still fits; returns whether it was added. */
    fits: (part: TableTransaction): boolean => {
      const size = part.checks.length + part.writes.length;
      if (entries + size > MAX_ENTRIES_PER_TRANSACTION) return false;
      entries += size;
      parts.push(part);
      return true;
    },
  };
};

type TableAnswer = Result<TransactionOutcome, PlatformError>;

const classifyAnswer = (answer: TableAnswer): 'answered' | 'failed' | 'unknown' => {
  if (answer.isOk()) return 'answered';
  return answer.error.kind === 'unknown' ? 'unknown' : 'failed';
};

/**
 * Creates the saver of a holder's jobs.
 *
 * @param options - The table, the jobs, the fence and the callbacks.
 * @returns The saver; it writes nothing before it is asked to.
 */
export const createJobSaver = ({
  table,
  state,
  fence,
  log,
  metrics,
  beginRound,
  onSaved,
  onCrashRecordsSaved = () => undefined,
  onAccepted,
  onFenceLost,
  isTableUnavailable = () => false,
  wallClockMs,
}: JobSaverOptions): JobSaver => {
  let isRoundRequested = false;
  let isRunning = false;
  let roundBegunAtMs = 0;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let scheduledAtMs = 0;

  const queue = createAcceptQueue({
    isTableUnavailable,
    onQueued: () => schedule(ACCEPT_WINDOW_MS),
    onAccepted,
  });
  const changed = createChangedJobs({ state, onSaved, onCrashRecordsSaved, wallClockMs });

  /** Fills a batch with submissions first, then ended jobs, then progress. */
  const takeBatch = (): Batch => {
    const { parts, fits } = createTransactionBuilder();
    const submissions = queue.selectFitting(fits);
    const jobs = changed.takeFitting(fits);
    return { parts, submissions, jobs };
  };

  /**
   * Applies the current rows of a conflict. They give the versions for the next transaction and show
   * whether the fence is lost.
   */
  const applyConflict = (rows: readonly TableRow[]): void => {
    const { key: fenceKey, version: fenceVersion } = fence();
    queue.resolveConflicts(rows);
    changed.recordVersions(rows.filter(({ key }) => key !== fenceKey));
    if (rows.every(({ key, version }) => key !== fenceKey || version === fenceVersion)) return;
    isStopped = true;
    onFenceLost();
  };

  /** Applies an answer of the table; returns true if nothing has to be retried. */
  const applyAnswer = ({ submissions, jobs }: Batch, outcome: TableAnswer): boolean => {
    const counts = { jobs: jobs.length, accepted: submissions.length };
    if (outcome.isErr()) {
      const { kind, detail } = outcome.error;
      changed.markUnsaved(jobs);
      log.warn('save-failed', { ...counts, kind, detail });
      return false;
    }
    if (outcome.value.kind === 'conflict') {
      const { key, rows = [] } = outcome.value;
      changed.markUnsaved(jobs);
      log.info('save-conflict', { ...counts, key });
      applyConflict(rows);
      return false;
    }
    changed.recordCommitted(jobs, outcome.value.version);
    queue.resolveCommitted(submissions, outcome.value.version);
    return true;
  };

  const saveBatch = async (): Promise<boolean> => {
    const batch = takeBatch();
    const { parts, submissions } = batch;
    if (parts.length === 0) {
      // All jobs that are still marked have been removed from the state.
      changed.clear();
      return true;
    }
    queue.recordSent(submissions);
    const outcome = await table.transact({
      checks: [fence(), ...parts.flatMap(({ checks }) => checks)],
      writes: parts.flatMap(({ writes }) => writes),
    });
    metrics.count('job_saves');
    // These two calls must stay adjacent: a call between them could refuse a submission that was committed.
    queue.recordOutcome(submissions, classifyAnswer(outcome));
    return applyAnswer(batch, outcome);
  };

  const startRound = () => {
    roundBegunAtMs = performance.now();
    const finish = beginRound();
    return { finish, lastMark: changed.lastMark() };
  };

  /** Saves until nothing is left. Under load that may never be, so what was there at the beginning ends a round. */
  const saveRounds = async (): Promise<boolean> => {
    let round = startRound();
    do {
      if (isStopped || !(await saveBatch())) return false;
      if (changed.isWrittenUpTo(round.lastMark)) {
        round.finish();
        round = startRound();
      }
    } while (!changed.isEmpty() || !queue.isEmpty());
    return true;
  };

  const run = async (): Promise<void> => {
    if (isRunning || isStopped) return;
    isRunning = true;
    isRoundRequested = false;
    const isComplete = await saveRounds();
    isRunning = false;
    if (isStopped) return;
    if (!isComplete) schedule(RETRY_MS);
    else if (!queue.isEmpty()) schedule(ACCEPT_WINDOW_MS);
    else if (!changed.isEmpty() || isRoundRequested) schedule(SAVE_INTERVAL_MS);
  };

  const schedule = (afterMs: number): void => {
    isRoundRequested = true;
    const atMs = performance.now() + afterMs;
    if (isRunning || isStopped || (timer && scheduledAtMs <= atMs)) return;
    clearTimeout(timer);
    scheduledAtMs = atMs;
    timer = setTimeout(() => {
      timer = undefined;
      void run();
    }, afterMs);
  };

  return {
    versions: changed.versions,
    accept: queue.accept,
    requestSave: (jobId, isUrgent) => {
      changed.mark(jobId);
      schedule(isUrgent ? 1 : SAVE_INTERVAL_MS / 2);
    },
    requestRound: () => schedule(SAVE_INTERVAL_MS / 2),
    refuseIfTableUnavailable: queue.refuseIfTableUnavailable,
    load: () => ({
      changedJobs: changed.count(),
      waitingSubmissions: queue.count(),
      roundAgeMs: isRunning ? performance.now() - roundBegunAtMs : 0,
    }),
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      queue.stop();
    },
  };
};
