/**
 * Admission control: refuses jobs that are forecast to complete too late to be useful. Applies only to jobs of client
 * accounts that have a weight or a maximum, and only while the pool or the control holder has a backlog.
 *
 * Work that waits for hosts is started in the order of its rank, so a late job takes nothing from the others. Messages
 * that wait for the holder are handled in the order of their arrival: there a job that would be late makes others late,
 * and is refused.
 */
import type { AccountName, JobId, PoolName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { limitsOf } from '../accounts/quota.js';
import { previewShare } from '../accounts/shares.js';
import type { OrderWindow } from '../endpoints/order-window.js';
import { RESOURCES } from '../model/capacity.js';
import type { BatchJob, QueueName, QueuePolicy, StepSpec } from '../model/job.js';
import type { JobShare } from '../model/share.js';
import { poolOf, type BatchState } from '../model/state.js';
import { LATE_SUCCESS_FACTOR } from '../placement/job-rank.js';
import { forecastJob, type Forecast, type ForecastInput } from './forecast.js';
import { measureLoads, type PoolLoad, type QueuedWork } from './pool-load.js';
import { estimateRunTime, estimateWorkTime } from './run-times.js';
import { taskKindOf } from './step-times.js';

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
/** One in this many refusals is tracked afterwards, to check whether its forecast was right. */
const REFUSALS_PER_SAMPLE = 4;
const MAX_SAMPLES = 500;
const MAX_KEPT_REFUSALS = 4000;
/** A step waits for the holder when its tasks are started and when they have ended. */
const ANSWERS_PER_STEP = 2;
const MILLIS = 1000;

/** The rank of a job that is retried too late to meet its objective: it takes no capacity from jobs that still can. */
const LAST_SHARE: JobShare = { isWithinShare: false, virtualStart: Infinity };

/** A job that a client submits, with the policy of its queue. */
export type JobSubmission = { readonly job: BatchJob; readonly policy: QueuePolicy };

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
  /**
   * The latest completion with which the job would have been accepted, in milliseconds after `atMs`: the end of its
   * objective if the holder is the bottleneck, otherwise of its use as a late success.
   */
  readonly limitMs: number;
  readonly retryAfterMs: number;
  /** When the holder can start the job after those refused before it; only if control is the bottleneck. */
  readonly returnAtMs?: number;
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

export type AdmissionControl = {
  /** Decides on a submitted job; undefined if it is to be accepted. */
  readonly evaluate: (submitted: JobSubmission, nowMs: number) => ForecastRefusal | undefined;
  /** Counts an admitted job as queued work until `removePending` is called for it. */
  readonly addPending: (submitted: JobSubmission, nowMs: number) => void;
  /** Stops counting an admitted job: it was added to the state, or is known not to be. */
  readonly removePending: (jobId: JobId) => void;
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

/** The estimated work of a job: in total, the duration of its critical path, and that path's work time. */
type JobWork = {
  readonly coreMs: number;
  readonly taskCount: number;
  readonly criticalPathMs: number;
  readonly criticalWorkMs: number;
  /** The number of steps of the longest chain of dependent steps. */
  readonly criticalSteps: number;
};

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

/** The longest chain of dependent steps if each step takes the given time. */
const longestChainMs = (steps: readonly StepSpec[], timeOf: (spec: StepSpec) => number): number => {
  const ends: number[] = [];
  steps.forEach((spec) => {
    const startMs = Math.max(0, ...spec.after.map((number) => ends[number] ?? 0));
    ends.push(startMs + timeOf(spec));
  });
  return Math.max(0, ...ends);
};

const jobWorkOf = (state: BatchState, { steps, queue }: BatchJob): JobWork => {
  const timeOf = (spec: StepSpec): number =>
    estimateRunTime(state.runTimes, taskKindOf(queue, spec), spec.estimateMs);
  const workTimeOf = (spec: StepSpec): number =>
    estimateWorkTime(state.runTimes, taskKindOf(queue, spec), spec.estimateMs);
  const stepWorks = steps.map((spec) => (spec.taskCount * spec.cpuMillis * timeOf(spec)) / MILLIS);
  return {
    coreMs: sum(stepWorks),
    taskCount: sum(steps.map(({ taskCount }) => taskCount)),
    criticalPathMs: longestChainMs(steps, timeOf),
    criticalWorkMs: longestChainMs(steps, workTimeOf),
    criticalSteps: longestChainMs(steps, () => 1),
  };
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

const tasksOf = ({ taskCount }: QueuedWork): number => taskCount;

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

/** Refused jobs of a pool return in two orders: those within the share of their account, and those beyond it. */
const returnOrderOf = (pool: PoolName, isWithinShare: boolean): string =>
  `${pool} ${isWithinShare ? 'within' : 'beyond'}`;

const createCounts = (): AdmissionCounts => ({
  refused: 0,
  late: 0,
  followedUp: 0,
  wronglyRefused: 0,
});

/** The load of the control holder itself, see `OrderWindow`. */
export type ControlLoad = Pick<OrderWindow, 'delayMs' | 'inFlight' | 'startsPerS'>;

const NO_CONTROL_LOAD: ControlLoad = {
  delayMs: () => 0,
  inFlight: () => 0,
  startsPerS: () => Infinity,
};

export type AdmissionControlOptions = {
  readonly state: BatchState;
  readonly random?: () => number;
  /** What the holder can carry at present, whatever the hosts could run; unlimited by default. */
  readonly control?: ControlLoad;
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
  control = NO_CONTROL_LOAD,
}: AdmissionControlOptions): AdmissionControl => {
  const pending = new Map<JobId, { readonly pool: PoolName; readonly work: QueuedWork }>();
  const refusals = new Map<JobId, ForecastRefusal>();
  const countsByQueue = new Map<QueueName, AdmissionCounts>();
  const countsByAccount = new Map<AccountName, AdmissionCounts>();
  let trackedRefusals: readonly TrackedRefusal[] = [];
  let refused = 0;
  let loads: ReadonlyMap<PoolName, PoolLoad> = new Map();
  let measuredAtMs = -Infinity;
  const lastReturnsAtMs = new Map<string, number>();

  const loadOf = (pool: PoolName, nowMs: number): PoolLoad | undefined => {
    const intervalMs = Math.max(MEASURE_INTERVAL_MS, MEASURE_INTERVAL_MS_PER_JOB * state.jobs.size);
    if (nowMs - measuredAtMs >= intervalMs) {
      loads = measureLoads(state, nowMs);
      measuredAtMs = nowMs;
      pending.forEach(({ pool: name, work }) => loads.get(name)?.queuedWork.push(work));
    }
    return loads.get(pool);
  };

  /** The holder starts tasks of the pools by turns: of each other pool at most as many as of the job's own. */
  const tasksAheadInAllPools = (pool: PoolName, tasksAhead: number): number =>
    sum(
      Array.from(loads, ([name, { queuedWork }]) =>
        name === pool ? tasksAhead : Math.min(tasksAhead, sum(queuedWork.map(tasksOf))),
      ),
    );

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
    const workAhead = load.queuedWork.filter((work) => runsBefore(work, share, policy));
    return {
      queuedAheadCoreMs: sum(workAhead.map(({ coreMs }) => coreMs)),
      queuedAheadTasks:
        tasksAheadInAllPools(job.pool, sum(workAhead.map(tasksOf))) + control.inFlight(),
      startsPerS: control.startsPerS(nowMs),
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
      jobTasks: jobWork.taskCount,
      criticalPathMs: Math.max(
        jobWork.criticalPathMs,
        jobWork.criticalWorkMs + ANSWERS_PER_STEP * jobWork.criticalSteps * control.delayMs(nowMs),
      ),
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

  /**
   * When a refused job is to come back: the holder can start only so many, so refused jobs of a pool return one after
   * the other as soon as the backlog is gone. Jobs within the share of their account do not wait for others.
   */
  const returnAtMsOf = (
    { job }: JobSubmission,
    { isWithinShare }: JobShare,
    { jobTasks, startsPerS }: ForecastInput,
    earliestAtMs: number,
  ): number => {
    const lastReturnAtMs = lastReturnsAtMs.get(returnOrderOf(job.pool, isWithinShare)) ?? -Infinity;
    return Math.max(lastReturnAtMs, earliestAtMs) + (jobTasks * MILLIS) / startsPerS;
  };

  /** The time until a refused job returns, but each returns while it can still be of use. */
  const returnAfterMs = (
    waitMs: number,
    { criticalPathMs }: ForecastInput,
    { backlogMs }: Forecast,
    limitMs: number,
  ): number => {
    const latestUsefulMs = (limitMs - criticalPathMs) / (1 + RETRY_JITTER);
    return Math.max(backlogMs, Math.min(waitMs, latestUsefulMs));
  };

  const withJitter = (delayMs: number): number => {
    const jitter = 1 + RETRY_JITTER * (2 * random() - 1);
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, delayMs * jitter));
  };

  const evaluate: AdmissionControl['evaluate'] = (submitted, nowMs) => {
    const { job, policy } = submitted;
    const account = job.owner?.account;
    if (account === undefined || !mayRefuse(submitted, nowMs)) return undefined;
    const jobWork = jobWorkOf(state, job);
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
    const isControlLimited = onTimeForecast.bottleneck === 'control';
    const decisiveInput = isControlLimited ? forecastInput : lateForecastInput;
    const forecast = forecastJob(decisiveInput);
    const usefulMs = isControlLimited ? timeToObjectiveMs : limitMs;
    if (forecast.doneMs <= usefulMs) return undefined;
    const { backlogMs } = onTimeForecast;
    const returnAtMs = returnAtMsOf(submitted, share, forecastInput, nowMs + backlogMs);
    return {
      jobId: job.jobId,
      queue: job.queue,
      account,
      isOwed: share.isWithinShare,
      atMs: nowMs,
      forecast,
      workAheadCoreMs: workBeforeOf(decisiveInput, forecast),
      limitMs: usefulMs,
      retryAfterMs: withJitter(
        isControlLimited
          ? returnAfterMs(returnAtMs - nowMs, forecastInput, onTimeForecast, limitMs)
          : backlogMs,
      ),
      ...(isControlLimited ? { returnAtMs } : {}),
    };
  };

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

  /** Completed work shows whether hosts could have run a job, and nothing about what the holder could handle. */
  const trackRefusal = (refusal: ForecastRefusal, pool: PoolName): void => {
    if (refusal.forecast.bottleneck === 'control') return;
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
    evaluate,
    addPending: ({ job, policy }, nowMs) => {
      if (pending.has(job.jobId)) return;
      const { isWithinShare, virtualStart } = previewShare(state, job.owner?.account, nowMs);
      const { coreMs, taskCount } = jobWorkOf(state, job);
      const work = {
        isWithinShare,
        isTooLate: false,
        priority: policy.priority,
        virtualStart,
        coreMs,
        taskCount,
      };
      pending.set(job.jobId, { pool: job.pool, work });
      loads.get(job.pool)?.queuedWork.push(work);
    },
    removePending: (jobId) => {
      pending.delete(jobId);
    },
    recordRefusal: (refusal, pool) => {
      refusals.delete(refusal.jobId);
      refusals.set(refusal.jobId, refusal);
      const [oldest] = refusals.keys();
      if (refusals.size > MAX_KEPT_REFUSALS && oldest !== undefined) refusals.delete(oldest);
      count(refusal, 'refused');
      const { returnAtMs, isOwed } = refusal;
      if (returnAtMs !== undefined) lastReturnsAtMs.set(returnOrderOf(pool, isOwed), returnAtMs);
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
