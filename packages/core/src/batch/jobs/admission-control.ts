/**
 * Refuses jobs that could not be served: those that a forecast has done too late. Only where client accounts have
 * weights or maxima, and only above a backlog.
 */
import type { AccountName, JobId, PoolName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { limitsOf } from '../accounts/quota.js';
import { peekShare } from '../accounts/shares.js';
import { RESOURCES } from '../model/capacity.js';
import type { BatchJob, QueueName, QueuePolicy, StepSpec } from '../model/job.js';
import type { JobShare } from '../model/share.js';
import { poolOf, type BatchState } from '../model/state.js';
import { LATE_FACTOR } from '../placement/order.js';
import { forecastJob, type Forecast, type JobOutlook } from './forecast.js';
import { measureLoads, type PoolLoad, type WaitingWork } from './pool-load.js';
import { expectRunTime } from './run-times.js';
import { kindOf } from './step-times.js';

/** Work that waits for less than this is no backlog. */
const LEAST_BACKLOG_MS = 500;
/** A new holder does not know yet what runs. */
const SETTLES_MS = 2000;
/** A host that is on its way, a free one that has to be moved, and one that has to be emptied before. */
const COMING_MS = 1000;
const FREE_MS = 2000;
const RECLAIMED_MS = 3500;
const LEAST_RETRY_MS = 1000;
const MOST_RETRY_MS = 30_000;
/** Clients that are refused together come back apart by up to this share of the time on either side. */
const RETRY_JITTER = 0.25;
/** Loads are measured so often; of more than 600 jobs, less often at the same share of a processor. */
const MEASURE_EVERY_MS = 25;
const MEASURE_EVERY_MS_PER_JOB = 0.04;
/** One in so many refusals is followed up, to see whether its forecast was right. */
const SAMPLE_EVERY = 4;
const MOST_SAMPLES = 500;
const MOST_REFUSALS_KEPT = 4000;
const MILLIS = 1000;

/** A job that comes back too late to be in time takes no room from those that can be. */
const BEHIND_ALL: JobShare = { isOwed: false, virtualStart: Infinity };

/** A job that is handed in. */
export type SubmittedJob = { readonly job: BatchJob; readonly policy: QueuePolicy };

/** A job that was refused, and by which forecast. */
export type ForecastRefusal = {
  readonly jobId: JobId;
  readonly queue: QueueName;
  readonly account: AccountName;
  readonly isOwed: boolean;
  readonly atMs: number;
  readonly forecast: Forecast;
  /** What its pool would have done before it. */
  readonly beforeCoreMs: number;
  /** From now: when the job would have had to be done. */
  readonly limitMs: number;
  readonly retryAfterMs: number;
};

/** What became of the jobs of a queue or of an account. */
export type AdmissionCounts = {
  refused: number;
  /** Accepted, and not done within the objective. */
  late: number;
  /** Refusals that were followed up, and those whose job would have been in time. */
  followedUp: number;
  wronglyRefused: number;
};

/** A refusal whose forecast is compared with what its pool does. */
type Sample = {
  readonly refusal: ForecastRefusal;
  readonly pool: PoolName;
  /** The job would have begun once its pool had done so much. */
  readonly beginsAtCoreMs: number;
  /** Until when it would have had to begin. */
  readonly untilMs: number;
};

export type AdmissionControl = {
  /** Judges a job that is handed in; undefined where it is to be accepted. */
  readonly judge: (submitted: SubmittedJob, nowMs: number) => ForecastRefusal | undefined;
  /** Counts a job among those that wait until it is taken in, or is known not to be. */
  readonly admit: (submitted: SubmittedJob, nowMs: number) => void;
  readonly settle: (jobId: JobId) => void;
  /** Records a refusal that was told to the client. */
  readonly noteRefused: (refusal: ForecastRefusal, pool: PoolName) => void;
  /** Records an accepted job that was done, and whether within its objective. */
  readonly noteDone: (job: BatchJob, isInTime: boolean) => void;
  /** Compares earlier refusals with what was done since; to be called several times a second. */
  readonly followUp: (nowMs: number) => void;
  readonly refusalOf: (jobId: JobId) => ForecastRefusal | undefined;
  readonly ofQueues: ReadonlyMap<QueueName, AdmissionCounts>;
  readonly ofAccounts: ReadonlyMap<AccountName, AdmissionCounts>;
};

/** What is reckoned of the steps of a job before it is taken in. */
type OwnWork = { readonly coreMs: number; readonly chainMs: number };

const ownWorkOf = (state: BatchState, { steps, queue }: BatchJob): OwnWork => {
  const timeOf = (spec: StepSpec): number =>
    expectRunTime(state.runTimes, kindOf(queue, spec), spec.estimateMs);
  const ends: number[] = [];
  steps.forEach((spec) => {
    const beginsMs = Math.max(0, ...spec.after.map((number) => ends[number] ?? 0));
    ends.push(beginsMs + timeOf(spec));
  });
  const works = steps.map((spec) => (spec.taskCount * spec.cpuMillis * timeOf(spec)) / MILLIS);
  return { coreMs: works.reduce((sum, one) => sum + one, 0), chainMs: Math.max(0, ...ends) };
};

/** Whether work goes before a job. */
const goesBefore = (
  { isOwed, isPastUse, priority, virtualStart }: WaitingWork,
  share: JobShare,
  policy: QueuePolicy,
): boolean => {
  if (isPastUse) return share === BEHIND_ALL;
  if (isOwed !== share.isOwed) return isOwed;
  return isOwed ? priority <= policy.priority : virtualStart <= share.virtualStart;
};

/** The cores of a room that tasks of a size can use. */
const usableCores = (roomCpu: number, taskCpu: number): number =>
  (taskCpu > 0 ? Math.floor(roomCpu / taskCpu) * taskCpu : roomCpu) / MILLIS;

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

const hasLimits = (state: BatchState, account: AccountName | undefined): boolean => {
  const limits = account === undefined ? undefined : limitsOf(state, account);
  if (!limits) return false;
  return limits.weight > 0 || RESOURCES.some((resource) => limits.maximum[resource] > 0);
};

/** What a pool does before a job begins, with what overtakes the job until then. */
const beforeCoreMsOf = (
  { waitingCoreMs, overtakenByCores }: JobOutlook,
  { backlogMs }: Forecast,
): number => waitingCoreMs + overtakenByCores * backlogMs;

const newCounts = (): AdmissionCounts => ({
  refused: 0,
  late: 0,
  followedUp: 0,
  wronglyRefused: 0,
});

export type AdmissionControlOptions = {
  readonly state: BatchState;
  readonly random?: () => number;
};

/**
 * Builds the admission control of a holder.
 *
 * @param options - What the holder knows, and a source of chance for Retry-After.
 * @returns The admission control.
 */
export const createAdmissionControl = ({
  state,
  random = Math.random,
}: AdmissionControlOptions): AdmissionControl => {
  const pending = new Map<JobId, { readonly pool: PoolName; readonly work: WaitingWork }>();
  const refusals = new Map<JobId, ForecastRefusal>();
  const ofQueues = new Map<QueueName, AdmissionCounts>();
  const ofAccounts = new Map<AccountName, AdmissionCounts>();
  let samples: readonly Sample[] = [];
  let refused = 0;
  let loads: ReadonlyMap<PoolName, PoolLoad> = new Map();
  let measuredAtMs = -Infinity;

  const loadOf = (pool: PoolName, nowMs: number): PoolLoad | undefined => {
    const everyMs = Math.max(MEASURE_EVERY_MS, MEASURE_EVERY_MS_PER_JOB * state.jobs.size);
    if (nowMs - measuredAtMs >= everyMs) {
      loads = measureLoads(state, nowMs);
      measuredAtMs = nowMs;
      pending.forEach(({ pool: name, work }) => loads.get(name)?.waiting.push(work));
    }
    return loads.get(pool);
  };

  const outlookOf = (
    { job, policy }: SubmittedJob,
    share: JobShare,
    own: OwnWork,
    nowMs: number,
  ): JobOutlook | undefined => {
    const load = loadOf(job.pool, nowMs);
    if (!load) return undefined;
    const { outlook, demand } = poolOf(state, job.pool);
    const taskCpu = Math.max(0, ...job.steps.map(({ cpuMillis }) => cpuMillis));
    const hostCpu = Math.max(0, ...load.roomsCpu);
    // On hosts of the pool's kind; a pool without any is taken to use all of what it gets.
    const usable = hostCpu > 0 ? usableCores(hostCpu, taskCpu) / (hostCpu / MILLIS) : 1;
    const coresOf = (cpuMillis: number): number => (cpuMillis * usable) / MILLIS;
    return {
      waitingCoreMs: sum(
        load.waiting.filter((work) => goesBefore(work, share, policy)).map(({ coreMs }) => coreMs),
      ),
      roomCores: sum(load.roomsCpu.map((roomCpu) => usableCores(roomCpu, taskCpu))),
      coming: [
        { cores: coresOf(outlook.comingCpu), inMs: COMING_MS },
        { cores: coresOf(outlook.freeCpu), inMs: FREE_MS },
        { cores: share.isOwed ? coresOf(outlook.reclaimedCpu) : 0, inMs: RECLAIMED_MS },
      ],
      overtakenByCores: share.isOwed ? 0 : demand.owedRates(nowMs).slowCores,
      ownCoreMs: own.coreMs,
      chainMs: own.chainMs,
    };
  };

  /** A job that will be late is overtaken by all that arrives and can be in time. */
  const overtakenOnceLate = (
    outlook: JobOutlook,
    pool: PoolName,
    { isOwed }: JobShare,
    nowMs: number,
  ): JobOutlook => {
    const { demand } = poolOf(state, pool);
    const { fastCores, slowCores } = isOwed ? demand.owedRates(nowMs) : demand.rates(nowMs);
    return { ...outlook, overtakenByCores: Math.max(fastCores, slowCores) };
  };

  const mayRefuse = ({ job }: SubmittedJob, nowMs: number): boolean =>
    nowMs - state.takenOverAtMs >= SETTLES_MS &&
    hasLimits(state, job.owner?.account) &&
    job.repeats === 0 &&
    !job.steps.some(({ isLasting }) => isLasting) &&
    !state.jobs.has(job.jobId) &&
    !pending.has(job.jobId);

  const retryAfterMsOf = ({ backlogMs }: Forecast): number => {
    const jitter = 1 + RETRY_JITTER * (2 * random() - 1);
    return Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, backlogMs * jitter));
  };

  const judge: AdmissionControl['judge'] = (submitted, nowMs) => {
    const { job, policy } = submitted;
    const account = job.owner?.account;
    if (account === undefined || !mayRefuse(submitted, nowMs)) return undefined;
    const own = ownWorkOf(state, job);
    const objectiveMs = policy.stretch * own.chainMs + policy.targetLatencyMs;
    const agoMs = Math.max(0, nowMs - (state.firstAttempts.get(job.jobId) ?? nowMs));
    const inTimeMs = objectiveMs - agoMs;
    const limitMs = LATE_FACTOR * objectiveMs - agoMs;
    const share = inTimeMs < own.chainMs ? BEHIND_ALL : peekShare(state, account, nowMs);
    const outlook = outlookOf(submitted, share, own, nowMs);
    if (!outlook) return undefined;
    const inTime = forecastJob(outlook);
    if (inTime.backlogMs < LEAST_BACKLOG_MS || inTime.doneMs <= inTimeMs) return undefined;
    const overtaken = overtakenOnceLate(outlook, job.pool, share, nowMs);
    const forecast = forecastJob(overtaken);
    if (forecast.doneMs <= limitMs) return undefined;
    return {
      jobId: job.jobId,
      queue: job.queue,
      account,
      isOwed: share.isOwed,
      atMs: nowMs,
      forecast,
      beforeCoreMs: beforeCoreMsOf(overtaken, forecast),
      limitMs,
      retryAfterMs: retryAfterMsOf(inTime),
    };
  };

  const count = (
    { queue, account }: Pick<ForecastRefusal, 'queue' | 'account'>,
    field: keyof AdmissionCounts,
  ): void => {
    const ofQueue = ofQueues.get(queue) ?? newCounts();
    const ofAccount = ofAccounts.get(account) ?? newCounts();
    ofQueues.set(queue, ofQueue);
    ofAccounts.set(account, ofAccount);
    [ofQueue, ofAccount].forEach((counts) => change(counts, { [field]: counts[field] + 1 }));
  };

  const sample = (refusal: ForecastRefusal, pool: PoolName): void => {
    refused += 1;
    if (refused % SAMPLE_EVERY !== 0 || samples.length >= MOST_SAMPLES) return;
    const { forecast, beforeCoreMs, limitMs, atMs } = refusal;
    if (!Number.isFinite(forecast.backlogMs)) return;
    const chainMs = Math.max(0, forecast.doneMs - forecast.backlogMs);
    const beginsAtCoreMs = poolOf(state, pool).doneCoreMs + beforeCoreMs;
    samples = [...samples, { refusal, pool, beginsAtCoreMs, untilMs: atMs + limitMs - chainMs }];
  };

  return {
    judge,
    admit: ({ job, policy }, nowMs) => {
      if (pending.has(job.jobId)) return;
      const { isOwed, virtualStart } = peekShare(state, job.owner?.account, nowMs);
      const { coreMs } = ownWorkOf(state, job);
      const work = { isOwed, isPastUse: false, priority: policy.priority, virtualStart, coreMs };
      pending.set(job.jobId, { pool: job.pool, work });
      loads.get(job.pool)?.waiting.push(work);
    },
    settle: (jobId) => {
      pending.delete(jobId);
    },
    noteRefused: (refusal, pool) => {
      refusals.delete(refusal.jobId);
      refusals.set(refusal.jobId, refusal);
      const [oldest] = refusals.keys();
      if (refusals.size > MOST_REFUSALS_KEPT && oldest !== undefined) refusals.delete(oldest);
      count(refusal, 'refused');
      sample(refusal, pool);
    },
    noteDone: ({ queue, owner }, isInTime) => {
      if (!isInTime && owner) count({ queue, account: owner.account }, 'late');
    },
    followUp: (nowMs) => {
      samples = samples.filter(({ refusal, pool, beginsAtCoreMs, untilMs }) => {
        const hasBegun = poolOf(state, pool).doneCoreMs >= beginsAtCoreMs;
        if (!hasBegun && nowMs <= untilMs) return true;
        count(refusal, 'followedUp');
        if (hasBegun && nowMs <= untilMs) count(refusal, 'wronglyRefused');
        return false;
      });
    },
    refusalOf: (jobId) => refusals.get(jobId),
    ofQueues,
    ofAccounts,
  };
};
