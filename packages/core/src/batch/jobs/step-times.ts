/** Estimates the run time and the work of a step from the recorded run times of its kind of task. */
import { estimateRunTime, estimateWorkTime } from './run-times.js';
import type { QueueName, StepSpec } from '../model/job.js';
import type { BatchState, StepRun } from '../model/state.js';

/**
 * Names the kind of a step's tasks: tasks of the same kind are expected to have similar run times.
 *
 * @param queue - The job's queue.
 * @param spec - The step, of which the image counts.
 * @returns The key of the kind.
 */
export const taskKindOf = (queue: QueueName, { image }: StepSpec): string => `${queue}/${image}`;

/**
 * Estimates the run time of each task of a step.
 *
 * @param state - The recorded run times.
 * @param step - The step.
 * @returns The run time in milliseconds.
 */
export const estimateStepTime = (
  { runTimes }: Pick<BatchState, 'runTimes'>,
  step: Pick<StepRun, 'kind' | 'spec'>,
): number => estimateRunTime(runTimes, step.kind, step.spec.estimateMs);

/**
 * Estimates the work time of each task of a step: the run time without the delay of orders and reports.
 *
 * @param state - The recorded run times.
 * @param step - The step.
 * @returns The work time in milliseconds.
 */
export const estimateStepWorkTime = (
  { runTimes }: Pick<BatchState, 'runTimes'>,
  step: StepRun,
): number => estimateWorkTime(runTimes, step.kind, step.spec.estimateMs);

/**
 * Estimates the work of all tasks of a step.
 *
 * @param state - The recorded run times.
 * @param step - The step.
 * @returns The work in core-milliseconds; 0 for a step of long-running tasks.
 */
export const estimateStepWork = (
  state: Pick<BatchState, 'runTimes'>,
  step: Pick<StepRun, 'kind' | 'spec'>,
): number => {
  const { isLasting, taskCount, cpuMillis } = step.spec;
  return isLasting ? 0 : (taskCount * cpuMillis * estimateStepTime(state, step)) / 1000;
};
