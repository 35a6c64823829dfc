/** Tasks of jobs that an earlier holder accepted: which of them may begin, and what is written before they do. */
import type { InstanceId } from '../../shared/ids.js';
import { isFirstStartOfInherited } from '../crashes/inherited-losses.js';
import { waitingSuspects } from '../crashes/isolation.js';
import { announcedRunOf, announceTrials, isWritten } from '../crashes/trials.js';
import { mayHaveBegun } from '../endpoints/sound-endpoints.js';
import {
  isSoleHolder,
  type BatchState,
  type PoolState,
  type StepRun,
  type Task,
} from '../model/state.js';

/**
 * Tells whether tasks of a step may still run where nobody has reported. A task of an earlier holder may be on an endpoint that has not
 * reported yet, or on one that no list names: the list of endpoints loses some in an outage, and that of hosts may not
 * have been read. Only endpoints that may run the step are waited for.
 *
 * @param state - All that is known.
 * @param pool - The step's pool.
 * @param step - The step.
 * @param nowMs - The time.
 * @returns True while its tasks wait for reports.
 */
export const isBlocked = (
  state: BatchState,
  { notReported }: PoolState,
  { job, spec }: StepRun,
  nowMs: number,
): boolean => {
  if (!job.isInherited) return false;
  if (nowMs >= state.inheritedLeasesEndAtMs && isSoleHolder(state, nowMs)) return false;
  const mayRunThere = (instanceId: InstanceId): boolean => mayHaveBegun(state, instanceId, spec);
  return state.isHostListAwaited || Array.from(notReported).some(mayRunThere);
};

/**
 * Lists the tasks of a step that may begin. Of a blocked step these are tasks that an endpoint listed to this holder
 * when no earlier one could order any more. Suspects of a step are placed together, so none of them begins before all
 * may.
 *
 * @param state - All that is known.
 * @param pool - The step's pool.
 * @param step - The step.
 * @param nowMs - The time.
 * @returns The tasks.
 */
export const unblockedTasks = (
  state: BatchState,
  pool: PoolState,
  step: StepRun,
  nowMs: number,
): readonly Task[] => {
  const waiting = step.waiting.flatMap((index) => step.tasks[index] ?? []);
  if (!isBlocked(state, pool, step, nowMs)) return waiting;
  const mustAllBegin = step.spec.isGang ? waiting : waitingSuspects(state, step);
  if (!mustAllBegin.every(({ isLocated }) => isLocated)) return [];
  return waiting.filter(({ isLocated }) => isLocated);
};

/**
 * Announces the first starts of inherited tasks, where an endpoint may have crashed under them unreported.
 *
 * @param state - All that is known, changed in place.
 * @param step - The step.
 * @param tasks - Those of its tasks that wait.
 * @returns The tasks that may begin now: those whose start is written, or need not be.
 */
export const announceInherited = (
  state: BatchState,
  step: StepRun,
  tasks: readonly Task[],
): readonly Task[] => {
  const isHeld = (task: Task): boolean => isFirstStartOfInherited(state, step, task);
  const unannounced = tasks.filter((task) => isHeld(task) && announcedRunOf(task) === undefined);
  if (unannounced.length > 0) announceTrials(state, step, unannounced);
  return isWritten(step.job) ? tasks : tasks.filter((task) => !isHeld(task));
};
