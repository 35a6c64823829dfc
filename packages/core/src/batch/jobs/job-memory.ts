/**
 * The memory that jobs take at the control holder, and its bound. A scope, which is a client account or the queue of jobs
 * without one, may hold as much as is left free (a dynamic threshold): one scope alone gets half of the bound, two get a
 * third each, and a small job of another scope always finds space.
 */
import type { AccountName, Branded, JobId, PoolName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { BatchJob, QueueName } from '../model/job.js';
import type { BatchState, DeferredJob } from '../model/state.js';
import { estimateJobBytes, heldBytesOf } from './job-bytes.js';
import { measureLoads, type PoolLoad } from './pool-load.js';

/** Who the memory of a job is counted for. */
export type MemoryScope = Branded<'MemoryScope'>;

/** The share of the free memory that further occurrences of recurring jobs may take; the rest is left to new jobs. */
const OCCURRENCES_SHARE = 0.5;
/** What is kept of a job that stays in its row. */
const DEFERRED_JOB_BYTES = 250;

/** A measurement is used for this long, and for longer with many jobs, since each of them is looked at. */
const MEASURE_INTERVAL_MS = 200;
const MEASURE_INTERVAL_MS_PER_JOB = 0.04;
const MIN_RETRY_MS = 1000;
const MAX_RETRY_MS = 30_000;
/** Relative jitter of Retry-After in both directions, so that clients refused together do not retry together. */
const RETRY_JITTER = 0.25;
const MAX_KEPT_SHORTAGES = 4000;
const MAX_LISTED = 3;
const MILLIS_PER_CORE = 1000;

/** A job for which there is not enough memory. */
export type MemoryShortage = {
  readonly jobId: JobId;
  readonly queue: QueueName;
  readonly scope: MemoryScope;
  readonly neededBytes: number;
  /** What the jobs of the scope take. */
  readonly scopeBytes: number;
  /** What all jobs take. */
  readonly heldBytes: number;
  readonly boundBytes: number;
  /** How many accepted jobs of the scope wait for memory themselves. */
  readonly deferredJobs: number;
  readonly retryAfterMs: number;
};

/** What the jobs of a holder take, the largest scopes and jobs first. */
export type MemoryUsage = {
  readonly heldBytes: number;
  readonly boundBytes: number;
  readonly deferredJobs: number;
  readonly largestScopes: readonly (readonly [MemoryScope, number])[];
  readonly largestJobs: readonly (readonly [JobId, number])[];
};

/** The account of the memory that jobs take. */
export type JobMemory = {
  /** Finds out that there is not enough memory for a job; undefined if it may be accepted. */
  readonly findShortage: (job: BatchJob, nowMs: number) => MemoryShortage | undefined;
  /** Tells whether a job that waits for memory may be added to the state now. */
  readonly hasSpaceFor: (deferred: DeferredJob, nowMs: number) => boolean;
  /** Counts a job that was left in its row. */
  readonly addDeferred: (deferred: DeferredJob) => void;
  /** Counts a job that is being written, until `removePending` is called for it. */
  readonly addPending: (job: BatchJob) => void;
  readonly removePending: (jobId: JobId) => void;
  /** Keeps a shortage for which a job was refused, so that operators find it. */
  readonly recordRefusal: (shortage: MemoryShortage) => void;
  /** The latest recorded shortage of a job; undefined if there is none or it was evicted. */
  readonly findRefusal: (jobId: JobId) => MemoryShortage | undefined;
  readonly measure: (nowMs: number) => MemoryUsage;
  /** What recurring jobs may take for further occurrences, in bytes. */
  readonly bytesForOccurrences: (nowMs: number) => number;
};

/**
 * Returns the scope that the memory of a job is counted for.
 *
 * @param job - The account that owns the job, if any, and its queue.
 * @returns The scope.
 */
export const memoryScopeOf = ({
  account,
  queue,
}: {
  readonly account?: AccountName | undefined;
  readonly queue: QueueName;
}): MemoryScope => (account === undefined ? `queue=${queue}` : `account=${account}`) as MemoryScope;

const scopeOfJob = ({ owner, queue }: BatchJob): MemoryScope =>
  memoryScopeOf({ account: owner?.account, queue });

const listLargest = <Key>(sizes: Iterable<readonly [Key, number]>) =>
  Array.from(sizes)
    .sort(([, left], [, right]) => right - left)
    .slice(0, MAX_LISTED);

export type JobMemoryOptions = {
  readonly state: BatchState;
  /** The most that the jobs may take, in bytes. */
  readonly boundBytes: number;
  readonly random?: () => number;
};

/**
 * Creates the account of the memory that jobs take at a control holder.
 *
 * @param options - The state of the control holder, and the bound.
 * @returns The account.
 */
export const createJobMemory = ({
  state,
  boundBytes,
  random = Math.random,
}: JobMemoryOptions): JobMemory => {
  const pending = new Map<JobId, { readonly job: BatchJob; isSettled: boolean }>();
  const refusals = new Map<JobId, MemoryShortage>();
  let bytesByScope = new Map<MemoryScope, number>();
  let deferredByScope = new Map<MemoryScope, number>();
  let heldBytes = 0;
  let measuredAtMs = -Infinity;
  let loads: ReadonlyMap<PoolName, PoolLoad> = new Map();
  let loadsMeasuredAtMs = -Infinity;

  const add = (scope: MemoryScope, bytes: number): void => {
    bytesByScope.set(scope, (bytesByScope.get(scope) ?? 0) + bytes);
    heldBytes += bytes;
  };

  const addDeferred = (deferred: DeferredJob): void => {
    const scope = memoryScopeOf(deferred);
    deferredByScope.set(scope, (deferredByScope.get(scope) ?? 0) + 1);
    add(scope, DEFERRED_JOB_BYTES);
  };

  const measureAll = (): void => {
    bytesByScope = new Map();
    deferredByScope = new Map();
    heldBytes = 0;
    state.jobs.forEach((job) => add(scopeOfJob(job.job), heldBytesOf(job)));
    state.deferredJobs.forEach(addDeferred);
    pending.forEach(({ job, isSettled }, jobId) => {
      if (isSettled) pending.delete(jobId);
      else if (!state.jobs.has(jobId)) add(scopeOfJob(job), estimateJobBytes(job));
    });
  };

  const isOld = (atMs: number, nowMs: number): boolean =>
    nowMs - atMs >= Math.max(MEASURE_INTERVAL_MS, MEASURE_INTERVAL_MS_PER_JOB * state.jobs.size);

  const update = (nowMs: number): void => {
    if (!isOld(measuredAtMs, nowMs)) return;
    measureAll();
    measuredAtMs = nowMs;
  };

  const loadOf = (pool: PoolName, nowMs: number): PoolLoad | undefined => {
    if (isOld(loadsMeasuredAtMs, nowMs)) {
      loads = measureLoads(state, nowMs);
      loadsMeasuredAtMs = nowMs;
    }
    return loads.get(pool);
  };

  const missingBytes = (scope: MemoryScope, neededBytes: number): number =>
    (bytesByScope.get(scope) ?? 0) + neededBytes - (boundBytes - heldBytes);

  /** The time in which the pool does as much of its queued work as the scope has to give up of its memory. */
  const retryAfterMsOf = (
    { pool }: BatchJob,
    scope: MemoryScope,
    neededBytes: number,
    nowMs: number,
  ): number => {
    const load = loadOf(pool, nowMs);
    const coreMs = load?.queuedWork.reduce((sum, work) => sum + work.coreMs, 0) ?? 0;
    const cpuMillis = load?.endpointsCpuMillis.reduce((sum, one) => sum + one, 0) ?? 0;
    const backlogMs = cpuMillis > 0 ? coreMs / (cpuMillis / MILLIS_PER_CORE) : Infinity;
    // What the scope gives up lowers its own use and raises what is free.
    const share = missingBytes(scope, neededBytes) / 2 / (bytesByScope.get(scope) || Infinity);
    const jitter = 1 + RETRY_JITTER * (2 * random() - 1);
    const waitMs = backlogMs * Math.min(1, Math.max(0, share)) * jitter;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, Number.isNaN(waitMs) ? 0 : waitMs));
  };

  return {
    findShortage: (job, nowMs) => {
      if (pending.has(job.jobId) || state.jobs.has(job.jobId)) return undefined;
      update(nowMs);
      const scope = scopeOfJob(job);
      const neededBytes = estimateJobBytes(job);
      const deferredJobs = deferredByScope.get(scope) ?? 0;
      if (deferredJobs === 0 && missingBytes(scope, neededBytes) <= 0) return undefined;
      return {
        jobId: job.jobId,
        queue: job.queue,
        scope,
        neededBytes,
        scopeBytes: bytesByScope.get(scope) ?? 0,
        heldBytes,
        boundBytes,
        deferredJobs,
        retryAfterMs: retryAfterMsOf(job, scope, neededBytes, nowMs),
      };
    },
    hasSpaceFor: (deferred, nowMs) => {
      update(nowMs);
      return missingBytes(memoryScopeOf(deferred), deferred.neededBytes) <= 0;
    },
    addDeferred,
    addPending: (job) => {
      if (pending.has(job.jobId)) return;
      pending.set(job.jobId, { job, isSettled: false });
      add(scopeOfJob(job), estimateJobBytes(job));
    },
    removePending: (jobId) => {
      const known = pending.get(jobId);
      // Its bytes stay counted until the next measurement finds the job in the state or does not.
      if (known) change(known, { isSettled: true });
    },
    recordRefusal: (shortage) => {
      refusals.delete(shortage.jobId);
      refusals.set(shortage.jobId, shortage);
      const [oldest] = refusals.keys();
      if (refusals.size > MAX_KEPT_SHORTAGES && oldest !== undefined) refusals.delete(oldest);
    },
    findRefusal: (jobId) => refusals.get(jobId),
    bytesForOccurrences: (nowMs) => {
      update(nowMs);
      return Math.max(0, (boundBytes - heldBytes) * OCCURRENCES_SHARE);
    },
    measure: (nowMs) => {
      update(nowMs);
      return {
        heldBytes,
        boundBytes,
        deferredJobs: state.deferredJobs.size,
        largestScopes: listLargest(bytesByScope),
        largestJobs: listLargest(
          Array.from(state.jobs.values(), (job) => [job.job.jobId, heldBytesOf(job)] as const),
        ),
      };
    },
  };
};
