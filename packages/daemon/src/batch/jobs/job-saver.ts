/**
 * Writes accepted jobs and what changed of jobs, many in one transaction, under the holder's fence.
 * There is one transaction at a time: the table takes those of one part in turn, so a slow table
 * does more with few large ones. An end that an endpoint listed is acknowledged only after the
 * transaction that holds it was committed.
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
  type Submission,
} from './accept-queue.js';
import { createChangedJobs, type JobVersions, type SentJob } from './changed-jobs.js';
import type { BatchTable } from '../ports.js';

export type { AcceptOutcome, LiveRow } from './accept-queue.js';

/** The platform takes 100 entries in one transaction; one is the fence. */
const ENTRIES_PER_TRANSACTION = 98;
/** Submissions that come within this time share a transaction. */
const ACCEPT_MS = 3;
/** Pause between two transactions: ends that come meanwhile share the next one. */
const SAVE_EVERY_MS = 40;
const RETRY_MS = 150;

export type JobSaver = {
  readonly versions: Map<JobId, JobVersions>;
  /** Writes an accepted job; resolves once it is committed or cannot be known. */
  readonly accept: (row: LiveRow) => Promise<AcceptOutcome>;
  /** Asks for a job to be written. */
  readonly mark: (jobId: JobId, isUrgent: boolean) => void;
  /** Asks for a round even if no job changed, so that ends can be acknowledged. */
  readonly poke: () => void;
  /** Refuses what waits for a table that is away; to be called several times a second. */
  readonly lookAtTable: () => void;
  readonly stop: () => void;
};

export type JobSaverOptions = {
  readonly table: Pick<BatchTable, 'transact'>;
  readonly state: BatchState;
  /** The guard row as this holder wrote it. */
  readonly fence: () => RowCheck;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called before a round; the answer is called after all of it was committed. */
  readonly beginRound: () => () => void;
  readonly onSaved: (job: JobState) => void;
  readonly onAccepted: (row: LiveRow, version: number) => void;
  readonly onFenceLost: () => void;
  /** The table has answered nothing for so long that it is away. */
  readonly isTableAway?: () => boolean;
  readonly todayMs: () => number;
};

/** What one transaction holds. */
type Batch = {
  readonly parts: readonly TableTransaction[];
  readonly submissions: readonly Submission[];
  readonly jobs: readonly SentJob[];
};

/** Collects parts up to what one transaction may hold. */
const createParts = () => {
  const parts: TableTransaction[] = [];
  let entries = 0;
  return {
    parts,
    fits: (part: TableTransaction): boolean => {
      const size = part.checks.length + part.writes.length;
      if (entries + size > ENTRIES_PER_TRANSACTION) return false;
      entries += size;
      parts.push(part);
      return true;
    },
  };
};

type TableAnswer = Result<TransactionOutcome, PlatformError>;

const answerKindOf = (answer: TableAnswer): 'answered' | 'failed' | 'unknown' => {
  if (answer.isOk()) return 'answered';
  return answer.error.kind === 'unknown' ? 'unknown' : 'failed';
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
  onAccepted,
  onFenceLost,
  isTableAway = () => false,
  todayMs,
}: JobSaverOptions): JobSaver => {
  let isWanted = false;
  let isRunning = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let plannedAtMs = 0;

  const queue = createAcceptQueue({ isTableAway, onWaiting: () => plan(ACCEPT_MS), onAccepted });
  const changed = createChangedJobs({ state, onSaved, todayMs });

  /** Submissions first, then ends of jobs, then progress. */
  const takeBatch = (): Batch => {
    const { parts, fits } = createParts();
    const submissions = queue.takeFitting(fits);
    const jobs = changed.takeFitting(fits);
    return { parts, submissions, jobs };
  };

  /** The rows as they are tell what has to be written anew, and whether the fence is lost. */
  const takeConflict = (rows: readonly TableRow[]): void => {
    const { key: fenceKey, version: fenceVersion } = fence();
    queue.settleKnown(rows);
    changed.takeVersions(rows.filter(({ key }) => key !== fenceKey));
    if (rows.every(({ key, version }) => key !== fenceKey || version === fenceVersion)) return;
    isStopped = true;
    onFenceLost();
  };

  /** Applies an answer of the table; true if nothing has to be tried again. */
  const settle = ({ submissions, jobs }: Batch, outcome: TableAnswer): boolean => {
    const counts = { jobs: jobs.length, accepted: submissions.length };
    if (outcome.isErr()) {
      const { kind, detail } = outcome.error;
      changed.putBack(jobs);
      log.warn('save-failed', { ...counts, kind, detail });
      return false;
    }
    if (outcome.value.kind === 'conflict') {
      const { key, rows = [] } = outcome.value;
      changed.putBack(jobs);
      log.info('save-conflict', { ...counts, key });
      takeConflict(rows);
      return false;
    }
    changed.settleCommitted(jobs, outcome.value.version);
    queue.settleCommitted(submissions, outcome.value.version);
    return true;
  };

  const saveSome = async (): Promise<boolean> => {
    const batch = takeBatch();
    const { parts, submissions } = batch;
    if (parts.length === 0) {
      // Only jobs that are not there any more are left.
      changed.clear();
      return true;
    }
    queue.noteSent(submissions);
    const outcome = await table.transact({
      checks: [fence(), ...parts.flatMap(({ checks }) => checks)],
      writes: parts.flatMap(({ writes }) => writes),
    });
    metrics.count('job_saves');
    // No other call may come between the two: it could refuse a submission that was committed.
    queue.noteOutcome(submissions, answerKindOf(outcome));
    return settle(batch, outcome);
  };

  const saveRound = async (): Promise<boolean> => {
    const finishRound = beginRound();
    do {
      if (isStopped || !(await saveSome())) return false;
    } while (!changed.isEmpty() || !queue.isEmpty());
    finishRound();
    return true;
  };

  const run = async (): Promise<void> => {
    if (isRunning || isStopped) return;
    isRunning = true;
    isWanted = false;
    const isWhole = await saveRound();
    isRunning = false;
    if (isStopped) return;
    if (!isWhole) plan(RETRY_MS);
    else if (!queue.isEmpty()) plan(ACCEPT_MS);
    else if (!changed.isEmpty() || isWanted) plan(SAVE_EVERY_MS);
  };

  const plan = (afterMs: number): void => {
    isWanted = true;
    const atMs = performance.now() + afterMs;
    if (isRunning || isStopped || (timer && plannedAtMs <= atMs)) return;
    clearTimeout(timer);
    plannedAtMs = atMs;
    timer = setTimeout(() => {
      timer = undefined;
      void run();
    }, afterMs);
  };

  return {
    versions: changed.versions,
    accept: queue.accept,
    mark: (jobId, isUrgent) => {
      changed.mark(jobId);
      plan(isUrgent ? 1 : SAVE_EVERY_MS / 2);
    },
    poke: () => plan(SAVE_EVERY_MS / 2),
    lookAtTable: queue.refuseIfAway,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      queue.stop();
    },
  };
};
