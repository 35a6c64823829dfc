/**
 * Admission control: refuses jobs that are forecast to complete too late to be useful. Applies only to jobs of client
 * accounts that have a weight or a maximum, and only while the pool has a backlog.
 */
import type { AccountName, JobId, PoolName } from '../../shared/ids.js';
import { limitsOf } from '../accounts/quota.js';
import { previewShare } from '../accounts/shares.js';
import { RESOURCES } from '../model/capacity.js';
import type { BatchJob, QueuePolicy } from '../model/job.js';
import type { JobShare } from '../model/share.js';
import { poolOf, type BatchState } from '../model/state.js';
import { LATE_SUCCESS_FACTOR } from '../placement/job-rank.js';
import { forecastJob, type Forecast, type ForecastInput } from './forecast.js';
import { estimateJobWork, type JobWork } from './job-work.js';
import { measureLoads, type PoolLoad, type QueuedWork } from './pool-load.js';
import {
  createRefusalTracker,
  type ForecastRefusal,
  type RefusalTracker,
} from './refusal-tracker.js';

export type { AdmissionCounts, ForecastRefusal } from './refusal-tracker.js';

/** Queued work that starts within this time is not treated as a backlog, so no job is refused because of it. */
const MIN_BACKLOG_MS = 500;
/** No job is refused this soon after a takeover: a new control holder does not know yet which tasks are running. */
const TAKEOVER_GRACE_MS = 2000;
/**
 * Expected times until a host adds capacity to the pool: one that is already being moved to it, a free one that still
 * has to be moved, and one of another pool that has to be drained first.
 */
const MOVING_HOST_MS = 1000;
const FREE_HOST_MS = 2000;
const RECLAIMED_HOST_MS = 3500;
const MIN_RETRY_MS = 1000;
const MAX_RETRY_MS = 30_000;
/** Relative jitter of Retry-After in both directions, so that clients refused together do not retry together. */
const RETRY_JITTER = 0.25;
/**
 * Shortest interval between two measurements of the pool loads. Above about 600 jobs the interval grows with the number
 * of jobs, so that measuring always takes the same share of a processor.
 */
const MEASURE_INTERVAL_MS = 25;
const MEASURE_INTERVAL_MS_PER_JOB = 0.04;
const MILLIS = 1000;

/** The rank of a job that is retried too late to meet its objective: it takes no capacity from jobs that still can. */
const LAST_SHARE: JobShare = { isWithinShare: false, virtualStart: Infinity };

/** A job that a client submits, with the policy of its queue. */
export type JobSubmission = { readonly job: BatchJob; readonly policy: QueuePolicy };

/** The decisions on submitted jobs, with the record of the refusals. */
export type AdmissionControl = RefusalTracker & {
  /** Decides on a submitted job; undefined if it is to be accepted. */
  readonly evaluate: (submitted: JobSubmission, nowMs: number) => ForecastRefusal | undefined;
  /** Counts an admitted job as queued work until `removePending` is called for it. */
  readonly addPending: (submitted: JobSubmission, nowMs: number) => void;
  /** Stops counting an admitted job: it was added to the state, or is known not to be. */
  readonly removePending: (jobId: JobId) => void;
};

/** Whether queued work runs before a new job with this share and policy. */
const runsBefore = (
  { isWithinShare, isTooLate, priority, virtualStart }: QueuedWork,
  share: JobShare,
  policy: QueuePolicy,
): boolean => {
  if (isTooLate) return share === LAST_SHARE;
  if (isWithinShare !== share.isWithinShare) return isWithinShare;
  return isWithinShare ? priority <= policy.priority : virtualStart <= share.virtualStart;
};

/** How many cores of an endpoint tasks of the given size can use: only whole tasks fit. */
const usableCores = (capacityCpu: number, taskCpu: number): number =>
  (taskCpu > 0 ? Math.floor(capacityCpu / taskCpu) * taskCpu : capacityCpu) / MILLIS;

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

const hasLimits = (state: BatchState, account: AccountName | undefined): boolean => {
  const limits = account === undefined ? undefined : limitsOf(state, account);
  if (!limits) return false;
  return limits.weight > 0 || RESOURCES.some((resource) => limits.maximum[resource] > 0);
};

/** The work that a pool completes before a job starts, including later arrivals that overtake the job until then. */
const workBeforeOf = (
  { queuedAheadCoreMs, overtakingCores }: ForecastInput,
  { backlogMs }: Forecast,
): number => queuedAheadCoreMs + overtakingCores * backlogMs;

export type AdmissionControlOptions = {
  readonly state: BatchState;
  readonly random?: () => number;
};

/**
 * Creates the admission control of a control holder.
 *
 * @param options - The state of the control holder, and the random source for the jitter of Retry-After.
 * @returns The admission control.
 */
export const createAdmissionControl = ({
  state,
  random = Math.random,
}: AdmissionControlOptions): AdmissionControl => {
  const pending = new Map<JobId, { readonly pool: PoolName; readonly work: QueuedWork }>();
  const tracker = createRefusalTracker(state);
  let loads: ReadonlyMap<PoolName, PoolLoad> = new Map();
  let measuredAtMs = -Infinity;

  const loadOf = (pool: PoolName, nowMs: number): PoolLoad | undefined => {
    const intervalMs = Math.max(MEASURE_INTERVAL_MS, MEASURE_INTERVAL_MS_PER_JOB * state.jobs.size);
    if (nowMs - measuredAtMs >= intervalMs) {
      loads = measureLoads(state, nowMs);
      measuredAtMs = nowMs;
      pending.forEach(({ pool: name, work }) => loads.get(name)?.queuedWork.push(work));
    }
    return loads.get(pool);
  };

  const forecastInputOf = (
    { job, policy }: JobSubmission,
    share: JobShare,
    jobWork: JobWork,
    nowMs: number,
  ): ForecastInput | undefined => {
    const load = loadOf(job.pool, nowMs);
    if (!load) return undefined;
    const { forecast, demand } = poolOf(state, job.pool);
    const taskCpu = Math.max(0, ...job.steps.map(({ cpuMillis }) => cpuMillis));
    const hostCpu = Math.max(0, ...load.endpointsCpuMillis);
    // The usable share of a host like those of the pool; a pool without hosts is assumed to use all cores that it gets.
    const usable = hostCpu > 0 ? usableCores(hostCpu, taskCpu) / (hostCpu / MILLIS) : 1;
    const coresOf = (cpuMillis: number): number => (cpuMillis * usable) / MILLIS;
    return {
      queuedAheadCoreMs: sum(
        load.queuedWork
          .filter((work) => runsBefore(work, share, policy))
          .map(({ coreMs }) => coreMs),
      ),
      usableCores: sum(
        load.endpointsCpuMillis.map((capacityCpu) => usableCores(capacityCpu, taskCpu)),
      ),
      arrivingCapacity: [
        { cores: coresOf(forecast.joiningCpu), delayMs: MOVING_HOST_MS },
        { cores: coresOf(forecast.freeCpu), delayMs: FREE_HOST_MS },
        {
          cores: share.isWithinShare ? coresOf(forecast.reclaimedCpu) : 0,
          delayMs: RECLAIMED_HOST_MS,
        },
      ],
      overtakingCores: share.isWithinShare ? 0 : demand.withinShareRates(nowMs).slowCores,
      jobCoreMs: jobWork.coreMs,
      criticalPathMs: jobWork.criticalPathMs,
    };
  };

  /**
   * The forecast input of a job that will be late: every later arrival that can still meet its objective overtakes it.
   */
  const lateForecastInputOf = (
    forecastInput: ForecastInput,
    pool: PoolName,
    { isWithinShare }: JobShare,
    nowMs: number,
  ): ForecastInput => {
    const { demand } = poolOf(state, pool);
    const { fastCores, slowCores } = isWithinShare
      ? demand.withinShareRates(nowMs)
      : demand.rates(nowMs);
    return { ...forecastInput, overtakingCores: Math.max(fastCores, slowCores) };
  };

  const mayRefuse = ({ job }: JobSubmission, nowMs: number): boolean =>
    nowMs - state.takenOverAtMs >= TAKEOVER_GRACE_MS &&
    hasLimits(state, job.owner?.account) &&
    job.repeats === 0 &&
    !job.steps.some(({ isLasting }) => isLasting) &&
    !state.jobs.has(job.jobId) &&
    !pending.has(job.jobId);

  const retryAfterMsOf = ({ backlogMs }: Forecast): number => {
    const jitter = 1 + RETRY_JITTER * (2 * random() - 1);
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, backlogMs * jitter));
  };

  const evaluate: AdmissionControl['evaluate'] = (submitted, nowMs) => {
    const { job, policy } = submitted;
    const account = job.owner?.account;
    if (account === undefined || !mayRefuse(submitted, nowMs)) return undefined;
    const jobWork = estimateJobWork(state, job);
    const objectiveMs = policy.stretch * jobWork.criticalWorkMs + policy.targetLatencyMs;
    const elapsedMs = Math.max(0, nowMs - (state.firstAttempts.get(job.jobId) ?? nowMs));
    const timeToObjectiveMs = objectiveMs - elapsedMs;
    const limitMs = LATE_SUCCESS_FACTOR * objectiveMs - elapsedMs;
    const share =
      timeToObjectiveMs < jobWork.criticalPathMs ? LAST_SHARE : previewShare(state, account, nowMs);
    const forecastInput = forecastInputOf(submitted, share, jobWork, nowMs);
    if (!forecastInput) return undefined;
    const onTimeForecast = forecastJob(forecastInput);
    if (onTimeForecast.backlogMs < MIN_BACKLOG_MS || onTimeForecast.doneMs <= timeToObjectiveMs)
      return undefined;
    const lateForecastInput = lateForecastInputOf(forecastInput, job.pool, share, nowMs);
    const forecast = forecastJob(lateForecastInput);
    if (forecast.doneMs <= limitMs) return undefined;
    return {
      jobId: job.jobId,
      queue: job.queue,
      account,
      isOwed: share.isWithinShare,
      atMs: nowMs,
      forecast,
      workAheadCoreMs: workBeforeOf(lateForecastInput, forecast),
      limitMs,
      retryAfterMs: retryAfterMsOf(onTimeForecast),
    };
  };

  return {
    evaluate,
    addPending: ({ job, policy }, nowMs) => {
      if (pending.has(job.jobId)) return;
      const { isWithinShare, virtualStart } = previewShare(state, job.owner?.account, nowMs);
      const { coreMs } = estimateJobWork(state, job);
      const work = {
        isWithinShare,
        isTooLate: false,
        priority: policy.priority,
        virtualStart,
        coreMs,
      };
      pending.set(job.jobId, { pool: job.pool, work });
      loads.get(job.pool)?.queuedWork.push(work);
    },
    removePending: (jobId) => {
      pending.delete(jobId);
    },
    ...tracker,
  };
};
