/** What waits and runs in each pool, as the forecast of a further job needs it. */
import type { PoolName } from '../../shared/ids.js';
import { goesWithOwed } from '../accounts/shares.js';
import { reservedCpu } from '../endpoints/runs.js';
import { isSound } from '../endpoints/sound-endpoints.js';
import { isFinal, type BatchState, type EndpointState, type JobState } from '../model/state.js';
import { isPastUse } from '../placement/order.js';
import { expectStepWork } from './step-times.js';

/** Work of one job that waits. */
export type WaitingWork = {
  readonly isOwed: boolean;
  /** It can be of no use any more: all other work goes before it. */
  readonly isPastUse: boolean;
  readonly priority: number;
  readonly virtualStart: number;
  readonly coreMs: number;
};

/** The load of one pool. */
export type PoolLoad = {
  readonly waiting: WaitingWork[];
  /** The room of each endpoint, without that of long-running tasks. */
  readonly roomsCpu: readonly number[];
};

const waitingCoreMs = (state: BatchState, job: JobState): number => {
  let coreMs = 0;
  job.occurrences.forEach(({ steps }) =>
    steps.forEach((step) => {
      coreMs += (expectStepWork(state, step) * step.waiting.length) / step.spec.taskCount;
    }),
  );
  return coreMs;
};

const roomOf = ({ capacity, runs }: EndpointState): number => {
  let { cpuMillis } = capacity;
  runs.forEach(({ step }) => {
    if (step.spec.isLasting) cpuMillis -= reservedCpu(step.spec);
  });
  return cpuMillis;
};

/**
 * Measures the load of all pools.
 *
 * @param state - All that is known.
 * @param nowMs - The time.
 * @returns The loads of the pools in which anything waits, or that have endpoints.
 */
export const measureLoads = (state: BatchState, nowMs: number): ReadonlyMap<PoolName, PoolLoad> => {
  const waiting = new Map<PoolName, WaitingWork[]>();
  const listOf = (pool: PoolName): WaitingWork[] => {
    const list = waiting.get(pool) ?? [];
    waiting.set(pool, list);
    return list;
  };
  state.jobs.forEach((job) => {
    if (isFinal(job.phase)) return;
    const coreMs = waitingCoreMs(state, job);
    if (coreMs === 0) return;
    listOf(job.job.pool).push({
      isOwed: goesWithOwed(job, nowMs),
      isPastUse: isPastUse(state, job, nowMs),
      priority: job.policy.priority,
      virtualStart: job.share.virtualStart,
      coreMs,
    });
  });
  const sound = new Map<PoolName, EndpointState[]>();
  state.endpoints.forEach((endpoint) => {
    if (!isSound(state, endpoint, nowMs)) return;
    sound.set(endpoint.pool, [...(sound.get(endpoint.pool) ?? []), endpoint]);
    listOf(endpoint.pool);
  });
  return new Map(
    Array.from(
      waiting,
      ([pool, list]) =>
        [pool, { waiting: list, roomsCpu: (sound.get(pool) ?? []).map(roomOf) }] as const,
    ),
  );
};
