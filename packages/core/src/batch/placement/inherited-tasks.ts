/** Inherited tasks, which belong to jobs that an earlier holder accepted: which of them may start. */
import type { InstanceId } from '../../shared/ids.js';
import { waitingSuspects } from '../crashes/isolation.js';
import { hasUnlistedEnds } from '../endpoints/listing-status.js';
import { mayRunInheritedTask } from '../endpoints/schedulable-endpoints.js';
import {
  isSoleHolder,
  type BatchState,
  type PoolState,
  type StepRun,
  type Task,
} from '../model/state.js';

/**
 * Tells whether tasks of a step may have ended on an endpoint that holds back ended runs, because they don't fit into its
 * list. It answers, so its lease goes on, and it lists the others once these are stored. The wait ends with the lease.
 */
const awaitsUnlistedEnds = (
  state: BatchState,
  { unreportedInstances }: PoolState,
  { job, spec }: StepRun,
  nowMs: number,
): boolean => {
  const holdsEndsBack = (instanceId: InstanceId): boolean => {
    const endpoint = state.currentIncarnations.get(instanceId);
    if (!endpoint || !hasUnlistedEnds(endpoint)) return false;
    const isLeaseOver = nowMs >= endpoint.leaseEndsAtMs && isSoleHolder(state, nowMs);
    return !isLeaseOver && mayRunInheritedTask(state, instanceId, spec);
  };
  return job.isInherited && Array.from(unreportedInstances).some(holdsEndsBack);
};

/**
 * Tells whether tasks of a step may still be running, or may have ended, on an endpoint that has not listed them to this
 * holder. Such a task, started by an earlier holder, may be on an endpoint that has not reported yet or on one that is in
 * no list: the endpoint list loses some in an outage, and the host list may not have been read yet. Only endpoints that
 * may run the step are waited for. The wait ends when all leases granted by earlier holders have ended, if this holder is
 * still the only one; for an endpoint that has more ended runs than it can list at once, when it has listed them.
 *
 * @param state - The batch state.
 * @param pool - The step's pool.
 * @param step - The step.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns True while tasks of the step must wait for reports of endpoints.
 */
export const awaitsReports = (
  state: BatchState,
  pool: PoolState,
  step: StepRun,
  nowMs: number,
): boolean => {
  const { job, spec } = step;
  if (!job.isInherited) return false;
  if (nowMs >= state.inheritedLeasesEndAtMs && isSoleHolder(state, nowMs))
    return awaitsUnlistedEnds(state, pool, step, nowMs);
  const mayRunOn = (instanceId: InstanceId): boolean =>
    mayRunInheritedTask(state, instanceId, spec);
  return state.isHostListAwaited || Array.from(pool.unreportedInstances).some(mayRunOn);
};

/**
 * Tells whether a step that awaits reports may start those tasks that an endpoint reported to this holder after the last
 * earlier holder could send orders. If the step has a limit of attempts, failures of such a task may be among the ends that
 * another endpoint holds back.
 */
const mayStartLocatedTasks = (
  state: BatchState,
  pool: PoolState,
  step: StepRun,
  nowMs: number,
): boolean => step.spec.isLasting || !awaitsUnlistedEnds(state, pool, step, nowMs);

/**
 * Tells whether a waiting task need not wait for reports of endpoints.
 *
 * @param state - The batch state.
 * @param pool - The step's pool.
 * @param step - The step.
 * @param task - The task.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns False while it must wait for reports of endpoints.
 */
export const mayStartTask = (
  state: BatchState,
  pool: PoolState,
  step: StepRun,
  task: Task,
  nowMs: number,
): boolean =>
  !awaitsReports(state, pool, step, nowMs) ||
  (task.isLocated && mayStartLocatedTasks(state, pool, step, nowMs));

/**
 * Lists the indices of the waiting tasks of a step that may start. The tasks of a gang are placed together, and so are the tasks of a step
 * that are suspected of crashing endpoints: if any of these may not start yet, no task of the step may.
 *
 * @param state - The batch state.
 * @param pool - The step's pool.
 * @param step - The step.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns The indices.
 */
export const startableTasks = (
  state: BatchState,
  pool: PoolState,
  step: StepRun,
  nowMs: number,
): readonly number[] => {
  const { waiting, tasks, spec } = step;
  if (!awaitsReports(state, pool, step, nowMs)) return waiting;
  if (!mayStartLocatedTasks(state, pool, step, nowMs)) return [];
  const isLocated = (index: number): boolean => tasks.recordAt(index)?.isLocated === true;
  const startedTogether = spec.isGang
    ? waiting
    : waitingSuspects(state, step).map(({ index }) => index);
  if (!startedTogether.every(isLocated)) return [];
  return waiting.filter(isLocated);
};
