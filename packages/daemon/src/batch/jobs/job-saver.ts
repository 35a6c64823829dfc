/**
 * Writes accepted jobs and changes of jobs, many in one transaction, under the holder's fence. The table executes the
 * transactions of one group of row kinds (see `batchKey`) one after the other, so a slow table achieves more with few
 * large ones. A further transaction is sent while others are in flight only if it is full and the table answers fast:
 * otherwise a holder whose event loop is late would write as many transactions as its loop has turns. A run's end that
 * an endpoint listed is acknowledged only after the transaction that contains it was committed.
 */
import type { BatchState, JobState } from '@valvelatch/core/batch';
import type { RowCheck, TableRow } from '@valvelatch/core/rows/transaction';
import type { JobId } from '@valvelatch/core/shared/ids';
import type { PlatformError, TableTransaction, TransactionOutcome } from '@valvelatch/platform';
import type { Result } from 'ts-results-es';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { isCancelKey } from '../keys.js';
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
/** Of which ended jobs are given this many before submissions, so that neither holds up the other. */
const MAX_ENTRIES_OF_ENDED_JOBS = 49;
/** The fewest entries that a job or a submission takes: a check and a write. */
const MIN_ENTRIES_PER_ROW = 2;
const MAX_IN_FLIGHT = 3;
/**
 * All transactions in flight together should be answered within this time, if each takes as long as the last one. A table
 * that becomes slow answers them within their timeout then.
 */
const IN_FLIGHT_BUDGET_MS = 450;
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
  readonly transactionsInFlight: number;
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

/** The time in which everything that has changed by its beginning is written. */
type SaveRound = {
  readonly begunAtMs: number;
  /** Marks the ends of runs that had been applied at its beginning as stored. */
  readonly finish: () => void;
  /** The number of the last change at its beginning. */
  readonly lastMark: number;
};

/** Collects parts up to the size limit of a transaction. */
const createTransactionBuilder = () => {
  const parts: TableTransaction[] = [];
  let entries = 0;
  return {
    parts,
    /** Returns a function that adds a part if there are no more than `maxEntries` with it, and tells whether it did. */
    fitsWithin:
      (maxEntries: number) =>
      (part: TableTransaction): boolean => {
        const size = part.checks.length + part.writes.length;
        if (entries + size > maxEntries) return false;
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
  let inFlightCount = 0;
  /** True from a failed transaction until those in flight beside it have ended. */
  let hasFailed = false;
  let lastTookMs = 0;
  let round: SaveRound | undefined;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let scheduledAtMs = 0;

  const queue = createAcceptQueue({
    isTableUnavailable,
    onQueued: () => schedule(ACCEPT_WINDOW_MS),
    onAccepted,
  });
  const changed = createChangedJobs({ state, onSaved, onCrashRecordsSaved, wallClockMs });

  /** Fills a batch with ended jobs up to a half, then submissions, then further ended jobs, then progress. */
  const takeBatch = (): Batch => {
    const { parts, fitsWithin } = createTransactionBuilder();
    const fits = fitsWithin(MAX_ENTRIES_PER_TRANSACTION);
    const ended = changed.takeFitting(fitsWithin(MAX_ENTRIES_OF_ENDED_JOBS), { onlyEnded: true });
    const submissions = queue.selectFitting(fits);
    const jobs = [...ended, ...changed.takeFitting(fits)];
    return { parts, submissions, jobs };
  };

  /**
   * Applies the current rows of a conflict. They give the versions for the next transaction and show
   * whether the fence is lost.
   */
  const applyConflict = (rows: readonly TableRow[]): void => {
    const { key: fenceKey, version: fenceVersion } = fence();
    queue.resolveConflicts(rows);
    changed.recordVersions(rows.filter(({ key }) => key !== fenceKey && !isCancelKey(key)));
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

  const startRound = (): SaveRound => {
    const begunAtMs = performance.now();
    const finish = beginRound();
    return { begunAtMs, finish, lastMark: changed.lastMark() };
  };

  /** Ends the round once all that had changed at its beginning is written, and begins the next one. */
  const finishRound = (): void => {
    if (!round || !changed.isWrittenUpTo(round.lastMark)) return;
    round.finish();
    round = startRound();
  };

  const maySendNext = (): boolean => {
    if (inFlightCount === 0) return true;
    const maxInFlight = Math.min(MAX_IN_FLIGHT, Math.floor(IN_FLIGHT_BUDGET_MS / lastTookMs));
    const waitingEntries = (changed.count() + queue.countUnsent()) * MIN_ENTRIES_PER_ROW;
    return inFlightCount < maxInFlight && waitingEntries >= MAX_ENTRIES_PER_TRANSACTION;
  };

  const sendBatch = async (batch: Batch): Promise<void> => {
    const { parts, submissions } = batch;
    const sentAtMs = performance.now();
    inFlightCount += 1;
    queue.recordSent(submissions);
    const outcome = await table.transact({
      checks: [fence(), ...parts.flatMap(({ checks }) => checks)],
      writes: parts.flatMap(({ writes }) => writes),
    });
    inFlightCount -= 1;
    lastTookMs = performance.now() - sentAtMs;
    metrics.count('job_saves');
    // These two calls must stay adjacent: a call between them could refuse a submission that was committed.
    queue.recordOutcome(submissions, classifyAnswer(outcome));
    if (!applyAnswer(batch, outcome)) hasFailed = true;
    continueRun();
  };

  const endRun = (): void => {
    const isComplete = !hasFailed;
    hasFailed = false;
    round = undefined;
    if (!isComplete) schedule(RETRY_MS);
    else if (!queue.isEmpty()) schedule(ACCEPT_WINDOW_MS);
    else if (!changed.isEmpty() || isRoundRequested) schedule(SAVE_INTERVAL_MS);
  };

  /** Saves until nothing is left. Under load that may never be, so what was there at the beginning ends a round. */
  const continueRun = (): void => {
    if (isStopped) return;
    finishRound();
    while (!hasFailed && maySendNext()) {
      const batch = takeBatch();
      if (batch.parts.length === 0) break;
      void sendBatch(batch);
    }
    if (inFlightCount === 0) endRun();
  };

  const run = (): void => {
    if (inFlightCount > 0 || isStopped) return;
    isRoundRequested = false;
    round = startRound();
    continueRun();
  };

  const schedule = (afterMs: number): void => {
    isRoundRequested = true;
    const atMs = performance.now() + afterMs;
    if (inFlightCount > 0 || isStopped || (timer && scheduledAtMs <= atMs)) return;
    clearTimeout(timer);
    scheduledAtMs = atMs;
    timer = setTimeout(() => {
      timer = undefined;
      run();
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
      roundAgeMs: round ? performance.now() - round.begunAtMs : 0,
      transactionsInFlight: inFlightCount,
    }),
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      queue.stop();
    },
  };
};
