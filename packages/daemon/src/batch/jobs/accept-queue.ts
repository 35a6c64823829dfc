/**
 * The queue of submitted jobs that wait at the control holder until their rows are written. While the
 * table is unavailable, submissions that certainly were not written are refused. A submission that was
 * in a transaction with an unknown outcome waits until that outcome is known.
 */
import type { BatchJobRow } from '@valvelatch/core/batch';
import type { TableRow } from '@valvelatch/core/rows/transaction';
import { change } from '@valvelatch/core/shared/change';
import type { TableTransaction } from '@valvelatch/platform';

import { batchKey } from '../keys.js';
import { buildSubmission, cancelKeyOf } from './submission-transaction.js';

/**
 * The table counts as unavailable once a transaction has been in flight, or transactions have kept
 * failing, for longer than this; submissions that were not sent yet are then refused at once. The
 * bound is above the 0.9 s that a slow table may take to answer.
 */
const OUTAGE_AFTER_MS = 1200;
/** While the table is unavailable, one submission per interval is queued to probe it. */
const PROBE_INTERVAL_MS = 400;
/** New submissions are refused while this many wait: a slow table writes only about 60 per second. */
const MAX_WAITING = 300;

/** The row of a job that has not ended. */
export type LiveRow = Extract<BatchJobRow, { kind: 'live' }>;

/** The outcome of a submission at the holder. */
export type AcceptOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  /** The job already has a row: it was accepted before. */
  | { readonly kind: 'conflict' }
  /** Its owner has cancelled the job before; it was not written. */
  | { readonly kind: 'cancelled' }
  /** Too many submissions are waiting; the job was not written. */
  | { readonly kind: 'full' }
  /** The forecast says that the job cannot be done in time; it was not written. */
  | { readonly kind: 'refused'; readonly detail: string; readonly retryAfterS: number }
  /** The table does not answer the holder; the job certainly was not written. */
  | { readonly kind: 'away' }
  /** The holder was asked and its answer is missing: the job may have been accepted. */
  | { readonly kind: 'unheard' };

/** A submission that has not been answered yet. */
export type QueuedSubmission = {
  readonly row: LiveRow;
  readonly resolve: (outcome: AcceptOutcome) => void;
  /** True if it was in a transaction whose outcome is unknown. */
  mayBeWritten: boolean;
};

export type AcceptQueue = {
  /** Queues a job for writing; resolves once it is committed or refused, or its outcome cannot be determined. */
  readonly accept: (row: LiveRow) => Promise<AcceptOutcome>;
  readonly isEmpty: () => boolean;
  readonly count: () => number;
  /** The number of submissions that no transaction in flight contains. */
  readonly countUnsent: () => number;
  /**
   * Selects the submissions that `fits` admits to the next transaction, up to the first that it refuses, without those that
   * are in flight; they stay in the queue.
   */
  readonly selectFitting: (
    fits: (part: TableTransaction) => boolean,
  ) => readonly QueuedSubmission[];
  /** Records that a transaction with these submissions is being sent; the list identifies the transaction. */
  readonly recordSent: (sent: readonly QueuedSubmission[]) => void;
  /** Records that the transaction has ended; after `unknown` it may have been committed. */
  readonly recordOutcome: (
    sent: readonly QueuedSubmission[],
    outcome: 'answered' | 'failed' | 'unknown',
  ) => void;
  /** Resolves submissions whose rows were committed with this version. */
  readonly resolveCommitted: (sent: readonly QueuedSubmission[], version: number) => void;
  /**
   * Resolves submissions whose row already exists as `conflict`: they were accepted before. Those whose owner has cancelled
   * them before are resolved as `cancelled`.
   */
  readonly resolveConflicts: (rows: readonly TableRow[]) => void;
  /** If the table is unavailable, refuses the submissions that certainly were not written. */
  readonly refuseIfTableUnavailable: () => void;
  /** Resolves all waiting submissions as `unheard` and empties the queue. */
  readonly stop: () => void;
};

export type AcceptQueueOptions = {
  /** True if the table has been silent for so long that it counts as unavailable. */
  readonly isTableUnavailable: () => boolean;
  /** Called when a submission was added to the queue. */
  readonly onQueued: () => void;
  /** Called when the row of a job was committed. */
  readonly onAccepted: (row: LiveRow, version: number) => void;
};

/** Detects from the holder's own transactions whether the table is unavailable. */
const createTableMonitor = () => {
  /** When each unanswered transaction was sent, the oldest first. */
  const sentAtMs = new Map<object, number>();
  let failingSinceMs = Infinity;
  return {
    recordSent: (transaction: object): void => {
      sentAtMs.set(transaction, performance.now());
    },
    recordOutcome: (transaction: object, isAnswered: boolean): void => {
      sentAtMs.delete(transaction);
      failingSinceMs = isAnswered ? Infinity : Math.min(failingSinceMs, performance.now());
    },
    isUnavailable: (): boolean => {
      const nowMs = performance.now();
      const [oldestSentAtMs = Infinity] = sentAtMs.values();
      return nowMs - failingSinceMs > OUTAGE_AFTER_MS || nowMs - oldestSentAtMs > OUTAGE_AFTER_MS;
    },
  };
};

/**
 * Creates the accept queue of a holder.
 *
 * @param options - The availability of the table, and the callbacks.
 * @returns An empty queue.
 */
export const createAcceptQueue = ({
  isTableUnavailable,
  onQueued,
  onAccepted,
}: AcceptQueueOptions): AcceptQueue => {
  const tableMonitor = createTableMonitor();
  const inFlight = new Set<QueuedSubmission>();
  let waiting: readonly QueuedSubmission[] = [];
  let lastProbeAtMs = 0;

  const isUnavailable = (): boolean => isTableUnavailable() || tableMonitor.isUnavailable();

  const refuseUnwritten = (): void => {
    waiting = waiting.filter((submission) => {
      const mustWait = submission.mayBeWritten || inFlight.has(submission);
      if (!mustWait) submission.resolve({ kind: 'away' });
      return mustWait;
    });
  };

  const refuseIfTableUnavailable = (): void => {
    if (waiting.length > 0 && isUnavailable()) refuseUnwritten();
  };

  /** Tells whether a submission may be queued to probe an unavailable table. */
  const mayProbe = (): boolean => {
    const nowMs = performance.now();
    if (isTableUnavailable() || nowMs - lastProbeAtMs < PROBE_INTERVAL_MS) return false;
    lastProbeAtMs = nowMs;
    return true;
  };

  /** Finds the outcome with which a submission is refused at once; undefined if it may wait. */
  const findRefusal = (): AcceptOutcome | undefined => {
    if (waiting.length >= MAX_WAITING) return { kind: 'full' };
    if (!isUnavailable()) return undefined;
    refuseUnwritten();
    return mayProbe() ? undefined : { kind: 'away' };
  };

  return {
    accept: (row) =>
      new Promise((resolve) => {
        const refusal = findRefusal();
        if (refusal) {
          resolve(refusal);
          return;
        }
        waiting = [...waiting, { row, resolve, mayBeWritten: false }];
        onQueued();
      }),
    isEmpty: () => waiting.length === 0,
    count: () => waiting.length,
    countUnsent: () => waiting.length - inFlight.size,
    selectFitting: (fits) => {
      const unsent = waiting.filter((submission) => !inFlight.has(submission));
      const firstLeftOut = unsent.findIndex((submission) => !fits(buildSubmission(submission.row)));
      return firstLeftOut < 0 ? unsent : unsent.slice(0, firstLeftOut);
    },
    recordSent: (sent) => {
      tableMonitor.recordSent(sent);
      sent.forEach((submission) => inFlight.add(submission));
    },
    recordOutcome: (sent, outcome) => {
      tableMonitor.recordOutcome(sent, outcome === 'answered');
      sent.forEach((submission) => inFlight.delete(submission));
      if (outcome === 'unknown') {
        sent.forEach((submission) => change(submission, { mayBeWritten: true }));
      }
      refuseIfTableUnavailable();
    },
    resolveCommitted: (sent, version) => {
      waiting = waiting.filter((submission) => !sent.includes(submission));
      sent.forEach(({ row, resolve }) => {
        onAccepted(row, version);
        resolve({ kind: 'committed', version });
      });
    },
    resolveConflicts: (rows) => {
      const existingKeys = new Set(rows.filter(({ version }) => version > 0).map(({ key }) => key));
      waiting = waiting.filter(({ row, resolve }) => {
        const isWritten = existingKeys.has(batchKey.job(row.job.jobId));
        const isCancelled = existingKeys.has(cancelKeyOf(row));
        if (isWritten) resolve({ kind: 'conflict' });
        else if (isCancelled) resolve({ kind: 'cancelled' });
        return !isWritten && !isCancelled;
      });
    },
    refuseIfTableUnavailable,
    stop: () => {
      waiting.forEach(({ resolve }) => resolve({ kind: 'unheard' }));
      waiting = [];
    },
  };
};
