/** Inherited tasks, which belong to jobs that an earlier holder accepted: which of them may start. */
import type { InstanceId } from '../../shared/ids.js';
import { waitingSuspects } from '../crashes/isolation.js';
import { mayRunInheritedTask } from '../endpoints/schedulable-endpoints.js';
import {
  isSoleHolder,
  type BatchState,
  type PoolState,
  type StepRun,
  type Task,
} from '../model/state.js';

/**
 * Tells whether tasks of a step may still be running on an endpoint that has not reported to this holder. Such a task,
 * started by an earlier holder, may be on an endpoint that has not reported yet or on one that is in no list: the
 * endpoint list loses some in an outage, and the host list may not have been read yet. Only endpoints that may run the
 * step are waited for. The wait ends when all leases granted by earlier holders have ended, if this holder is still the
 * only one.
 *
 * @param state - The batch state.
 * @param pool - The step's pool.
 * @param step - The step.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns True while tasks of the step must wait for reports of endpoints.
 */
export const awaitsReports = (
  state: BatchState,
  { unreportedInstances }: PoolState,
  { job, spec }: StepRun,
  nowMs: number,
): boolean => {
  if (!job.isInherited) return false;
  if (nowMs >= state.inheritedLeasesEndAtMs && isSoleHolder(state, nowMs)) return false;
  const mayRunOn = (instanceId: InstanceId): boolean =>
    mayRunInheritedTask(state, instanceId, spec);
  return state.isHostListAwaited || Array.from(unreportedInstances).some(mayRunOn);
};

/**
 * Lists the waiting tasks of a step that may start. In a blocked step, only tasks that an endpoint reported to this holder
 * after the last earlier holder could send orders may start. The tasks of a gang are placed together, and so are the tasks
 * of a step that are suspected of crashing endpoints: if any of these may not start yet, no task of the step may.
 *
 * @param state - The batch state.
 * @param pool - The step's pool.
 * @param step - The step.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns The tasks.
 */
export const startableTasks = (
  state: BatchState,
  pool: PoolState,
  step: StepRun,
  nowMs: number,
): readonly Task[] => {
  const waiting = step.waiting.flatMap((index) => step.tasks[index] ?? []);
  if (!awaitsReports(state, pool, step, nowMs)) return waiting;
  const startedTogether = step.spec.isGang ? waiting : waitingSuspects(state, step);
  if (!startedTogether.every(({ isLocated }) => isLocated)) return [];
  return waiting.filter(({ isLocated }) => isLocated);
};
