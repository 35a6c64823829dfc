/** Measures the queued work and the capacity of each pool, as input for the forecast of a new job. */
import type { PoolName } from '../../shared/ids.js';
import { isRankedWithinShare } from '../accounts/shares.js';
import { reservedCpu } from '../endpoints/runs.js';
import { isSchedulable } from '../endpoints/schedulable-endpoints.js';
import { isFinal, type BatchState, type EndpointState, type JobState } from '../model/state.js';
import { isTooLate } from '../placement/job-rank.js';
import { estimateStepWork } from './step-times.js';

/** The queued work of one job, with its rank. */
export type QueuedWork = {
  /** Whether it is ranked like work within its account's share. */
  readonly isWithinShare: boolean;
  /** Too late to be useful any more: all other work runs before it. */
  readonly isTooLate: boolean;
  readonly priority: number;
  /** Virtual start time by weighted fair queueing, see `JobShare`. */
  readonly virtualStart: number;
  /** Expected work of the queued tasks, in core-milliseconds. */
  readonly coreMs: number;
  /** Queued tasks, each of which the holder has to start. */
  readonly taskCount: number;
};

/** The queued work and the capacity of one pool. */
export type PoolLoad = {
  readonly queuedWork: QueuedWork[];
  /** The capacity of each schedulable endpoint less what long-running tasks reserve, in thousandths of a core. */
  readonly endpointsCpuMillis: readonly number[];
};

const queuedTasksOf = (
  state: BatchState,
  job: JobState,
): Pick<QueuedWork, 'coreMs' | 'taskCount'> => {
  let coreMs = 0;
  let taskCount = 0;
  job.occurrences.forEach(({ steps }) =>
    steps.forEach((step) => {
      coreMs += (estimateStepWork(state, step) * step.waiting.length) / step.spec.taskCount;
      if (!step.spec.isLasting) taskCount += step.waiting.length;
    }),
  );
  return { coreMs, taskCount };
};

const availableCpuOf = ({ capacity, runs }: EndpointState): number => {
  let { cpuMillis } = capacity;
  runs.forEach(({ step }) => {
    if (step.spec.isLasting) cpuMillis -= reservedCpu(step.spec);
  });
  return cpuMillis;
};

/**
 * Measures the load of all pools.
 *
 * @param state - The state.
 * @param nowMs - The current time by the monotonic clock.
 * @returns The loads of the pools that have queued work or healthy endpoints.
 */
export const measureLoads = (state: BatchState, nowMs: number): ReadonlyMap<PoolName, PoolLoad> => {
  const waiting = new Map<PoolName, QueuedWork[]>();
  const queuedWorkOf = (pool: PoolName): QueuedWork[] => {
    const list = waiting.get(pool) ?? [];
    waiting.set(pool, list);
    return list;
  };
  state.jobs.forEach((job) => {
    if (isFinal(job.phase)) return;
    const { coreMs, taskCount } = queuedTasksOf(state, job);
    if (coreMs === 0) return;
    queuedWorkOf(job.job.pool).push({
      isWithinShare: isRankedWithinShare(job, nowMs),
      isTooLate: isTooLate(state, job, nowMs),
      priority: job.policy.priority,
      virtualStart: job.share.virtualStart,
      coreMs,
      taskCount,
    });
  });
  const healthyEndpoints = new Map<PoolName, EndpointState[]>();
  state.endpoints.forEach((endpoint) => {
    if (!isSchedulable(state, endpoint, nowMs)) return;
    healthyEndpoints.set(endpoint.pool, [...(healthyEndpoints.get(endpoint.pool) ?? []), endpoint]);
    queuedWorkOf(endpoint.pool);
  });
  return new Map(
    Array.from(
      waiting,
      ([pool, list]) =>
        [
          pool,
          {
            queuedWork: list,
            endpointsCpuMillis: (healthyEndpoints.get(pool) ?? []).map(availableCpuOf),
          },
        ] as const,
    ),
  );
};
