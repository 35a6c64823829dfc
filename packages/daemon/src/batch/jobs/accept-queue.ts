/**
 * Submitted jobs that wait at the holder until their rows are written. One that was surely not written
 * is refused while the table is away; one that was in a transaction without an answer waits until it
 * is known what became of it.
 */
import type { BatchJobRow } from '@valvelatch/core/batch';
import type { TableRow } from '@valvelatch/core/rows/transaction';
import { change } from '@valvelatch/core/shared/change';
import type { TableTransaction } from '@valvelatch/platform';

import { batchKey } from '../keys.js';

/**
 * A transaction that is under way for so long, or failures for as long, show that the table is away:
 * what was not sent yet is refused at once. A slow table takes up to 0.9 s.
 */
const AWAY_AFTER_MS = 1200;
/** While the table is away one submission at a time is let through to try. */
const TRY_EVERY_MS = 400;
/** Above so many that wait, new ones are refused: a slow table writes some 60 a second. */
const MOST_WAITING = 300;

/** The row of a job that has not ended. */
export type LiveRow = Extract<BatchJobRow, { kind: 'live' }>;

/** What became of a submission. */
export type AcceptOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  /** The job was accepted before. */
  | { readonly kind: 'conflict' }
  | { readonly kind: 'full' }
  /** By a forecast it could not be served; it was not written. */
  | { readonly kind: 'refused'; readonly detail: string; readonly retryAfterS: number }
  /** The table does not answer the holder; the job was surely not written. */
  | { readonly kind: 'away' }
  /** The holder was asked and did not say: the job may be accepted. */
  | { readonly kind: 'unheard' };

/** A submission that is not answered yet. */
export type Submission = {
  readonly row: LiveRow;
  readonly resolve: (outcome: AcceptOutcome) => void;
  /** It was in a transaction whose outcome is not known. */
  mayBeWritten: boolean;
};

export type AcceptQueue = {
  /** Has a job written; resolves once it is committed, refused or cannot be known. */
  readonly accept: (row: LiveRow) => Promise<AcceptOutcome>;
  readonly isEmpty: () => boolean;
  /** Takes the submissions that `fits` lets into the next transaction. */
  readonly takeFitting: (fits: (part: TableTransaction) => boolean) => readonly Submission[];
  /** A transaction is sent now, with these submissions. */
  readonly noteSent: (sent: readonly Submission[]) => void;
  /** The transaction has ended; `unknown`: it may have been carried out. */
  readonly noteOutcome: (
    sent: readonly Submission[],
    outcome: 'answered' | 'failed' | 'unknown',
  ) => void;
  readonly settleCommitted: (sent: readonly Submission[], version: number) => void;
  /** Submissions whose row is there already were accepted before. */
  readonly settleKnown: (rows: readonly TableRow[]) => void;
  /** Refuses what waits for a table that is away. */
  readonly refuseIfAway: () => void;
  readonly stop: () => void;
};

export type AcceptQueueOptions = {
  /** The table has answered nothing for so long that it is away. */
  readonly isTableAway: () => boolean;
  /** A submission waits to be written. */
  readonly onWaiting: () => void;
  readonly onAccepted: (row: LiveRow, version: number) => void;
};

/** Judges by the holder's own transactions whether the table is away. */
const createTableWatch = () => {
  let sentAtMs = Infinity;
  let failingSinceMs = Infinity;
  return {
    noteSent: (): void => {
      sentAtMs = performance.now();
    },
    noteOutcome: (isAnswered: boolean): void => {
      sentAtMs = Infinity;
      failingSinceMs = isAnswered ? Infinity : Math.min(failingSinceMs, performance.now());
    },
    isAway: (): boolean => {
      const nowMs = performance.now();
      return nowMs - failingSinceMs > AWAY_AFTER_MS || nowMs - sentAtMs > AWAY_AFTER_MS;
    },
  };
};

const writeOf = ({ row }: Submission): TableTransaction => {
  const key = batchKey.job(row.job.jobId);
  return { checks: [{ key, version: 0 }], writes: [{ key, value: row }] };
};

/**
 * Builds the queue of a holder.
 *
 * @param options - What is known of the table, and whom to tell.
 * @returns The queue, empty.
 */
export const createAcceptQueue = ({
  isTableAway,
  onWaiting,
  onAccepted,
}: AcceptQueueOptions): AcceptQueue => {
  const watch = createTableWatch();
  const inFlight = new Set<Submission>();
  let waiting: readonly Submission[] = [];
  let lastTryAtMs = 0;

  const isAway = (): boolean => isTableAway() || watch.isAway();

  const refuseUnwritten = (): void => {
    waiting = waiting.filter((submission) => {
      const isPursued = submission.mayBeWritten || inFlight.has(submission);
      if (!isPursued) submission.resolve({ kind: 'away' });
      return isPursued;
    });
  };

  const refuseIfAway = (): void => {
    if (waiting.length > 0 && isAway()) refuseUnwritten();
  };

  /** Tells whether a submission may be let through to try a table that is away. */
  const mayTry = (): boolean => {
    const nowMs = performance.now();
    if (isTableAway() || nowMs - lastTryAtMs < TRY_EVERY_MS) return false;
    lastTryAtMs = nowMs;
    return true;
  };

  /** Why a submission is refused at once; undefined if it may wait. */
  const findRefusal = (): AcceptOutcome | undefined => {
    if (waiting.length >= MOST_WAITING) return { kind: 'full' };
    if (!isAway()) return undefined;
    refuseUnwritten();
    return mayTry() ? undefined : { kind: 'away' };
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
        onWaiting();
      }),
    isEmpty: () => waiting.length === 0,
    takeFitting: (fits) => waiting.filter((submission) => fits(writeOf(submission))),
    noteSent: (sent) => {
      watch.noteSent();
      sent.forEach((submission) => inFlight.add(submission));
    },
    noteOutcome: (sent, outcome) => {
      watch.noteOutcome(outcome === 'answered');
      inFlight.clear();
      if (outcome === 'unknown') {
        sent.forEach((submission) => change(submission, { mayBeWritten: true }));
      }
      refuseIfAway();
    },
    settleCommitted: (sent, version) => {
      waiting = waiting.filter((submission) => !sent.includes(submission));
      sent.forEach(({ row, resolve }) => {
        onAccepted(row, version);
        resolve({ kind: 'committed', version });
      });
    },
    settleKnown: (rows) => {
      const there = new Set(rows.filter(({ version }) => version > 0).map(({ key }) => key));
      waiting = waiting.filter(({ row, resolve }) => {
        const isKnown = there.has(batchKey.job(row.job.jobId));
        if (isKnown) resolve({ kind: 'conflict' });
        return !isKnown;
      });
    },
    refuseIfAway,
    stop: () => {
      waiting.forEach(({ resolve }) => resolve({ kind: 'unheard' }));
      waiting = [];
    },
  };
};
