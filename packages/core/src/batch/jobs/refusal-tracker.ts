/**
 * Keeps the refusals of admission control, counts its outcomes, and checks a sample of the refusals: the forecast of
 * each is compared with the work that the pool has completed since.
 */
import type { AccountName, JobId, PoolName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { BatchJob, QueueName } from '../model/job.js';
import { poolOf, type BatchState } from '../model/state.js';
import type { Forecast } from './forecast.js';

/** One in this many refusals is tracked afterwards, to check whether its forecast was right. */
const REFUSALS_PER_SAMPLE = 4;
const MAX_SAMPLES = 500;
/** How many jobs' refusals can be found by their job id; the oldest is evicted. */
const MAX_KEPT_REFUSALS = 4000;

/** A refused job, with the forecast that led to the refusal. */
export type ForecastRefusal = {
  readonly jobId: JobId;
  readonly queue: QueueName;
  readonly account: AccountName;
  /** Whether the job was within its account's share. */
  readonly isOwed: boolean;
  /** When it was refused, by the monotonic clock. */
  readonly atMs: number;
  readonly forecast: Forecast;
  /** Work in core-milliseconds that the pool would have completed before the job starts. */
  readonly workAheadCoreMs: number;
  /** The latest useful completion of the job, in milliseconds after `atMs`. */
  readonly limitMs: number;
  readonly retryAfterMs: number;
};

/** Counts of the admission outcomes of a queue or of an account. */
export type AdmissionCounts = {
  refused: number;
  /** Accepted, but not completed within the objective. */
  late: number;
  /** Tracked refusals whose outcome is known, and those of them whose job would have been useful after all. */
  followedUp: number;
  wronglyRefused: number;
};

/** A tracked refusal: its forecast is compared with the work that its pool completes. */
type TrackedRefusal = {
  readonly refusal: ForecastRefusal;
  readonly pool: PoolName;
  /** The job would have started once the work completed by the pool reached this many core-milliseconds. */
  readonly startsAtCoreMs: number;
  /** The latest time, by the monotonic clock, at which the job could have started and still been useful. */
  readonly startDeadlineMs: number;
};

export type RefusalTracker = {
  /** Records a refusal that was reported to the client. */
  readonly recordRefusal: (refusal: ForecastRefusal, pool: PoolName) => void;
  /** Records that an accepted job completed, and whether it did so within its objective. */
  readonly recordCompletion: (job: BatchJob, isInTime: boolean) => void;
  /** Compares the tracked refusals with the work completed since; to be called several times a second. */
  readonly checkTrackedRefusals: (nowMs: number) => void;
  /** The latest refusal of a job; undefined if there is none or it was evicted. */
  readonly findRefusal: (jobId: JobId) => ForecastRefusal | undefined;
  readonly countsByQueue: ReadonlyMap<QueueName, AdmissionCounts>;
  readonly countsByAccount: ReadonlyMap<AccountName, AdmissionCounts>;
};

const createCounts = (): AdmissionCounts => ({
  refused: 0,
  late: 0,
  followedUp: 0,
  wronglyRefused: 0,
});

/**
 * Creates the refusal tracker of a control holder.
 *
 * @param state - The state of the control holder; only the work that its pools have completed is read.
 * @returns The tracker, without refusals.
 */
export const createRefusalTracker = (state: BatchState): RefusalTracker => {
  const refusals = new Map<JobId, ForecastRefusal>();
  const countsByQueue = new Map<QueueName, AdmissionCounts>();
  const countsByAccount = new Map<AccountName, AdmissionCounts>();
  let trackedRefusals: readonly TrackedRefusal[] = [];
  let refused = 0;

  const count = (
    { queue, account }: Pick<ForecastRefusal, 'queue' | 'account'>,
    field: keyof AdmissionCounts,
  ): void => {
    const ofQueue = countsByQueue.get(queue) ?? createCounts();
    const ofAccount = countsByAccount.get(account) ?? createCounts();
    countsByQueue.set(queue, ofQueue);
    countsByAccount.set(account, ofAccount);
    [ofQueue, ofAccount].forEach((counts) => change(counts, { [field]: counts[field] + 1 }));
  };

  const trackRefusal = (refusal: ForecastRefusal, pool: PoolName): void => {
    refused += 1;
    if (refused % REFUSALS_PER_SAMPLE !== 0 || trackedRefusals.length >= MAX_SAMPLES) return;
    const { forecast, workAheadCoreMs, limitMs, atMs } = refusal;
    if (!Number.isFinite(forecast.backlogMs)) return;
    const durationMs = Math.max(0, forecast.doneMs - forecast.backlogMs);
    const startsAtCoreMs = poolOf(state, pool).doneCoreMs + workAheadCoreMs;
    trackedRefusals = [
      ...trackedRefusals,
      { refusal, pool, startsAtCoreMs, startDeadlineMs: atMs + limitMs - durationMs },
    ];
  };

  return {
    recordRefusal: (refusal, pool) => {
      refusals.delete(refusal.jobId);
      refusals.set(refusal.jobId, refusal);
      const [oldest] = refusals.keys();
      if (refusals.size > MAX_KEPT_REFUSALS && oldest !== undefined) refusals.delete(oldest);
      count(refusal, 'refused');
      trackRefusal(refusal, pool);
    },
    recordCompletion: ({ queue, owner }, isInTime) => {
      if (!isInTime && owner) count({ queue, account: owner.account }, 'late');
    },
    checkTrackedRefusals: (nowMs) => {
      trackedRefusals = trackedRefusals.filter(
        ({ refusal, pool, startsAtCoreMs, startDeadlineMs }) => {
          const hasStarted = poolOf(state, pool).doneCoreMs >= startsAtCoreMs;
          if (!hasStarted && nowMs <= startDeadlineMs) return true;
          count(refusal, 'followedUp');
          if (hasStarted && nowMs <= startDeadlineMs) count(refusal, 'wronglyRefused');
          return false;
        },
      );
    },
    findRefusal: (jobId) => refusals.get(jobId),
    countsByQueue,
    countsByAccount,
  };
};
