/** How long the tasks of a step run, and how much work it is, by what was learned of its kind. */
import { expectRunTime } from './run-times.js';
import type { QueueName, StepSpec } from '../model/job.js';
import type { BatchState, StepRun } from '../model/state.js';

/**
 * Names the kind of a step's tasks: those of a kind take alike times.
 *
 * @param queue - The job's queue.
 * @param spec - The step.
 * @returns The kind.
 */
export const kindOf = (queue: QueueName, { image }: StepSpec): string => `${queue}/${image}`;

/**
 * Expects the run time of a step's tasks.
 *
 * @param state - What was learned.
 * @param step - The step.
 * @returns The time in milliseconds.
 */
export const expectStepTime = ({ runTimes }: Pick<BatchState, 'runTimes'>, step: StepRun): number =>
  expectRunTime(runTimes, step.kind, step.spec.estimateMs);

/**
 * Expects the work of a step.
 *
 * @param state - What was learned.
 * @param step - The step.
 * @returns The work in core-milliseconds; none for a step that lasts.
 */
export const expectStepWork = (state: Pick<BatchState, 'runTimes'>, step: StepRun): number => {
  const { isLasting, taskCount, cpuMillis } = step.spec;
  return isLasting ? 0 : (taskCount * cpuMillis * expectStepTime(state, step)) / 1000;
};
