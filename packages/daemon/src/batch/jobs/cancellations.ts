/**
 * The cancellations that a control holder learns of, from notices of other entries and from rows of the table. One that
 * comes before its job is kept until the job comes, so that the order in which the holder learns of both does not matter.
 */
import {
  cancelJob,
  isFinal,
  type BatchPhase,
  type BatchState,
  type Caller,
} from '@valvelatch/core/batch';
import type { RowCheck } from '@valvelatch/core/rows/transaction';
import type { JobId } from '@valvelatch/core/shared/ids';
import type { TransactionOutcome } from '@valvelatch/platform';

import type { Log } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';
import type { EndedJobs } from './ended-jobs.js';

/** A cancellation without a job is kept for this multiple of the time for which clients may query an ended job. */
const RETENTION_FACTOR = 1.5;
/** The rows of this many cancellations are deleted in one transaction. */
const MAX_ROWS_PER_SWEEP = 40;
/** At most this many cancellations without a job are kept; then the oldest is forgotten. */
const MAX_UNMATCHED = 20_000;

/** How a holder learned of a cancellation. */
export type CancellationSource = 'notice' | 'feed' | 'recovery';

export type Cancellation = {
  readonly jobId: JobId;
  /** Who cancelled the job. */
  readonly caller: Caller;
  readonly source: CancellationSource;
  /** When its row was written, in wall clock milliseconds; undefined if not known. */
  readonly writtenAtMs?: number | undefined;
};

export type CancellationsOptions = {
  readonly state: BatchState;
  readonly ended: Pick<EndedJobs, 'findStatus'>;
  readonly table: Pick<BatchTable, 'transact'>;
  readonly guard: () => RowCheck;
  readonly log: Log;
  /** For how long after its end clients may query a job. */
  readonly answerableMs: () => number;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** Wall clock, in milliseconds. */
  readonly wallClockMs: () => number;
};

export type Cancellations = {
  /**
   * Applies a cancellation. Returns the phase of the job afterwards; undefined if the job is unknown or belongs to another
   * account.
   */
  readonly apply: (cancellation: Cancellation) => BatchPhase | undefined;
  /** Tells whether a cancellation by the owner of a job that is not in the state is kept. */
  readonly isKept: (jobId: JobId, caller: Caller) => boolean;
  /** Cancels a job that was just added if one of the cancellations that came before it is its own. */
  readonly applyEarlier: (jobId: JobId) => void;
  /** Forgets cancellations whose jobs have not come for long, and deletes their rows. */
  readonly deleteExpiredRows: () => Promise<void>;
};

type Unmatched = { readonly cancellation: Cancellation; readonly learnedAtMs: number };

/** Tells whether a row existed when a transaction conflicted. */
const hasRow = (outcome: TransactionOutcome, key: string): boolean =>
  outcome.kind === 'conflict' &&
  (outcome.rows?.some((row) => row.key === key && row.version > 0) ?? outcome.key === key);

/**
 * Creates the record of cancellations for one term of a holder.
 *
 * @param options - The scheduler state and the ended jobs.
 * @returns The record.
 */
export const createCancellations = ({
  state,
  ended,
  table,
  guard,
  log,
  answerableMs,
  nowMs,
  wallClockMs,
}: CancellationsOptions): Cancellations => {
  /** The cancellations without a job by the keys of their rows, in the order in which the holder learned of them. */
  const unmatched = new Map<string, Unmatched>();
  const unmatchedKeysByJob = new Map<JobId, ReadonlySet<string>>();

  const forget = (key: string, { cancellation: { jobId } }: Unmatched): void => {
    unmatched.delete(key);
    const others = new Set(unmatchedKeysByJob.get(jobId));
    others.delete(key);
    if (others.size === 0) unmatchedKeysByJob.delete(jobId);
    else unmatchedKeysByJob.set(jobId, others);
  };

  const keep = (cancellation: Cancellation): void => {
    const { jobId, caller } = cancellation;
    const key = batchKey.cancel(jobId, caller);
    if (unmatched.has(key)) return;
    unmatched.set(key, { cancellation, learnedAtMs: nowMs() });
    unmatchedKeysByJob.set(jobId, new Set([...(unmatchedKeysByJob.get(jobId) ?? []), key]));
    const [oldest] = unmatched;
    if (unmatched.size > MAX_UNMATCHED && oldest) forget(...oldest);
  };

  const logApplied = (
    { jobId, caller, source, writtenAtMs }: Cancellation,
    phase: BatchPhase | undefined,
  ): void =>
    log.info('job-cancel-applied', {
      job: jobId,
      account: caller ?? undefined,
      source,
      ageMs: writtenAtMs === undefined ? undefined : Math.round(wallClockMs() - writtenAtMs),
      phase: phase ?? 'unknown',
    });

  const apply = (cancellation: Cancellation): BatchPhase | undefined => {
    const { jobId, caller } = cancellation;
    const endedPhase = ended.findStatus(jobId)?.phase;
    if (endedPhase) return endedPhase;
    const before = state.jobs.get(jobId)?.phase;
    const phase = cancelJob(state, jobId, caller);
    if (before === undefined || !isFinal(before)) logApplied(cancellation, phase);
    if (phase === undefined) keep(cancellation);
    return phase;
  };

  /** Lets the time of some cancellations begin again. */
  const keepLonger = (cancellations: readonly (readonly [string, Unmatched])[]): void =>
    cancellations.forEach(([key, { cancellation }]) => {
      unmatched.delete(key);
      unmatched.set(key, { cancellation, learnedAtMs: nowMs() });
    });

  const findExpired = (): readonly (readonly [string, Unmatched])[] => {
    const beforeMs = nowMs() - answerableMs() * RETENTION_FACTOR;
    return Array.from(unmatched)
      .slice(0, MAX_ROWS_PER_SWEEP)
      .filter(([, { learnedAtMs }]) => learnedAtMs <= beforeMs);
  };

  return {
    apply,
    isKept: (jobId, caller) => unmatched.has(batchKey.cancel(jobId, caller)),
    applyEarlier: (jobId) => {
      const keys = Array.from(unmatchedKeysByJob.get(jobId) ?? []);
      keys.forEach((key) => {
        const earlier = unmatched.get(key);
        if (earlier && apply(earlier.cancellation) !== undefined) forget(key, earlier);
      });
    },
    deleteExpiredRows: async () => {
      const expired = findExpired();
      if (expired.length === 0) return;
      // The row of a job that cannot be read may be repaired, and its cancellation must hold then.
      const jobKeyOf = ({ cancellation }: Unmatched): string => batchKey.job(cancellation.jobId);
      const jobKeys = new Set(expired.map(([, one]) => jobKeyOf(one)));
      const outcome = await table.transact({
        checks: [guard(), ...Array.from(jobKeys, (key) => ({ key, version: 0 }))],
        writes: expired.map(([key]) => ({ key, value: null })),
      });
      if (outcome.isErr()) return;
      if (outcome.value.kind === 'committed') expired.forEach((one) => forget(...one));
      else keepLonger(expired.filter(([, one]) => hasRow(outcome.value, jobKeyOf(one))));
      log.info('rows-swept', {
        cancellations: expired.length,
        isSwept: outcome.value.kind === 'committed',
      });
    },
  };
};
